package jobs

import (
	"fmt"
	"time"

	"poplargw.example/dispatch/result"
)

// tally counts the jobs by how they ended. A job is late within three objectives and tooLate after
// that.
type tally struct {
	submitted, withinObjective, late, tooLate, rejected, failed int
	// rejectedSlowly counts the jobs that were rejected later than a quarter of their objective after
	// arrival, withoutRetryAfter the rejections without retry advice.
	rejectedSlowly    int
	withoutRetryAfter int
	wastedCPU         float64 // CPU seconds of runs that were stopped
}

func (t tally) String() string {
	return fmt.Sprintf("submitted %d, within objective %.3f, late %.3f, too late %.3f, rejected %.3f (slowly %d), failed %.3f, wasted CPU %.0f s",
		t.submitted, t.share(t.withinObjective), t.share(t.late), t.share(t.tooLate), t.share(t.rejected), t.rejectedSlowly, t.share(t.failed), t.wastedCPU)
}

// share returns n as a fraction of the submitted jobs.
func (t tally) share(n int) float64 { return float64(n) / float64(max(t.submitted, 1)) }

// recordOutcome counts the outcome of a job in the totals and in those of its kind, if the job arrived
// in the measured period.
func (sim *simulation) recordOutcome(o Outcome) {
	if sim.byKind[sim.kindOfJob[o.Job].name] == nil {
		sim.byKind[sim.kindOfJob[o.Job].name] = &tally{}
	}
	if at := sim.arrived[o.Job]; at.Before(sim.measureFrom) || !sim.measureUntil.IsZero() && at.After(sim.measureUntil) {
		return
	}
	var one tally
	sim.count(&one, o)
	sim.ended = append(sim.ended, endedJob{sim.kindOfJob[o.Job].name, sim.widths[o.Job], one.withinObjective == 1})
	for _, t := range []*tally{&sim.tally, sim.byKind[sim.kindOfJob[o.Job].name]} {
		sim.count(t, o)
	}
}

// count adds an outcome to a tally. The objective is computed from the real run time: a result within
// it has its full value, one within three objectives part of it, and a later one none.
func (sim *simulation) count(t *tally, o Outcome) {
	objective := time.Duration(1.6*float64(sim.longestTask[o.Job])) + sim.latency
	took := sim.now.Sub(sim.arrived[o.Job])
	t.submitted++
	switch {
	case o.Code == 0 && took <= objective:
		t.withinObjective++
	case o.Code == 0 && took <= 3*objective:
		t.late++
	case o.Code == 0:
		t.tooLate++
	case o.Effect == result.NotRun:
		t.rejected++
		if took > objective/4 {
			t.rejectedSlowly++
		}
		if o.RetryAfter <= 0 {
			t.withoutRetryAfter++
		}
	default:
		t.failed++
	}
}
