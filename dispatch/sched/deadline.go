package sched

import (
	"container/heap"
	"time"

	"poplargw.example/dispatch/result"
)

type deadlineHeap []*job

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(a, b int) bool { return h[a].wake.Before(h[b].wake) }
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

// schedule sets the time at which the job is looked at: when it can no longer meet its
// deadline by the estimates of now, or at the deadline.
func (s *Scheduler) schedule(j *job) {
	j.wake = j.Deadline.Add(-j.shortest())
	heap.Push(&s.deadlines, j)
}

func (s *Scheduler) unschedule(j *job) {
	if j.deadlineIndex >= 0 {
		heap.Remove(&s.deadlines, j.deadlineIndex)
	}
}

// shortest is a lower bound of the time that the queued tasks still need: half the
// median run time at the fastest server, or 0 when none is known.
func (j *job) shortest() time.Duration {
	var d time.Duration
	for _, l := range j.lanes {
		if len(l.waiting) > 0 {
			d = max(d, l.class.kind.times.Fastest()/2)
		}
	}
	return d
}

// expire ends the jobs whose deadline has passed or can no longer be met.
func (s *Scheduler) expire(now time.Time) {
	for len(s.deadlines) > 0 && !s.deadlines[0].wake.After(now) {
		j := s.deadlines[0]
		switch {
		case !now.Before(j.Deadline):
			s.fail(now, j, result.Failure{Code: result.DeadlineExceeded, Message: "the deadline of the job has passed"})
		case !now.Add(j.shortest()).Before(j.Deadline):
			s.fail(now, j, *s.tooLate(j))
		default:
			j.wake = j.Deadline
			heap.Fix(&s.deadlines, 0)
		}
	}
}

// tooLate is the failure of a job that has waited too long to meet its deadline.
func (s *Scheduler) tooLate(j *job) *result.Failure {
	if j.team != nil && !j.team.Guaranteed(s.entries) && s.guaranteedWait(j) {
		return refusal(result.OverQuota, "team %q holds its quota and other teams use theirs", j.Team)
	}
	return refusal(result.DeadlineUnmet, "the queued tasks can no longer end before the deadline")
}

// guaranteedWait tells whether tasks of other teams wait that go first because of
// their quota.
func (s *Scheduler) guaranteedWait(j *job) bool {
	for _, c := range j.service.waiting {
		if c.team != nil && c.team != j.team && c.team.Guaranteed(s.entries) {
			return true
		}
	}
	return false
}

// delayedTask is a task that waits before its next start.
type delayedTask struct {
	at   time.Time
	job  *job
	task uint32
}

type delayHeap []delayedTask

func (h delayHeap) Len() int           { return len(h) }
func (h delayHeap) Less(a, b int) bool { return h[a].at.Before(h[b].at) }
func (h delayHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *delayHeap) Push(x any)        { *h = append(*h, x.(delayedTask)) }
func (h *delayHeap) Pop() any {
	old := *h
	d := old[len(old)-1]
	old[len(old)-1] = delayedTask{}
	*h = old[:len(old)-1]
	return d
}

func (s *Scheduler) delay(now time.Time, j *job, i uint32, d time.Duration) {
	if j.Tasks[i].Prior == nil {
		j.delayed++
	}
	heap.Push(&s.delayed, delayedTask{at: now.Add(d), job: j, task: i})
}

// release queues the delayed tasks whose wait is over.
func (s *Scheduler) release(now time.Time) {
	for len(s.delayed) > 0 && !s.delayed[0].at.After(now) {
		d := heap.Pop(&s.delayed).(delayedTask)
		if d.job.done {
			continue
		}
		if d.job.Tasks[d.task].Prior == nil {
			d.job.delayed--
		}
		s.again(now, d.job, d.task)
	}
}
