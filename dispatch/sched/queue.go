package sched

import "time"

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

// Values of taskQueue.heapIndex for queues that are in no heap.
const (
	notInHeap = -1
	// betweenHeaps marks the queues that setCapped is moving from one heap to the other.
	betweenHeaps = -2
)

// taskQueue holds the queued tasks of one job and kind.
type taskQueue struct {
	job       *job
	class     *class
	waiting   []uint32 // task indices; the last one is started first
	orderKey  int64    // see Scheduler.orderKey
	heapIndex int      // position in the heap of the class, or notInHeap or betweenHeaps
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
	q := &taskQueue{job: j, class: s.ensureClass(k, j.team, j.Team), heapIndex: notInHeap}
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
