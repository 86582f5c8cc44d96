package sched

import (
	"container/heap"
	"time"

	"poplargw.example/dispatch/result"
)

// deadlineHeap orders jobs by the time of their next deadline check, earliest first.
type deadlineHeap []*job

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(a, b int) bool { return h[a].nextCheck.Before(h[b].nextCheck) }
func (h deadlineHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].deadlineIndex, h[b].deadlineIndex = a, b
}
func (h *deadlineHeap) Push(x any) {
	j := x.(*job)
	j.deadlineIndex = len(*h)
	*h = append(*h, j)
}
func (h *deadlineHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	j.deadlineIndex = -1
	return j
}

// addDeadlineCheck plans the first deadline check of a job: at the time when, by the
// current estimates, the job can no longer meet its deadline.
func (s *Scheduler) addDeadlineCheck(j *job) {
	j.nextCheck = j.Deadline.Add(-j.minTimeNeeded())
	heap.Push(&s.deadlines, j)
}

// removeDeadlineCheck cancels the planned deadline check of a job, if there is one.
func (s *Scheduler) removeDeadlineCheck(j *job) {
	if j.deadlineIndex >= 0 {
		heap.Remove(&s.deadlines, j.deadlineIndex)
	}
}

// minTimeNeeded returns a lower bound of the time that the queued tasks of the job still
// need: half the median run time on the fastest server, for the kind for which that is
// longest, or 0 if none is known.
func (j *job) minTimeNeeded() time.Duration {
	var d time.Duration
	for _, q := range j.queues {
		if len(q.waiting) > 0 {
			d = max(d, q.class.kind.runTimes.Fastest()/2)
		}
	}
	return d
}

// endExpiredJobs ends the jobs whose deadline has passed or can no longer be met.
func (s *Scheduler) endExpiredJobs(now time.Time) {
	for len(s.deadlines) > 0 && !s.deadlines[0].nextCheck.After(now) {
		j := s.deadlines[0]
		switch {
		case !now.Before(j.Deadline):
			s.failJob(now, j, result.Failure{Code: result.DeadlineExceeded, Message: "the deadline of the job has passed"})
		case !now.Add(j.minTimeNeeded()).Before(j.Deadline):
			s.failJob(now, j, *s.unmetDeadline(j))
		default:
			j.nextCheck = j.Deadline
			heap.Fix(&s.deadlines, 0)
		}
	}
}

// unmetDeadline returns the failure of a job that has been queued for too long to meet
// its deadline: OverQuota if its team has reached its quota and queued tasks of teams
// within theirs go first, otherwise DeadlineUnmet.
func (s *Scheduler) unmetDeadline(j *job) *result.Failure {
	if j.team != nil && !j.team.Guaranteed(s.entryCount) && s.otherGuaranteedWaiting(j) {
		return refusal(result.OverQuota, "team %q already uses its quota, and teams within their quota go first", j.Team)
	}
	return refusal(result.DeadlineUnmet, "the queued tasks can no longer finish before the deadline")
}

// otherGuaranteedWaiting reports whether tasks of other teams are queued that take
// precedence because these teams are within their quota.
func (s *Scheduler) otherGuaranteedWaiting(j *job) bool {
	for _, c := range j.service.waitingClasses {
		if c.team != nil && c.team != j.team && c.team.Guaranteed(s.entryCount) {
			return true
		}
	}
	return false
}

// delayedTask is a refused task that is not placed again before releaseAt.
type delayedTask struct {
	releaseAt time.Time
	job       *job
	task      uint32
}

// delayHeap orders delayed tasks by releaseAt, earliest first.
type delayHeap []delayedTask

func (h delayHeap) Len() int           { return len(h) }
func (h delayHeap) Less(a, b int) bool { return h[a].releaseAt.Before(h[b].releaseAt) }
func (h delayHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *delayHeap) Push(x any)        { *h = append(*h, x.(delayedTask)) }
func (h *delayHeap) Pop() any {
	old := *h
	d := old[len(old)-1]
	old[len(old)-1] = delayedTask{}
	*h = old[:len(old)-1]
	return d
}

// delayTask places task i of a job again after the delay d.
func (s *Scheduler) delayTask(now time.Time, j *job, i uint32, d time.Duration) {
	if j.Tasks[i].Prior == nil {
		j.delayed++
	}
	heap.Push(&s.delayed, delayedTask{releaseAt: now.Add(d), job: j, task: i})
}

// releaseDelayed places the delayed tasks again whose delay is over.
func (s *Scheduler) releaseDelayed(now time.Time) {
	for len(s.delayed) > 0 && !s.delayed[0].releaseAt.After(now) {
		d := heap.Pop(&s.delayed).(delayedTask)
		if d.job.done {
			continue
		}
		if d.job.Tasks[d.task].Prior == nil {
			d.job.delayed--
		}
		s.retryTask(now, d.job, d.task)
	}
}
