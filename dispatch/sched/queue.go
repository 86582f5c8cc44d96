package sched

import (
	"container/heap"
	"math/bits"
	"time"

	"poplargw.example/dispatch/result"
)

// Weights of the order of jobs, as waiting time: a job that has waited longer by the
// weight overtakes. Up to manyTasks each remaining task weighs remainingWeight, so that small
// jobs go before large ones that arrived within some tenths of a second; each further one
// weighs manyWeight. The largest remaining weight (400 tasks) is 0.81 s, less than
// urgentWeight, so that the order is priority, urgent, fewest remaining tasks, arrival for
// jobs that arrive together. No job starves, because the weights are bounded (19.8 s in all).
const (
	priorityWeight  = 2 * time.Second
	urgentWeight    = time.Second
	remainingWeight = 10 * time.Millisecond
	manyTasks       = 64
	manyWeight      = 500 * time.Microsecond
	maxPriority     = 9
)

// Bounds of repeats after a refusal that does not use up the retry budget, see behind.
const (
	immediateStale = 3
	staleWait      = 5 * time.Millisecond
	maxStaleShift  = 4 // the longest wait is 80 ms
)

// job is a submission in progress.
type job struct {
	Job
	service       *service
	team          *team
	arrived       time.Time
	sequence      uint64
	tasks         []task
	results       [][]byte
	lanes         []*lane
	remaining     int // tasks without a result
	outstanding   int // unanswered starts
	delayed       int // tasks not started that wait after a stale refusal
	held          int // slots of unanswered starts
	size          int // class of the number of tasks, see sizeOf
	wake          time.Time
	capped        bool
	done          bool
	ran           bool // a task has started
	mayHaveRun    bool // a task may have started
	deadlineIndex int
	failedAt      *server // first server where a task failed
	failedWidely  bool    // tasks failed at more than one server
}

type task struct {
	retries uint16 // refusals that count against the retry budget
	stale   uint16 // refusals that do not
}

// effect tells what is known of the job's tasks.
func (j *job) effect() result.Effect {
	switch {
	case j.ran:
		return result.Run
	case j.mayHaveRun || j.outstanding > 0:
		return result.Unknown
	}
	return result.NotRun
}

func (j *job) notStarted() int {
	n := j.delayed
	for _, l := range j.lanes {
		n += len(l.waiting)
	}
	return n
}

// lane holds the queued tasks of one job and kind; the last is started first.
type lane struct {
	job     *job
	class   *class
	waiting []uint32
	key     int64
	index   int // position in the heap; -1 when not queued
}

// add changes the number of queued tasks; n may be negative.
func (s *Scheduler) add(l *lane, n int) {
	c := l.class
	c.tasks += n
	c.bySize[l.job.size] += n
	c.kind.service.queued += n
	s.queued += n
}

// push puts a task at the front of its lane.
func (s *Scheduler) push(j *job, i uint32) *lane {
	l := j.lane(s, j.service.kinds[j.Tasks[i].Kind])
	l.waiting = append(l.waiting, i)
	if l.index >= 0 {
		s.add(l, 1)
	}
	return l
}

// pop takes the first task of a queued lane.
func (s *Scheduler) pop(l *lane) uint32 {
	i := l.first()
	l.waiting = l.waiting[:len(l.waiting)-1]
	s.add(l, -1)
	if len(l.waiting) == 0 {
		s.dequeue(l)
	}
	return i
}

func (l *lane) first() uint32 { return l.waiting[len(l.waiting)-1] }

// lane returns the job's lane of a kind and creates it if needed.
func (j *job) lane(s *Scheduler, k *kind) *lane {
	for _, l := range j.lanes {
		if l.class.kind == k {
			return l
		}
	}
	l := &lane{job: j, class: s.class(k, j.team, j.Team), index: -1}
	j.lanes = append(j.lanes, l)
	return l
}

// order is the lane's position: smaller first. It does not change with time, since
// all lanes age alike.
func (s *Scheduler) order(l *lane) int64 {
	k := l.class.kind
	w := l.job.arrived.Sub(s.base) - time.Duration(k.priority)*priorityWeight
	if k.urgent {
		w -= urgentWeight
	}
	n := l.job.remaining
	return int64(w + time.Duration(min(n, manyTasks))*remainingWeight + time.Duration(max(n-manyTasks, 0))*manyWeight)
}

// class holds the lanes of one kind and team.
type class struct {
	kind   *kind
	team   *team
	ready  laneHeap
	capped laneHeap // lanes of jobs that hold their fair share of the slots
	tasks  int
	bySize [sizes]int // tasks by sizeOf their job
	index  int        // position in service.waiting; -1 when empty
}

// sizes is the number of classes of job sizes: powers of two up to 512 tasks and more.
const sizes = 11

func sizeOf(tasks int) int { return min(bits.Len(uint(tasks)), sizes-1) }

type classKey struct {
	kind string
	team string
}

func (s *Scheduler) class(k *kind, t *team, name string) *class {
	if t == nil {
		name = ""
	}
	key := classKey{kind: k.name, team: name}
	c := k.service.classes[key]
	if c == nil || c.kind != k {
		c = &class{kind: k, index: -1}
		k.service.classes[key] = c
	}
	c.team = t
	return c
}

func (c *class) head() (*lane, bool) {
	if len(c.ready) > 0 {
		return c.ready[0], false
	}
	return c.capped[0], true
}

func (c *class) heapOf(j *job) *laneHeap {
	if j.capped {
		return &c.capped
	}
	return &c.ready
}

// enqueue makes a lane with queued tasks visible to placement.
func (s *Scheduler) enqueue(l *lane) {
	if l.index >= 0 || len(l.waiting) == 0 {
		return
	}
	c := l.class
	l.key = s.order(l)
	heap.Push(c.heapOf(l.job), l)
	s.add(l, len(l.waiting))
	c.kind.service.show(c)
}

// dequeue hides a lane from placement.
func (s *Scheduler) dequeue(l *lane) {
	if l.index < 0 {
		return
	}
	c := l.class
	heap.Remove(c.heapOf(l.job), l.index)
	s.add(l, -len(l.waiting))
	if len(c.ready)+len(c.capped) == 0 {
		c.kind.service.hide(c)
	}
}

// reorder updates the positions of a job's lanes after its remaining tasks changed.
func (s *Scheduler) reorder(j *job) {
	for _, l := range j.lanes {
		if l.index >= 0 {
			l.key = s.order(l)
			heap.Fix(l.class.heapOf(j), l.index)
		}
	}
}

// setCapped moves a job's lanes between the ready and the capped heaps.
func (s *Scheduler) setCapped(j *job, capped bool) {
	if j.capped == capped {
		return
	}
	for _, l := range j.lanes {
		if l.index >= 0 {
			heap.Remove(l.class.heapOf(j), l.index)
			l.index = -2
		}
	}
	j.capped = capped
	for _, l := range j.lanes {
		if l.index == -2 {
			heap.Push(l.class.heapOf(j), l)
		}
	}
}

func (sv *service) show(c *class) {
	if c.index < 0 {
		c.index = len(sv.waiting)
		sv.waiting = append(sv.waiting, c)
	}
}

func (sv *service) hide(c *class) {
	last := len(sv.waiting) - 1
	sv.waiting[c.index] = sv.waiting[last]
	sv.waiting[c.index].index = c.index
	sv.waiting = sv.waiting[:last]
	c.index = -1
}

type laneHeap []*lane

func (h laneHeap) Len() int { return len(h) }
func (h laneHeap) Less(a, b int) bool {
	if h[a].key != h[b].key {
		return h[a].key < h[b].key
	}
	return h[a].job.sequence < h[b].job.sequence
}
func (h laneHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].index, h[b].index = a, b
}
func (h *laneHeap) Push(x any) {
	l := x.(*lane)
	l.index = len(*h)
	*h = append(*h, l)
}
func (h *laneHeap) Pop() any {
	old := *h
	l := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	l.index = -1
	return l
}
