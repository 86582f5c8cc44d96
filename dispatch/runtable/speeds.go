package runtable

import "slices"

// Speeds holds the slowdowns of one backend server that the entries have measured: how many times longer than
// declared their tasks take there. An agent passes them on, so that an entry need not measure each of many
// servers itself. Create one with NewSpeeds.
type Speeds struct{ slowdowns map[string]float64 }

// NewSpeeds returns an empty set of slowdowns.
func NewSpeeds() *Speeds { return &Speeds{slowdowns: map[string]float64{}} }

// Set records the slowdown that an entry has measured; 0 means that it does not know it.
func (s *Speeds) Set(owner string, slowdown float64) {
	if slowdown <= 0 {
		delete(s.slowdowns, owner)
		return
	}
	s.slowdowns[owner] = slowdown
}

// Others returns the median of the slowdowns that the entries other than owner have measured, or 0 if there is
// none. The median leaves out single entries that are wrong.
func (s *Speeds) Others(owner string) float64 {
	list := make([]float64, 0, len(s.slowdowns))
	for other, slowdown := range s.slowdowns {
		if other != owner {
			list = append(list, slowdown)
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}
