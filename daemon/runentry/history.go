package runentry

import (
	"time"

	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/result"
)

// jobHistory keeps the states of recently ended jobs.
type jobHistory struct {
	states map[string]State
	ended  []endedJob
}

type endedJob struct {
	id string
	at time.Time
}

const (
	// maxHistoryJobs bounds the number of ended jobs that are kept, about a minute's worth at the busiest
	// site.
	maxHistoryJobs = 4096
	// maxHistoryAge is how long the state of an ended job is kept.
	maxHistoryAge = time.Minute
)

func newJobHistory() *jobHistory { return &jobHistory{states: map[string]State{}} }

func (h *jobHistory) add(o jobs.Outcome, now time.Time) {
	h.states[o.Job] = endState(o.Code)
	h.ended = append(h.ended, endedJob{o.Job, now})
	for len(h.ended) > maxHistoryJobs || len(h.ended) > 0 && now.Sub(h.ended[0].at) > maxHistoryAge {
		delete(h.states, h.ended[0].id)
		h.ended = h.ended[1:]
	}
}

// endState returns the state of a job that has ended with the code.
func endState(code result.Code) State {
	switch code {
	case 0:
		return Completed
	case result.Cancelled:
		return Cancelled
	}
	return Failed
}
