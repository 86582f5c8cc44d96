package jobs

import (
	"slices"
	"time"
)

// A few jobs in a hundred take several times as long as their kind usually does. Their runs make slow progress on every
// server. Compared with what they declare, a fast server with one or two of them seemed several times slower, and
// stood idle or had its other runs moved.

const (
	// tailWindow is the number of the newest steps of a service of which the longest are counted.
	tailWindow = 300
	// declaredErrorFactor is the factor by which declared run times are off, in either direction, at most: a step beyond
	// it belongs to the tail. Two steps differ by up to its square without that.
	declaredErrorFactor = 2.0
	// minTailSteps is the number of steps in tailWindow, beyond the square of declaredErrorFactor, from which the
	// run times of a service count as uneven: one in a hundred. Declared run times that are off by 40% reach that
	// ratio in one of four thousand.
	minTailSteps = 3
)

// runTimeTail counts, among the newest steps of one service, those that took much longer than usual.
type runTimeTail struct {
	long  [tailWindow]bool
	steps int // steps added
	count int // long steps in the window
	// reported is set while the run times are logged as uneven, until no long step is left in the window.
	reported bool
}

// add records a step that took ratio times as long as usual, compared with what it declared.
func (r *runTimeTail) add(ratio float64) {
	place := &r.long[r.steps%tailWindow]
	if *place {
		r.count--
	}
	*place = ratio >= declaredErrorFactor*declaredErrorFactor
	if *place {
		r.count++
	}
	r.steps++
}

// uneven reports whether the run times have a long tail.
func (r *runTimeTail) uneven() bool { return r.count >= minTailSteps }

// tailFactorOf returns how many times longer than expected a step takes, given that ratio for each of its runs on other
// servers, if the step belongs to the tail, and 1 otherwise. It sorts the ratios.
func tailFactorOf(elsewhere []float64) float64 {
	if len(elsewhere) == 0 {
		return 1
	}
	slices.Sort(elsewhere)
	if median := elsewhere[(len(elsewhere)-1)/2]; median >= declaredErrorFactor {
		return median
	}
	return 1
}

// tailOf returns the counts of long steps of a service.
func (s *Scheduler) tailOf(service string) *runTimeTail {
	r := s.tails[service]
	if r == nil {
		r = &runTimeTail{}
		s.tails[service] = r
	}
	return r
}

// recordTail adds a completed step to the counts of its service, and logs when its run times become uneven or even.
func (s *Scheduler) recordTail(service string, ratio float64) {
	r := s.tailOf(service)
	r.add(ratio)
	if r.uneven() && !r.reported || r.count == 0 && r.reported {
		r.reported = !r.reported
		s.recordDecision(Decision{Kind: UnevenRunTimes, Service: service, Count: r.count})
	}
}

// tailFactor returns how many times longer than expected the run takes because its job is long, as far as the progress of
// the same step on other servers shows it. A server that is slow does not hide behind that: its own runs do not count.
func (s *Scheduler) tailFactor(now time.Time, a *attempt) float64 {
	service := a.job.Queue.Service
	if !s.tailOf(service).uneven() {
		return 1
	}
	typical := s.declaredErrorOf(service).typical()
	var elsewhere []float64
	for _, t := range a.job.tasks {
		o := t.run
		if t.step != a.task.step || o == nil || o.server == a.server {
			continue
		}
		remaining, known := o.remaining(now)
		if !known || remaining >= stalledRemaining {
			continue
		}
		expected := float64(a.job.expectedRunTime(t)) * o.server.normalSlowdown() * o.localityFactor * typical
		elsewhere = append(elsewhere, float64(now.Sub(o.startedAt)+remaining)/max(expected, 1))
	}
	return tailFactorOf(elsewhere)
}
