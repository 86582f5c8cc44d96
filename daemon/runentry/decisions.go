package runentry

import (
	"math"
	"time"

	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/result"
)

// logDecisions logs the scheduler's decisions since the last call. The caller must hold e.mu.
func (e *Entry) logDecisions() {
	for _, d := range e.scheduler.Decisions() {
		e.logDecision(d)
	}
}

func (e *Entry) logDecision(d jobs.Decision) {
	f := event.Fields{"agent": d.Agent}
	if d.Ref.Task != "" {
		f["task"], f["run"] = d.Ref.Task, d.Ref.Run
	}
	switch d.Kind {
	case jobs.Placed:
		f["attempt"], f["expected_ms"], f["state_age_ms"], f["free_cpu"] = d.Attempt, d.Expected.Milliseconds(), d.Age.Milliseconds(), d.Free
		e.Log.InfoLimited(event.TaskPlaced, f)
	case jobs.Moved:
		e.counters.moved.Inc()
		f["attempt"], f["rest_ms"], f["state_age_ms"] = d.Attempt, d.Remaining.Milliseconds(), d.Age.Milliseconds()
		e.Log.InfoLimited(event.RunMoved, f)
	case jobs.Returned:
		e.counters.countTaskReturn(d.End, d.Reason)
		if d.Reason == result.StartTooLate {
			e.interval.unanswered++
		}
		f["attempt"], f["kind"], f["code"] = d.Attempt, d.End.String(), uint32(d.Reason)
		e.Log.InfoLimited(event.TaskReturned, f)
	case jobs.Lost:
		f["silent_ms"], f["runs"] = d.Age.Milliseconds(), d.Runs
		e.Log.Warn(event.AgentLost, f)
	case jobs.Suspended:
		e.Log.Warn(event.ServerSuspended, f)
	case jobs.Crashed:
		f["runs"] = d.Suspects
		e.Log.Warn(event.ServerCrashed, f)
	case jobs.Confined:
		f["queue"] = d.Queue
		e.Log.Warn(event.KindConfined, f)
	case jobs.Released:
		e.Log.Info(event.KindReleased, event.Fields{"queue": d.Queue})
	case jobs.InterferenceFound:
		e.Log.Info(event.InterferenceFound, interferenceFields(d))
	case jobs.InterferenceForgotten:
		e.Log.Info(event.InterferenceForgotten, interferenceFields(d))
	case jobs.FormerOwnerLost:
		e.counters.ownersLost.Inc()
		e.Log.InfoLimited(event.FormerOwnerLost, event.Fields{"job": d.Job, "silent": d.Silent})
	case jobs.KeptNearData:
		e.Log.InfoLimited(event.PlacesKeptNearData, event.Fields{
			"service": d.Service, "label": d.Label, "places": d.Count, "demand": rounded(d.Share),
		})
	case jobs.UnevenRunTimes:
		e.Log.InfoLimited(event.RunTimesUneven, event.Fields{"service": d.Service, "long_steps": d.Count})
	case jobs.GivenUp:
		e.Log.InfoLimited(event.TaskGivenUp, givenUpFields(d))
	}
}

func interferenceFields(d jobs.Decision) event.Fields {
	return event.Fields{"service": d.Service, "kind": d.Pair.Kind, "beside": d.Pair.Beside, "effect": rounded(d.Pair.Effect), "error": rounded(d.Pair.Error)}
}

// rounded returns x to three decimal places.
func rounded(x float64) float64 { return math.Round(1000*x) / 1000 }

// countedCrash is a crash in the fields of event.TaskGivenUp.
type countedCrash struct {
	Agent     string  `json:"agent"`
	Instance  string  `json:"instance"`
	Share     float64 `json:"share"`
	AgeMs     int64   `json:"age_ms"`
	Others    int     `json:"others"`
	OtherJobs int     `json:"other_jobs"`
}

func givenUpFields(d jobs.Decision) event.Fields {
	list := make([]countedCrash, len(d.Crashes))
	for i, c := range d.Crashes {
		list[i] = countedCrash{c.Agent, c.Instance, c.Share, c.Age.Milliseconds(), c.Others, c.OtherJobs}
	}
	return event.Fields{"task": d.Ref.Task, "crashes": d.Count, "share": d.Share, "servers": list}
}

// recordOutcome logs the outcome of a job and updates the metrics.
func (e *Entry) recordOutcome(j jobs.Job, o jobs.Outcome) {
	took := boottime.Now().Sub(j.Arrived)
	e.counters.recordJobEnd(j.Queue.Name, o.Code, took)
	e.countOutcome(o, took)
	f := event.Fields{"job": j.ID, "queue": j.Queue.Name, "code": uint32(o.Code), "took_ms": took.Milliseconds()}
	if !o.Started.IsZero() {
		f["started_ms"] = o.Started.Sub(j.Arrived).Milliseconds()
	}
	if o.Code == 0 {
		e.Log.InfoLimited(event.JobEnded, f)
		return
	}
	f["effect"] = o.Effect.String()
	f["tasks"] = taskCount(j)
	if o.RetryAfter > 0 {
		f["retry_after_ms"] = o.RetryAfter.Milliseconds()
	}
	if o.Capacity > 0 {
		f["free_cpu"], f["room_cpu"] = o.Free, o.Capacity
	}
	e.Log.InfoLimited(event.JobEnded, f)
}

func (e *Entry) countOutcome(o jobs.Outcome, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.interval.count(o, took)
}

// taskCount returns the number of tasks in all steps of a job, or jobs.MaxTasks + 1 if there are more: the counts of
// a rejected job may be beyond any limit.
func taskCount(j jobs.Job) int {
	n := 0
	for _, s := range j.Steps {
		n = min(jobs.MaxTasks+1, n+min(jobs.MaxTasks+1, max(0, s.Count)))
	}
	return n
}
