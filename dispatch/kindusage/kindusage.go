// Package kindusage accounts which kinds of request use the capacity of a backend server: at present, and on average
// beside each run. An agent keeps one account of the runs that it orders.
//
// The account keeps, for each kind, the integral of its usage over time. The mean beside a run is the growth of the
// integrals while the run was in progress, less the run's own part. The package does no I/O, takes the time as a
// parameter, and is not safe for concurrent use.
package kindusage

import (
	"math"
	"time"

	"poplargw.example/dispatch/run"
)

const (
	// MaxKinds bounds the number of kinds. While more are in use, the usage of the further ones counts as unknown.
	MaxKinds = 8
	// memory is how long a kind without runs counts as one that shares the backend server.
	memory = 30 * time.Second
)

// Account is the usage of one backend server. The zero value is empty.
type Account struct {
	at      time.Time // of the integrals
	kinds   [MaxKinds]kind
	unknown int64 // runs of which the kind or demand is not known
	// unknownTime is for how long there was such a run.
	unknownTime time.Duration
}

// kind is the usage by one kind of request; name is empty if it is free.
type kind struct {
	name string
	used int64 // in millicores
	runs int
	// integral is the usage over time, in millicore-seconds, since the kind took this place.
	integral float64
	since    time.Time
	last     time.Time // when it had a run last
}

// Run is what the account keeps of a run in progress. The zero value is one that it does not have.
type Run struct {
	slot        int
	counted     bool // the usage counts for the kind in slot
	present     bool
	cpu         int64
	start       time.Time
	integrals   [MaxKinds]float64
	unknownTime time.Duration
}

// advance brings the integrals to now.
func (a *Account) advance(now time.Time) {
	passed := now.Sub(a.at)
	if a.at.IsZero() || passed <= 0 {
		if a.at.IsZero() {
			a.at = now
		}
		return
	}
	a.at = now
	if a.unknown > 0 {
		a.unknownTime += passed
	}
	for i := range a.kinds {
		k := &a.kinds[i]
		k.integral += float64(k.used) * passed.Seconds()
		if k.runs > 0 {
			k.last = now
		}
	}
}

// Add adds a run that uses cpu millicores. An empty name means that its kind is not known.
func (a *Account) Add(now time.Time, name string, cpu int64) Run {
	a.advance(now)
	r := Run{present: true, cpu: cpu, start: now}
	r.slot, r.counted = a.place(now, name)
	if r.counted {
		k := &a.kinds[r.slot]
		k.used += cpu
		k.runs++
		k.last = now
	} else {
		a.unknown++
	}
	r.unknownTime = a.unknownTime
	for i, k := range a.kinds {
		r.integrals[i] = k.integral
	}
	return r
}

// place returns the place of a kind, which a new kind takes if there is one that is free or was not used within memory.
func (a *Account) place(now time.Time, name string) (int, bool) {
	if name == "" {
		return 0, false
	}
	free := -1
	for i, k := range a.kinds {
		switch {
		case k.name == name:
			return i, true
		case free < 0 && !k.remembered(now):
			free = i
		}
	}
	if free < 0 {
		return 0, false
	}
	a.kinds[free] = kind{name: name, since: now}
	return free, true
}

func (k *kind) remembered(now time.Time) bool {
	return k.name != "" && (k.runs > 0 || now.Sub(k.last) <= memory)
}

// Remove removes a run and returns the mean usage of the others while it was in progress, in parts of capacity, which
// is in millicores. The list has an element for each kind that had runs, and for the run's own kind even if there was no
// other run, so that an empty list means that the usage is not known: while a run of an unknown kind was in progress, or
// on a server with one kind only.
func (a *Account) Remove(now time.Time, r Run, capacity int64) []run.KindUsage {
	if !r.present {
		return nil
	}
	a.advance(now)
	known := r.counted && r.unknownTime == a.unknownTime && a.Shared(now)
	if r.counted {
		a.kinds[r.slot].used -= r.cpu
		a.kinds[r.slot].runs--
	} else {
		a.unknown--
	}
	seconds := now.Sub(r.start).Seconds()
	if !known || seconds <= 0 || capacity <= 0 {
		return nil
	}
	var list []run.KindUsage
	for i, k := range a.kinds {
		grown := k.integral
		if !k.since.After(r.start) {
			grown -= r.integrals[i]
		}
		own := i == r.slot
		if own {
			grown -= float64(r.cpu) * seconds
		}
		if share := permille(grown/seconds, capacity); share > 0 || own {
			list = append(list, run.KindUsage{Kind: k.name, Permille: share})
		}
	}
	return list
}

// permille returns used in thousandths of the capacity.
func permille(used float64, capacity int64) int {
	return int(math.Round(min(1000, max(0, 1000*used/float64(capacity)))))
}

// Shared reports whether runs of two or more kinds have shared the backend server within memory.
func (a *Account) Shared(now time.Time) bool {
	n := 0
	for i := range a.kinds {
		if a.kinds[i].remembered(now) {
			n++
		}
	}
	return n > 1
}

// Usage returns the present usage by kind, in thousandths of the capacity, which is in millicores. It is empty on a
// server with one kind only.
func (a *Account) Usage(now time.Time, capacity int64) []run.KindUsage {
	if capacity <= 0 || !a.Shared(now) {
		return nil
	}
	var list []run.KindUsage
	for _, k := range a.kinds {
		if share := permille(float64(k.used), capacity); share > 0 {
			list = append(list, run.KindUsage{Kind: k.name, Permille: share})
		}
	}
	return list
}
