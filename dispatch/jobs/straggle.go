package jobs

import (
	"sort"
	"time"

	"poplargw.example/dispatch/run"
)

const (
	// progressGap is the least time between two readings of progress that tell a rate. Percents are
	// whole numbers, and an agent reads them about every 80 ms.
	progressGap = 90 * time.Millisecond
	// moveCost is the time from the decision to stop a run to its start elsewhere: the stop takes up
	// to 50 ms, and the messages some more.
	moveCost = 80 * time.Millisecond
	// moveGain is how many times longer the rest here must take than a fresh start elsewhere.
	moveGain = 1.4
	// movingShare bounds the runs that are moved at once, as the reciprocal of the share of all runs.
	movingShare = 5
	// movingLeast is the number of runs that may always be moved at once.
	movingLeast = 4
	// lagDecay is the weight of a lag after a run that ended.
	lagDecay = 0.7
	// maxLag bounds the lag, so that a backend server that recovers is tried again.
	maxLag = 8
	// stallAfter is the least time without progress that counts as a stall: readings are up to 70 ms old.
	stallAfter = 200 * time.Millisecond
	// stallPercents is the same for long runs, in the time that one percent takes: percents are whole
	// numbers, and a run of 30 s gains one in 300 ms.
	stallPercents = 4
	// firstPercents is the same before the first percent, as the run may be as many times longer than
	// was declared.
	firstPercents = 12
	// maxStalls bounds how often that time doubles: a task without any progress on several backend
	// servers is longer than was declared rather than stalled.
	maxStalls = 6
	// stalledRest stands for the rest of a run that stalls.
	stalledRest = time.Hour
	// lagOfMany and lagOfFew are the least lags that count, when at least manyRuns runs show it or
	// when fewer do. Declared run times are off by a factor of up to about two.
	lagOfMany = 1.6
	lagOfFew  = 3.0
	manyRuns  = 3
)

// Progress records how far a run has come that began the given time ago. Its time counts from then: an
// order whose answers get lost takes long, and its run is not slow.
func (s *Scheduler) Progress(now time.Time, agent string, ref run.Ref, percent int, age time.Duration) {
	v := s.servers[agent]
	if v == nil {
		return
	}
	a := v.runs[ref]
	if a == nil {
		return
	}
	a.readAt = now
	if a.percentAt.IsZero() {
		if begun := now.Add(-age); begun.After(a.begun) {
			a.begun = begun
		}
		a.before, a.beforeAt = 0, a.begun
		a.percent, a.percentAt = percent, now
		return
	}
	if percent != a.percent && now.Sub(a.percentAt) >= progressGap {
		a.before, a.beforeAt = a.percent, a.percentAt
		a.percent, a.percentAt = percent, now
	}
}

// remaining estimates how long the run still takes where it is; known is false while too little
// progress was seen to tell.
func (a *attempt) remaining(now time.Time) (rest time.Duration, known bool) {
	if a.stalled() {
		return stalledRest, true
	}
	if a.percent <= a.before || a.percentAt.Sub(a.beforeAt) < progressGap {
		return 0, false
	}
	rate := float64(a.percent-a.before) / float64(a.percentAt.Sub(a.beforeAt))
	rest = time.Duration(float64(100-a.percent)/rate) - now.Sub(a.percentAt)
	return max(0, rest), true
}

// stalled tells whether the readings show no progress for longer than the run's own rate explains. Only
// readings tell it: a slow agent sends none.
func (a *attempt) stalled() bool {
	if a.percent == 0 {
		expected := time.Duration(float64(a.job.expected(a.task)) * a.pace())
		patience := max(stallAfter, expected*firstPercents/100) << a.task.stalls
		return a.readAt.Sub(a.begun) > patience
	}
	percent := a.percentAt.Sub(a.begun) / time.Duration(a.percent)
	return a.readAt.Sub(a.percentAt) > max(stallAfter, stallPercents*percent)
}

// moveStragglers stops runs that would end sooner with a fresh start elsewhere. The task is placed
// again when the stop is certain.
func (s *Scheduler) moveStragglers(now time.Time) {
	total, moving := 0, 0
	runs := make([][]*attempt, len(s.fleet))
	for i, v := range s.fleet {
		runs[i] = v.inOrder()
		for _, a := range runs[i] {
			total++
			if a.stopped {
				moving++
			}
		}
		s.noteLag(now, v, runs[i])
	}
	budget := max(movingLeast, total/movingShare) - moving
	for i, v := range s.fleet {
		if !v.live || !v.reported {
			continue
		}
		for _, a := range runs[i] {
			if budget <= 0 {
				return
			}
			if !a.stopped && s.straggles(now, a) {
				rest, _ := a.remaining(now)
				s.note(Note{Kind: Moved, Agent: v.agent, Ref: a.ref, Attempt: a.task.attempts, Rest: rest, Age: now.Sub(v.heard)})
				if rest == stalledRest && a.percent == 0 {
					a.task.stalls = min(a.task.stalls+1, maxStalls)
				}
				s.stop(a)
				a.task.avoid[v.state.Instance] = true
				budget--
			}
		}
	}
}

// noteLag compares the pace of the runs on a backend server with what its learned speed promises.
// Declared run times are often far off, so one run alone tells only of a large lag.
func (s *Scheduler) noteLag(now time.Time, v *server, runs []*attempt) {
	var ratios []float64
	for _, a := range runs {
		if rest, known := a.remaining(now); known {
			learned := float64(a.job.expected(a.task)) * a.pace() / v.lag
			if rest < stalledRest {
				a.job.revise(a.task.step, time.Duration(float64(now.Sub(a.begun)+rest)/a.pace()))
			}
			ratios = append(ratios, float64(now.Sub(a.begun)+rest)/max(learned, 1))
		}
	}
	if len(ratios) == 0 {
		return
	}
	sort.Float64s(ratios)
	lag := ratios[(len(ratios)-1)/2]
	floor := lagOfMany
	if len(ratios) < manyRuns {
		floor = lagOfFew
	}
	if lag < floor {
		lag = 1
	}
	v.lag = min(maxLag, lag)
}

// straggles tells whether the run ends so late that a fresh start elsewhere is worth the work lost.
// What the progress here says of the task's length counts more than its declared run time.
func (s *Scheduler) straggles(now time.Time, a *attempt) bool {
	j := a.job
	rest, known := a.remaining(now)
	if !known || !now.Add(rest).After(j.objective) {
		return false
	}
	other := s.pick(now, j, a.task, s.fleet)
	if other == nil || other == a.server {
		return false
	}
	work := float64(j.expected(a.task))
	if rest < stalledRest {
		work = float64(now.Sub(a.begun)+rest) / a.pace()
	}
	fresh := moveCost + time.Duration(work*other.slowness()*s.distance(j.Steps[a.task.step], other))
	return float64(rest) > moveGain*float64(fresh) && now.Add(fresh).Before(j.limit())
}
