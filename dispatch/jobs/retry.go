package jobs

import (
	"time"

	"poplargw.example/dispatch/result"
)

const (
	// retrySlot is the granularity of the retry advice: Retry-After has whole seconds.
	retrySlot = time.Second
	// retryHorizon is how far ahead an entry reserves capacity for retries. Load and backend servers
	// change within less time.
	retryHorizon = 30 * time.Second
	// retryShare is the fraction of the entry's throughput that is reserved for callers who retry. The
	// rest is left for new jobs.
	retryShare = 0.5
	// retrySharePerPriority is how much less of retryShare a job may fill for each priority number, so
	// that callers of less urgent jobs are advised to retry later.
	retrySharePerPriority = 0.25
	// minRetryShare is the fraction of retryShare that jobs of any priority may fill.
	minRetryShare = 0.25
)

// retrySchedule holds, for each coming second, the CPU time in millicore-seconds of the rejected jobs
// whose callers were advised to retry in that second. It spreads the retries after a burst: when the
// advice was the length of the backlog, all callers came back in the same second and caused the next
// burst.
type retrySchedule struct {
	firstSecond int64 // Unix time of work[0]
	work        []float64
}

// advance moves the start of the schedule to now and drops the seconds that have passed.
func (r *retrySchedule) advance(now time.Time) {
	passed := now.Unix() - r.firstSecond
	r.firstSecond = now.Unix()
	if passed < 0 || passed >= int64(len(r.work)) {
		r.work = make([]float64, retryHorizon/retrySlot+1)
		return
	}
	r.work = append(r.work[passed:], make([]float64, passed)...)
}

// reserve reserves the work in the first second, not before the earliest one, in which the total stays
// within limit, and returns how many seconds ahead that is. Work and limit are in millicore-seconds. A
// job larger than limit gets a second with no other reservations. It returns false if no second is
// free.
func (r *retrySchedule) reserve(earliest int, work, limit float64) (int, bool) {
	for i := max(1, earliest); i < len(r.work); i++ {
		if r.work[i] == 0 || r.work[i]+work <= limit {
			r.work[i] += work
			return i, true
		}
	}
	return 0, false
}

// rejection returns the outcome of a job that has not run and cannot meet its objective, with advice
// when to retry. The wait is the duration of the backlog ahead of the job; the advice is not earlier.
func (s *Scheduler) rejection(now time.Time, j *job, wait time.Duration) Outcome {
	o := Outcome{Job: j.ID, Code: result.DeadlineUnmet, Effect: result.NotRun, RetryAfter: retryHorizon}
	o.Free, o.Capacity = s.Capacity()
	schedule := s.retrySchedules[s.loadKey(j)]
	if schedule == nil {
		schedule = &retrySchedule{}
		s.retrySchedules[s.loadKey(j)] = schedule
	}
	schedule.advance(now)
	share := max(minRetryShare, 1-retrySharePerPriority*float64(j.Queue.Priority))
	limit := retryShare * share * s.throughput(now, j.Queue.Service, s.poolOf(j)) * retrySlot.Seconds()
	seconds, ok := schedule.reserve(int((wait+retrySlot-1)/retrySlot), j.cpuTime(), limit)
	if !ok {
		o.Code = result.Overloaded
		return o
	}
	o.RetryAfter = time.Duration(seconds) * retrySlot
	return o
}
