package jobs

import (
	"time"

	"poplargw.example/dispatch/result"
)

const (
	// promiseSlot is the unit in which callers are told when to come back: Retry-After has whole seconds.
	promiseSlot = time.Second
	// promiseHorizon is how far ahead an entry makes promises. Load and backend servers change within less.
	promiseHorizon = 30 * time.Second
	// returnShare is the part of an entry's pace that it promises to callers who come back. The rest is for
	// those who come for the first time.
	returnShare = 0.5
	// returnStep is how much less of that a job of each lower priority may fill, so that less urgent ones
	// come back later.
	returnStep = 0.25
	// leastReturn is the part that jobs of any priority may fill.
	leastReturn = 0.25
)

// promises holds, for each second to come, the processor time of the jobs whose callers were told to come
// back then, in thousandths of a core times seconds. It answers a burst of rejections: with the length of
// the backlog as advice everybody came back in the same second, and made the next burst.
type promises struct {
	first int64 // Unix time of work[0]
	work  []float64
}

// advance drops the seconds that have passed.
func (p *promises) advance(now time.Time) {
	passed := now.Unix() - p.first
	p.first = now.Unix()
	if passed < 0 || passed >= int64(len(p.work)) {
		p.work = make([]float64, promiseHorizon/promiseSlot+1)
		return
	}
	p.work = append(p.work[passed:], make([]float64, passed)...)
}

// give books the work in the first second, not before the earliest one, that has room for it, and returns how
// many seconds ahead that is. A job that is larger than the room of a second gets one without promises.
func (p *promises) give(earliest int, work, room float64) (int, bool) {
	for i := max(1, earliest); i < len(p.work); i++ {
		if p.work[i] == 0 || p.work[i]+work <= room {
			p.work[i] += work
			return i, true
		}
	}
	return 0, false
}

// turnAway is the outcome of a job of which nothing has run and that cannot be served within its objective.
// The backlog before it takes the given time.
func (s *Scheduler) turnAway(now time.Time, j *job, wait time.Duration) Outcome {
	o := Outcome{Job: j.ID, Code: result.DeadlineUnmet, Effect: result.NotRun, RetryAfter: promiseHorizon}
	o.Free, o.Room = s.Room()
	p := s.promised[j.Queue.Service]
	if p == nil {
		p = &promises{}
		s.promised[j.Queue.Service] = p
	}
	p.advance(now)
	share := max(leastReturn, 1-returnStep*float64(j.Queue.Priority))
	room := returnShare * share * s.pace(now, j.Queue.Service, j.waitsFor().pool()) * promiseSlot.Seconds()
	seconds, ok := p.give(int((wait+promiseSlot-1)/promiseSlot), j.demand(), room)
	if !ok {
		o.Code = result.Overloaded
		return o
	}
	o.RetryAfter = time.Duration(seconds) * promiseSlot
	return o
}
