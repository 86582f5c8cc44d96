package jobs

import "poplargw.example/dispatch/result"

// Abandon drops a job whose caller has disconnected or cancelled it, and stops its runs. The job gets
// no outcome.
func (s *Scheduler) Abandon(id string) {
	if j := s.jobs[id]; j != nil {
		s.drop(j)
	}
}

// GiveUp ends a job with the given code. The effect in its outcome is result.NotRun if nothing has run.
func (s *Scheduler) GiveUp(id string, code result.Code) {
	if j := s.jobs[id]; j != nil {
		s.finish(j, Outcome{Code: code, RetryAfter: defaultRetryAfter})
	}
}

// Cancel ends a job that its caller has cancelled, here or at another entry. See RequestCancel.
func (s *Scheduler) Cancel(id string) { s.GiveUp(id, result.Cancelled) }

// drop removes a job and stops its runs.
func (s *Scheduler) drop(j *job) {
	delete(s.jobs, j.ID)
	s.dequeue(j)
	for _, t := range j.tasks {
		if t.run != nil {
			s.stop(t.run)
		}
	}
	if o := s.ownerships[j.ID]; o != nil {
		s.release(o)
	}
}

// finish ends a job and records the outcome for its caller.
func (s *Scheduler) finish(j *job, o Outcome) {
	o.Job = j.ID
	o.Started = j.startedAt
	o.LatencyObjective = j.latencyObjective()
	if o.Code != 0 {
		o.Effect = result.NotRun
		switch {
		case j.mayHaveRun() || o.Code == result.ServerCrashes:
			o.Effect = result.Run // under crashes, perhaps on the orders of another entry
		case s.hadLostOwner(j.ID):
			o.Code, o.Effect = codeOfUnknown(o.Code), result.Unknown
		}
	}
	s.outcomes = append(s.outcomes, o)
	s.drop(j)
}
