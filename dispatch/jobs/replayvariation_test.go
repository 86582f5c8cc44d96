package jobs

import (
	"math"
	"time"
)

// variation describes jobs of one kind that differ in width and run time, and callers with a deadline. The zero value
// draws no random numbers, so that replays without it are unchanged.
type variation struct {
	// widthSigma is the standard deviation of the logarithm of the number of tasks, whose mean is requestKind.width.
	widthSigma float64
	// tailShare of the jobs run tailFactor times longer than the others, without declaring it.
	tailShare, tailFactor float64
	// deadline is how long callers wait; 0 means no limit.
	deadline time.Duration
}

// draw returns the number of tasks of a job, and the factor on their run time.
func (v variation) draw(sim *simulation, k requestKind) (int, float64) {
	width, factor := k.width, 1.0
	if v.widthSigma > 0 {
		drawn := float64(k.width) * math.Exp(v.widthSigma*sim.rng.NormFloat64()-v.widthSigma*v.widthSigma/2)
		width = min(max(1, int(math.Round(drawn))), MaxTasks)
	}
	if v.tailShare > 0 && sim.rng.Float64() < v.tailShare {
		factor = v.tailFactor
	}
	return width, factor
}

// meanFactor returns the mean of the factor on the run time.
func (v variation) meanFactor() float64 { return 1 + v.tailShare*max(0, v.tailFactor-1) }

// deadlineAt returns the deadline of a job that arrives at now.
func (v variation) deadlineAt(now time.Time) time.Time {
	if v.deadline == 0 {
		return time.Time{}
	}
	return now.Add(v.deadline)
}

// endedJob is a job that counts in the tally.
type endedJob struct {
	kind            string
	width           int
	withinObjective bool
}
