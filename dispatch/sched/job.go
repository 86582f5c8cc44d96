package sched

import (
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/submission"
)

// job is a submission in progress.
type job struct {
	Job
	service           *service
	team              *team
	arrived           time.Time
	sequence          uint64
	tasks             []taskState
	results           [][]byte
	queues            []*taskQueue
	remaining         int       // tasks without a result
	outstanding       int       // unanswered starts
	delayed           int       // tasks without a start record that wait after a refusal
	held              int       // slots of unanswered starts
	sizeClass         int       // see sizeClassOf
	nextCheck         time.Time // time of the next deadline check
	capped            bool      // holds its fair share of the slots, see applyFairShare
	done              bool
	taskRan           bool    // a task is known to have started
	mayHaveRun        bool    // a task may have started
	deadlineIndex     int     // position in Scheduler.deadlines; -1 if not contained
	firstFailedServer *server // first server on which a task failed
	failedElsewhere   bool    // a task failed on another server too
}

// taskState counts the refusals of a task.
type taskState struct {
	retries       uint16 // refusals that count against the retry budget
	staleRefusals uint16 // refusals that do not, see isStaleRefusal
}

// effect returns what is known about the execution of the tasks of the job.
func (j *job) effect() result.Effect {
	switch {
	case j.taskRan:
		return result.Run
	case j.mayHaveRun || j.outstanding > 0:
		return result.Unknown
	}
	return result.NotRun
}

// notStarted returns the number of tasks that are queued or delayed.
func (j *job) notStarted() int {
	n := j.delayed
	for _, q := range j.queues {
		n += len(q.waiting)
	}
	return n
}

// Submit queues a job. A refusal is a FinishJob with effect NotRun, or with effect
// Unknown if an agent may have started tasks of the job. A job whose key is already
// queued or running is ignored.
func (s *Scheduler) Submit(now time.Time, j Job) []Action {
	s.beginEvent(now)
	if _, ok := s.jobs[j.Key]; ok {
		return nil
	}
	if f := s.checkAdmission(now, &j); f != nil {
		s.counters.jobRefusals[f.Code]++
		s.emit(FinishJob{Key: j.Key, Outcome: Outcome{Failure: f}})
		return s.endEvent(now)
	}
	s.accept(now, j)
	return s.endEvent(now)
}

// accept queues an admitted job and attaches to those of its tasks that an agent has
// already started.
func (s *Scheduler) accept(now time.Time, in Job) {
	s.lastSequence++
	svc := s.services[in.Service]
	j := &job{
		Job: in, service: svc, team: s.teams[in.Team], arrived: now, sequence: s.lastSequence,
		remaining: len(in.Tasks), tasks: make([]taskState, len(in.Tasks)), results: make([][]byte, len(in.Tasks)),
		sizeClass: sizeClassOf(len(in.Tasks)), deadlineIndex: -1,
	}
	s.jobs[in.Key] = j
	if len(in.Tasks) == 0 {
		s.completeJob(j)
		return
	}
	for i := len(in.Tasks) - 1; i >= 0; i-- {
		if in.Tasks[i].Prior == nil {
			s.push(j, uint32(i))
		}
	}
	for i := range in.Tasks {
		if in.Tasks[i].Prior != nil {
			j.mayHaveRun = true
			s.attach(now, j, uint32(i))
		}
	}
	for _, q := range j.queues {
		s.enqueue(q)
	}
	s.addDeadlineCheck(j)
	s.markDirty(svc)
}

// Cancel ends a job. Its queued tasks never start; notStarted is their number. The cost
// does not depend on the number of queued tasks.
func (s *Scheduler) Cancel(now time.Time, k submission.Key) (notStarted int, actions []Action) {
	s.beginEvent(now)
	j := s.jobs[k]
	if j == nil {
		return 0, nil
	}
	n := j.notStarted()
	s.failJob(now, j, result.Failure{Code: result.Cancelled, Message: "the job was cancelled"})
	return n, s.endEvent(now)
}

// completeJob ends a job whose tasks all have results.
func (s *Scheduler) completeJob(j *job) {
	s.removeJob(j)
	s.emit(FinishJob{Key: j.Key, Outcome: Outcome{Results: j.results}})
}

// failJob ends a job with the failure f and sets its effect to what is known of the job.
// With effect NotRun nothing is lost, so the caller may submit the job again: if that can
// help and RetryAfter is not set yet, failJob sets it.
func (s *Scheduler) failJob(now time.Time, j *job, f result.Failure) {
	f.Effect = j.effect()
	if f.Effect == result.NotRun && f.RetryAfter == 0 && retryable(f.Code) {
		f.RetryAfter = s.retryAfter(j.service)
	}
	s.removeJob(j)
	s.emit(FinishJob{Key: j.Key, Outcome: Outcome{Failure: &f}})
}

// removeJob removes a job from all structures. Its unanswered starts stay recorded.
func (s *Scheduler) removeJob(j *job) {
	j.done = true
	for _, q := range j.queues {
		s.dequeue(q)
		q.waiting = nil
	}
	s.removeDeadlineCheck(j)
	delete(s.jobs, j.Key)
	if j.outstanding > 0 {
		s.orphanedStarts[j.Key] += j.outstanding
	}
	s.markDirty(j.service)
}
