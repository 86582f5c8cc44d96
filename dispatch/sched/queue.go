package sched

import (
	"container/heap"
	"math/bits"
	"time"

	"poplargw.example/dispatch/result"
)

// Weights that determine the order of jobs, as waiting times: a job overtakes another if
// its longer wait outweighs the difference of the weights. Each of the first
// fullWeightTasks remaining tasks adds taskWeight, so that small jobs go before large
// ones that arrived within some tenths of a second; each further task adds
// extraTaskWeight. The largest weight of the remaining tasks (400 tasks) is 0.81 s, less
// than urgentWeight. Jobs that arrive together are therefore ordered by priority,
// urgency, fewest remaining tasks and arrival. No job starves, because the weights are
// bounded (19.8 s in total).
const (
	priorityWeight  = 2 * time.Second
	urgentWeight    = time.Second
	taskWeight      = 10 * time.Millisecond
	fullWeightTasks = 64
	extraTaskWeight = 500 * time.Microsecond
	maxPriority     = 9
)

// Limits on restarts after a stale refusal, which does not count against the retry budget,
// see isStaleRefusal. The first immediateStaleRetries restarts of a task are immediate; the
// delay of the later ones starts at minStaleDelay and doubles each time. minStaleDelay is
// also the delay before an attach-only start is repeated after any other refusal.
const (
	immediateStaleRetries = 3
	minStaleDelay         = 5 * time.Millisecond
	maxStaleDelayShift    = 4 // the longest delay is 80 ms
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

// taskQueue holds the queued tasks of one job and kind.
type taskQueue struct {
	job       *job
	class     *class
	waiting   []uint32 // task indices; the last one is started first
	orderKey  int64    // see Scheduler.orderKey
	heapIndex int      // position in the heap of the class; -1 if not contained, -2 during setCapped
}

// addQueued adds n, which may be negative, to the counts of queued tasks.
func (s *Scheduler) addQueued(q *taskQueue, n int) {
	c := q.class
	c.tasks += n
	c.tasksBySize[q.job.sizeClass] += n
	c.kind.service.queued += n
	s.queued += n
}

// push puts task i of a job at the front of its queue and returns the queue.
func (s *Scheduler) push(j *job, i uint32) *taskQueue {
	q := j.ensureQueue(s, j.service.kinds[j.Tasks[i].Kind])
	q.waiting = append(q.waiting, i)
	if q.heapIndex >= 0 {
		s.addQueued(q, 1)
	}
	return q
}

// pop removes the first task of a queue and returns its index. The queue must be in the
// heap of its class.
func (s *Scheduler) pop(q *taskQueue) uint32 {
	i := q.first()
	q.waiting = q.waiting[:len(q.waiting)-1]
	s.addQueued(q, -1)
	if len(q.waiting) == 0 {
		s.dequeue(q)
	}
	return i
}

// first returns the index of the task to start first. The queue must not be empty.
func (q *taskQueue) first() uint32 { return q.waiting[len(q.waiting)-1] }

// ensureQueue returns the job's queue for a kind and creates it if needed.
func (j *job) ensureQueue(s *Scheduler, k *kind) *taskQueue {
	for _, q := range j.queues {
		if q.class.kind == k {
			return q
		}
	}
	q := &taskQueue{job: j, class: s.ensureClass(k, j.team, j.Team), heapIndex: -1}
	j.queues = append(j.queues, q)
	return q
}

// orderKey returns the sort key of a queue; the smallest goes first. The key does not
// depend on the current time, since all queues age alike.
func (s *Scheduler) orderKey(q *taskQueue) int64 {
	k := q.class.kind
	w := q.job.arrived.Sub(s.epoch) - time.Duration(k.priority)*priorityWeight
	if k.urgent {
		w -= urgentWeight
	}
	n := q.job.remaining
	return int64(w + time.Duration(min(n, fullWeightTasks))*taskWeight + time.Duration(max(n-fullWeightTasks, 0))*extraTaskWeight)
}

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
			q.heapIndex = -2
		}
	}
	j.capped = capped
	for _, q := range j.queues {
		if q.heapIndex == -2 {
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
	last := len(svc.waitingClasses) - 1
	svc.waitingClasses[c.waitingIndex] = svc.waitingClasses[last]
	svc.waitingClasses[c.waitingIndex].waitingIndex = c.waitingIndex
	svc.waitingClasses = svc.waitingClasses[:last]
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
	q.heapIndex = -1
	return q
}
