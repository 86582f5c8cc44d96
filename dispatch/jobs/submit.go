package jobs

import (
	"slices"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// Submit admits a job or rejects it. If it returns false, the outcome is final, and this entry has run nothing of
// the job.
func (s *Scheduler) Submit(now time.Time, in Job) (Outcome, bool) {
	if f := Check(in); f != nil {
		return rejectionOf(in.ID, f.Code), false
	}
	if code := s.refusalCode(now, in); code != 0 {
		return Outcome{Job: in.ID, Code: code, Effect: result.NotRun, RetryAfter: defaultRetryAfter}, false
	}
	j := newJob(in)
	s.bulkheads.service(in.Queue.Service).kind(in.Queue.Name).arrived = now
	if s.givenUp(j) {
		return Outcome{Job: in.ID, Code: result.ServerCrashes, Effect: result.Run, LatencyObjective: j.latencyObjective()}, false
	}
	j.queueKey = s.queueKeyOf(j)
	s.recordLocalDemand(now, j)
	s.recordArrival(now, j)
	if wait, ok := s.admissible(now, j); !ok {
		return s.rejection(now, j, wait), false
	}
	s.recordAdmission(now, j)
	s.arrivals++
	j.arrivalNumber = s.arrivals
	s.jobs[j.ID] = j
	s.enqueue(now, j)
	s.own(now, j)
	return Outcome{}, true
}

// defaultRetryAfter is the retry advice when the entry cannot tell when there will be capacity.
const defaultRetryAfter = time.Second

// endsBeforeLeaving reports whether the result of the job would be of no use any more when the entry stops, so that stopping
// costs its caller nothing.
func (s *Scheduler) endsBeforeLeaving(in Job) bool {
	return !newJob(in).usefulUntil().After(s.leavesAt)
}

// refusalCode returns the code with which a job is refused because the entry is stopping, or no backend
// server can run it, or no registrar can grant it, or 0. During warm-up, jobs are held for the first server of their service.
func (s *Scheduler) refusalCode(now time.Time, in Job) result.Code {
	if s.leaving && !s.endsBeforeLeaving(in) {
		return result.Draining
	}
	if !s.hasServer(in.Queue.Service) {
		if s.WarmingUp(now) {
			return 0
		}
		return result.NotReady
	}
	if s.LacksRegistrar(now) {
		return result.NotReady
	}
	for _, step := range in.Steps {
		if s.fitsAnywhere(in.Queue.Service, step) {
			continue
		}
		if s.partial {
			s.jobRefused = true
			return result.NotReady
		}
		if s.fittedBefore(in.Queue.Service, step) {
			return result.NotReady
		}
		return result.CannotRun
	}
	return 0
}

// hasServer reports whether a backend server of the service accepts tasks.
func (s *Scheduler) hasServer(service string) bool {
	return slices.ContainsFunc(s.fleet, func(v *server) bool {
		return v.acceptsTasks(s.outOfService) && v.state.Service == service
	})
}

// fitsAnywhere reports whether a task of the step fits on some known backend server of the service when
// that is empty.
func (s *Scheduler) fitsAnywhere(service string, step Step) bool {
	return slices.ContainsFunc(s.fleet, func(v *server) bool { return v.fits(service, step, v.state.Capacity) })
}

// fittedBefore reports whether a task of the step would fit on some known backend server of the service with
// the largest capacity that it has had. The capacity may grow again.
func (s *Scheduler) fittedBefore(service string, step Step) bool {
	return slices.ContainsFunc(s.fleet, func(v *server) bool { return v.fits(service, step, v.largest) })
}

// fits reports whether a task of the step can run on the backend server if that has the given capacity free.
func (v *server) fits(service string, step Step, capacity run.Demand) bool {
	return v.state.Service == service && step.Demand.Fits(capacity) && v.state.HasLabel(step.Label)
}
