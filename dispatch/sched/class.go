package sched

import (
	"container/heap"
	"math/bits"
)

// class holds the task queues of one kind and team.
type class struct {
	kind         *kind
	team         *team
	ready        queueHeap        // queues of jobs that are not capped
	capped       queueHeap        // queues of jobs that hold their fair share of the slots
	tasks        int              // queued tasks
	tasksBySize  [sizeClasses]int // queued tasks by size class of their job
	waitingIndex int              // position in service.waitingClasses; -1 if not contained
}

// sizeClasses is the number of size classes of jobs. Class 0 contains jobs without tasks,
// class n those of 2^(n-1) to 2^n-1 tasks, and the last class all jobs of 512 or more tasks.
const sizeClasses = 11

// sizeClassOf returns the size class of a job with the given number of tasks.
func sizeClassOf(tasks int) int { return min(bits.Len(uint(tasks)), sizeClasses-1) }

// classKey identifies a class within a service. team is empty for jobs without a declared
// team.
type classKey struct {
	kind string
	team string
}

// ensureClass returns the class of a kind and team and creates it if needed. name is the
// name of the team; it is ignored if t is nil.
func (s *Scheduler) ensureClass(k *kind, t *team, name string) *class {
	if t == nil {
		name = ""
	}
	key := classKey{kind: k.name, team: name}
	c := k.service.classes[key]
	if c == nil || c.kind != k {
		c = &class{kind: k, waitingIndex: -1}
		k.service.classes[key] = c
	}
	c.team = t
	return c
}

// head returns the queue to start from next and whether its job is capped. The class must
// not be empty.
func (c *class) head() (*taskQueue, bool) {
	if len(c.ready) > 0 {
		return c.ready[0], false
	}
	return c.capped[0], true
}

// heapFor returns the heap that holds the queues of a job.
func (c *class) heapFor(j *job) *queueHeap {
	if j.capped {
		return &c.capped
	}
	return &c.ready
}

// enqueue adds a queue with tasks to its class, so that placement considers it.
func (s *Scheduler) enqueue(q *taskQueue) {
	if q.heapIndex >= 0 || len(q.waiting) == 0 {
		return
	}
	c := q.class
	q.orderKey = s.orderKey(q)
	heap.Push(c.heapFor(q.job), q)
	s.addQueued(q, len(q.waiting))
	c.kind.service.addWaiting(c)
}

// dequeue removes a queue from its class, so that placement no longer considers it.
func (s *Scheduler) dequeue(q *taskQueue) {
	if q.heapIndex < 0 {
		return
	}
	c := q.class
	heap.Remove(c.heapFor(q.job), q.heapIndex)
	s.addQueued(q, -len(q.waiting))
	if len(c.ready)+len(c.capped) == 0 {
		c.kind.service.removeWaiting(c)
	}
}

// reorder updates the positions of a job's queues after the number of its remaining tasks
// has changed.
func (s *Scheduler) reorder(j *job) {
	for _, q := range j.queues {
		if q.heapIndex >= 0 {
			q.orderKey = s.orderKey(q)
			heap.Fix(q.class.heapFor(j), q.heapIndex)
		}
	}
}

// setCapped marks a job as capped or not, and moves its queues between the ready and the
// capped heap of their class.
func (s *Scheduler) setCapped(j *job, capped bool) {
	if j.capped == capped {
		return
	}
	for _, q := range j.queues {
		if q.heapIndex >= 0 {
			heap.Remove(q.class.heapFor(j), q.heapIndex)
			q.heapIndex = betweenHeaps
		}
	}
	j.capped = capped
	for _, q := range j.queues {
		if q.heapIndex == betweenHeaps {
			heap.Push(q.class.heapFor(j), q)
		}
	}
}

// addWaiting adds a class to the classes with queued tasks.
func (svc *service) addWaiting(c *class) {
	if c.waitingIndex < 0 {
		c.waitingIndex = len(svc.waitingClasses)
		svc.waitingClasses = append(svc.waitingClasses, c)
	}
}

// removeWaiting removes a class from the classes with queued tasks.
func (svc *service) removeWaiting(c *class) {
	svc.waitingClasses = removeUnordered(svc.waitingClasses, c.waitingIndex, func(o *class, i int) { o.waitingIndex = i })
	c.waitingIndex = -1
}

// queueHeap orders task queues by orderKey, then by arrival of the job.
type queueHeap []*taskQueue

func (h queueHeap) Len() int           { return len(h) }
func (h queueHeap) Less(a, b int) bool { return queueBefore(h[a], h[b]) }
func (h queueHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].heapIndex, h[b].heapIndex = a, b
}
func (h *queueHeap) Push(x any) {
	q := x.(*taskQueue)
	q.heapIndex = len(*h)
	*h = append(*h, q)
}
func (h *queueHeap) Pop() any {
	old := *h
	q := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	q.heapIndex = notInHeap
	return q
}
