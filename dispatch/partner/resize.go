package partner

import "time"

// resize adapts the number of agents beyond the base.
func (s *Set) resize(now time.Time, load Load) {
	free := float64(load.Free) / float64(max(1, load.Room))
	if load.Waiting > 0 || load.Unfit || load.Runs > 0 && free < scarceRoom {
		s.ampleSince = time.Time{}
		s.grow(now, load)
		return
	}
	if free < ampleRoom {
		s.ampleSince = time.Time{}
		return
	}
	s.shrink(now)
}

func (s *Set) grow(now time.Time, load Load) {
	if now.Sub(s.grown) < s.pause {
		return
	}
	s.pause = min(2*s.pause, growLast)
	if load.Runs >= s.runs+s.added/2 || now.Sub(s.grown) > 2*growLast {
		s.pause = growFirst
	}
	most := min(perTask*(load.Waiting+load.Runs), len(s.ranked)-s.base)
	if load.Unfit {
		most = len(s.ranked) - s.base
	}
	s.added = max(0, min(most, s.extra+max(growStep, (s.base+s.extra)/growPart))-s.extra)
	s.extra += s.added
	s.runs = load.Runs
	s.grown = now
}

func (s *Set) shrink(now time.Time) {
	if s.ampleSince.IsZero() {
		s.ampleSince = now
	}
	if s.extra == 0 || now.Sub(s.ampleSince) < shrinkAfter || now.Sub(s.shrunk) < shrinkEvery {
		return
	}
	s.shrunk = now
	s.extra -= max(min(growStep, s.extra), s.extra/growPart)
}
