package jobs

import (
	"sort"
	"time"

	"poplargw.example/dispatch/run"
)

const (
	// minReadingInterval is the least time between two progress readings from which a rate is
	// computed. Percentages are whole numbers, and an agent reads them about every 80 ms.
	minReadingInterval = 90 * time.Millisecond
	// moveCost is the time from the decision to stop a run to its start elsewhere: the stop takes up
	// to 50 ms, and the messages account for the rest.
	moveCost = 80 * time.Millisecond
	// moveGain is the least ratio of the remaining run time to that of a fresh start elsewhere for
	// which a run is moved.
	moveGain = 1.4
	// maxMovingDivisor bounds the runs that are being moved at the same time to 1/maxMovingDivisor of
	// all runs.
	maxMovingDivisor = 5
	// minMoveBudget is the number of runs that may always be moved at the same time.
	minMoveBudget = 4
	// lagDecay is the factor by which a server's lagFactor shrinks, down to 1, with each completed
	// run.
	lagDecay = 0.7
	// maxLag bounds lagFactor, so that a backend server that recovers is tried again.
	maxLag = 8
	// minStallTime is the least time without progress that counts as a stall: readings are up to 70 ms
	// old.
	minStallTime = 200 * time.Millisecond
	// stallPercents is the time without progress that counts as a stall of a long run, as a multiple
	// of the time that the run takes for one percent. Percentages are whole numbers, and a run of 30 s
	// gains one in 300 ms.
	stallPercents = 4
	// firstStallPercents is the time without a first percent that counts as a stall, in percent of the
	// expected run time. A run up to 12 times longer than declared reaches its first percent within
	// that time.
	firstStallPercents = 12
	// maxStalls bounds how often that time doubles: a task without any progress on several backend
	// servers is more likely longer than declared than stalled.
	maxStalls = 6
	// stalledRemaining is the remaining run time assumed for a stalled run.
	stalledRemaining = time.Hour
	// minLagManyRuns and minLagFewRuns are the smallest values of lagFactor that are not taken for an
	// error of the declared run times, which are off by a factor of up to about two: the first if the
	// progress of at least manyRuns runs is known, the second if that of fewer is.
	minLagManyRuns = 1.6
	minLagFewRuns  = 3.0
	manyRuns       = 3
)

// Progress records the percentage that a run has reached and its age. The run time counts from the
// actual start instead of the order: an order whose answers get lost takes long, although its run is
// not slow.
func (s *Scheduler) Progress(now time.Time, agent string, ref run.Ref, percent int, age time.Duration) {
	v := s.servers[agent]
	if v == nil {
		return
	}
	a := v.runs[ref]
	if a == nil {
		return
	}
	a.lastReadingAt = now
	if a.percentAt.IsZero() {
		if start := now.Add(-age); start.After(a.startedAt) {
			a.startedAt = start
		}
		a.prevPercent, a.prevPercentAt = 0, a.startedAt
		a.percent, a.percentAt = percent, now
		return
	}
	if percent != a.percent && now.Sub(a.percentAt) >= minReadingInterval {
		a.prevPercent, a.prevPercentAt = a.percent, a.percentAt
		a.percent, a.percentAt = percent, now
	}
}

// remaining estimates how long the run still takes on its server. known is false until enough progress
// was seen.
func (a *attempt) remaining(now time.Time) (remaining time.Duration, known bool) {
	if a.stalled() {
		return stalledRemaining, true
	}
	if a.percent <= a.prevPercent || a.percentAt.Sub(a.prevPercentAt) < minReadingInterval {
		return 0, false
	}
	rate := float64(a.percent-a.prevPercent) / float64(a.percentAt.Sub(a.prevPercentAt))
	remaining = span(float64(100-a.percent)/rate) - now.Sub(a.percentAt)
	return max(0, remaining), true
}

// stalled reports whether the readings show no progress for longer than the run's own rate explains.
// The time without progress is measured between readings, because an agent that is slow to send them
// does not make its runs stalled.
func (a *attempt) stalled() bool {
	if a.percent == 0 {
		expected := span(float64(a.job.expectedRunTime(a.task)) * a.slowdown())
		limit := max(minStallTime, expected*firstStallPercents/100) << a.task.stalls
		return a.lastReadingAt.Sub(a.startedAt) > limit
	}
	percent := a.percentAt.Sub(a.startedAt) / time.Duration(a.percent)
	return a.lastReadingAt.Sub(a.percentAt) > max(minStallTime, stallPercents*percent)
}

// moveStragglers stops runs that would end sooner with a fresh start elsewhere. Their tasks are placed
// again once they have certainly stopped.
func (s *Scheduler) moveStragglers(now time.Time) {
	total, moving := 0, 0
	runs := make([][]*attempt, len(s.fleet))
	for i, v := range s.fleet {
		runs[i] = v.runsInOrder()
		for _, a := range runs[i] {
			total++
			if a.stopRequested {
				moving++
			}
		}
		s.updateLag(now, v, runs[i])
	}
	budget := max(minMoveBudget, total/maxMovingDivisor) - moving
	for i, v := range s.fleet {
		if !v.linked || !v.reported {
			continue
		}
		for _, a := range runs[i] {
			if budget <= 0 {
				return
			}
			if !a.stopRequested && s.isStraggler(now, a) {
				remaining, _ := a.remaining(now)
				s.recordDecision(Decision{Kind: Moved, Agent: v.agent, Ref: a.ref, Attempt: a.task.attempts, Remaining: remaining, Age: now.Sub(v.lastContact)})
				if remaining == stalledRemaining && a.percent == 0 {
					a.task.stalls = min(a.task.stalls+1, maxStalls)
				}
				s.stop(a)
				a.task.avoided[v.state.Instance] = true
				budget--
			}
		}
	}
}

// updateLag compares the progress of the runs on a backend server with its speed estimate and sets its
// lagFactor. Declared run times are often far off, so a single run counts only if it shows a large lag. Of a job in the tail of the run times, only the lag
// behind its runs on other servers counts.
func (s *Scheduler) updateLag(now time.Time, v *server, runs []*attempt) {
	var ratios []float64
	for _, a := range runs {
		if remaining, known := a.remaining(now); known {
			expected := float64(a.job.expectedRunTime(a.task)) * a.slowdown() / v.lagFactor
			if remaining < stalledRemaining {
				a.job.raiseEstimate(a.task.step, span(float64(now.Sub(a.startedAt)+remaining)/a.largestSlowdown()))
			}
			ratios = append(ratios, float64(now.Sub(a.startedAt)+remaining)/max(expected*s.tailFactor(now, a), 1))
		}
	}
	if len(ratios) == 0 {
		return
	}
	sort.Float64s(ratios)
	lag := ratios[(len(ratios)-1)/2]
	floor := minLagManyRuns
	if len(ratios) < manyRuns {
		floor = minLagFewRuns
	}
	if lag < floor {
		lag = 1
	}
	v.lagFactor = min(maxLag, lag)
}

// isStraggler reports whether the run will miss the objective and end so late that a fresh start
// elsewhere is worth the lost work. Its progress so far counts more than the declared run time of the
// task.
func (s *Scheduler) isStraggler(now time.Time, a *attempt) bool {
	j := a.job
	remaining, known := a.remaining(now)
	if !known || !now.Add(remaining).After(j.objectiveTime) {
		return false
	}
	other := s.pickServer(now, j, a.task, s.fleet)
	if other == nil || other == a.server {
		return false
	}
	work := float64(j.expectedRunTime(a.task))
	if remaining < stalledRemaining {
		work = float64(now.Sub(a.startedAt)+remaining) / a.slowdown()
	}
	fresh := moveCost + span(work*other.slowdown()*s.localityFactor(j.Steps[a.task.step], other))
	return float64(remaining) > moveGain*float64(fresh) && now.Add(fresh).Before(j.giveUpTime())
}
