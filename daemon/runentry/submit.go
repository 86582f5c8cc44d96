package runentry

import (
	"context"
	"time"

	"poplargw.example/daemon/event"
	"poplargw.example/daemon/steady"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/result"
)

// State is what the entry knows of a job.
type State int

// States of a job.
const (
	Unknown State = iota
	Queued
	Running
	Completed
	Failed
)

// Submit runs a job and returns its outcome. A job with the same ID that is here already is joined.
// When ctx ends, because the caller has left, the job's runs are stopped.
func (e *Entry) Submit(ctx context.Context, j jobs.Job) jobs.Outcome {
	done := make(chan jobs.Outcome, 1)
	if o, ok := e.admit(j, done); !ok {
		e.report(j, o)
		return o
	}
	select {
	case o := <-done:
		e.report(j, o)
		return o
	case <-ctx.Done():
		return e.abandon(j, done)
	}
}

// admit takes a job in or rejects it at once. An entry that is short of processor time rejects what is
// new, so that it can end what it has: each job that it takes makes all others later.
func (e *Entry) admit(j jobs.Job, done chan jobs.Outcome) (jobs.Outcome, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.second.offered++
	if here, _ := e.scheduler.Has(j.ID); !here {
		if e.short() {
			return jobs.Outcome{Job: j.ID, Code: result.Overloaded, Effect: result.NotRun, RetryAfter: shortRetry}, false
		}
		if o, ok := e.scheduler.Submit(steady.Now(), j); !ok {
			return o, false
		}
	}
	e.waiters[j.ID] = append(e.waiters[j.ID], done)
	e.flush()
	return jobs.Outcome{}, true
}

// abandon leaves a job; the last caller to leave ends it.
func (e *Entry) abandon(j jobs.Job, done chan jobs.Outcome) jobs.Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := e.waiters[j.ID][:0]
	for _, w := range e.waiters[j.ID] {
		if w != done {
			kept = append(kept, w)
		}
	}
	e.waiters[j.ID] = kept
	if len(kept) > 0 {
		return jobs.Outcome{Job: j.ID}
	}
	delete(e.waiters, j.ID)
	e.scheduler.Abandon(j.ID)
	e.flush()
	e.counters.abandoned.Inc()
	e.second.abandoned++
	e.Log.Info(event.JobAbandoned, event.Fields{"job": j.ID, "queue": j.Queue.Name, "after_ms": steady.Now().Sub(j.Arrived).Milliseconds()})
	return jobs.Outcome{Job: j.ID}
}

// Cancel ends a job on behalf of its caller and tells whether it was here.
func (e *Entry) Cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiters[id]) == 0 {
		return false
	}
	e.scheduler.Cancel(id)
	e.flush()
	return true
}

// State returns what the entry knows of a job.
func (e *Entry) State(id string) State {
	e.mu.Lock()
	defer e.mu.Unlock()
	if here, started := e.scheduler.Has(id); here {
		if started {
			return Running
		}
		return Queued
	}
	return e.ended.states[id]
}

// flush hands out what the scheduler has decided. The caller holds the lock.
func (e *Entry) flush() {
	outcomes, batches := e.scheduler.Take()
	e.logNotes()
	for _, o := range outcomes {
		e.ended.add(o, steady.Now())
		for _, w := range e.waiters[o.Job] {
			w <- o
		}
		delete(e.waiters, o.Job)
	}
	for _, b := range batches {
		if a := e.agents[b.Agent]; a != nil {
			e.send(a, b)
		}
	}
}

// history keeps the outcome of jobs that have ended for a while.
type history struct {
	states map[string]State
	order  []endedJob
}

type endedJob struct {
	id string
	at time.Time
}

const (
	// historyLimit bounds the jobs whose end is kept; about a minute of the busiest site.
	historyLimit = 4096
	// historyAge is how long the end of a job whose caller was answered is kept.
	historyAge = time.Minute
)

func newHistory() *history { return &history{states: map[string]State{}} }

func (h *history) add(o jobs.Outcome, now time.Time) {
	s := Completed
	if o.Code != 0 {
		s = Failed
	}
	h.states[o.Job] = s
	h.order = append(h.order, endedJob{o.Job, now})
	for len(h.order) > historyLimit || len(h.order) > 0 && now.Sub(h.order[0].at) > historyAge {
		delete(h.states, h.order[0].id)
		h.order = h.order[1:]
	}
}
