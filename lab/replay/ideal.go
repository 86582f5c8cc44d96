package replay

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// IdealSchedule holds the response times and runs of the ideal schedule of a trace.
type IdealSchedule struct {
	// Response holds for each job the time from its arrival to its last result; 0 if it was cancelled
	// before its last result.
	Response []time.Duration
	// Runs lists all runs in the order of their starts.
	Runs []Run
}

// Run is the run of one task on a backend server. Job and Server are positions in the trace; Start
// and End are times from the start of the trace.
type Run struct {
	Job, Server int
	Start, End  time.Duration
}

// ComputeIdeal computes the ideal schedule of a trace: that of a central scheduler whose messages
// take no time and which knows every run time, speed, failing server and free slot exactly.
//
// At each event (the arrival or cancellation of a job, the end of a task, a change of a failure
// domain) the waiting tasks are visited in this order: highest priority of the kind, urgent before
// others, least remaining work of the job, longest task. Each is assigned to the slot on which it
// would end first, given the assignments before it. It starts if that slot is free; otherwise it
// waits and is assigned again at the next event. A started task is never interrupted. A cancelled
// job starts no more tasks.
func ComputeIdeal(t *Trace) *IdealSchedule {
	s := newIdealScheduler(t)
	for s.events.Len() > 0 {
		s.now = s.events[0].at
		for s.events.Len() > 0 && s.events[0].at == s.now {
			s.apply(heap.Pop(&s.events).(idealEvent))
		}
		s.assign()
	}
	return s.result
}

// idealEvent is an event of the simulation; run is the run time at speed 1 of a task that ends.
type idealEvent struct {
	at   time.Duration
	kind int
	job  *idealJob
	run  time.Duration
}

// Kinds of events.
const (
	idealArrive = iota
	idealCancel
	idealEnd
	idealDomainOut
	idealDomainBack
)

// idealJob is a job with the state of its tasks.
type idealJob struct {
	*Job
	index      int
	waiting    []time.Duration // run times of the waiting tasks at speed 1, longest first
	work       time.Duration   // run time at speed 1 of all tasks that have not ended
	unfinished int
}

// idealScheduler is the state of the simulation that ComputeIdeal runs.
type idealScheduler struct {
	t           *Trace
	now         time.Duration
	result      *IdealSchedule
	events      idealEventHeap
	jobs        []*idealJob       // jobs with waiting tasks
	slots       [][]time.Duration // when each slot of each server becomes free
	unavailable []bool            // servers that fail or are out of service
}

// newIdealScheduler returns the state before the first event, with all events of the trace queued.
func newIdealScheduler(t *Trace) *idealScheduler {
	s := &idealScheduler{t: t, result: &IdealSchedule{Response: make([]time.Duration, len(t.Jobs))}, unavailable: make([]bool, len(t.Servers))}
	for i, v := range t.Servers {
		s.slots = append(s.slots, make([]time.Duration, v.Slots))
		s.unavailable[i] = v.Fails
	}
	for i := range t.Jobs {
		j := &idealJob{Job: &t.Jobs[i], index: i, unfinished: len(t.Jobs[i].RunMS), work: t.Jobs[i].Work()}
		for _, ms := range j.RunMS {
			j.waiting = append(j.waiting, milliseconds(ms))
		}
		slices.SortFunc(j.waiting, func(a, b time.Duration) int { return cmp.Compare(b, a) })
		heap.Push(&s.events, idealEvent{at: milliseconds(j.AtMS), kind: idealArrive, job: j})
		if j.CancelMS > 0 {
			heap.Push(&s.events, idealEvent{at: milliseconds(j.CancelMS), kind: idealCancel, job: j})
		}
	}
	if t.OutDomain != "" {
		heap.Push(&s.events, idealEvent{at: milliseconds(t.OutMS), kind: idealDomainOut})
		heap.Push(&s.events, idealEvent{at: milliseconds(t.BackMS), kind: idealDomainBack})
	}
	return s
}

// apply changes the state by one event.
func (s *idealScheduler) apply(e idealEvent) {
	switch e.kind {
	case idealArrive:
		s.jobs = append(s.jobs, e.job)
	case idealCancel:
		e.job.waiting = nil
	case idealEnd:
		j := e.job
		j.work -= e.run
		if j.unfinished--; j.unfinished == 0 && (j.CancelMS == 0 || s.now < milliseconds(j.CancelMS)) {
			s.result.Response[j.index] = s.now - milliseconds(j.AtMS)
		}
	case idealDomainOut, idealDomainBack:
		for i, v := range s.t.Servers {
			if v.Domain == s.t.OutDomain {
				s.unavailable[i] = e.kind == idealDomainOut || v.Fails
			}
		}
	}
}

// assign visits the waiting tasks in the order of ComputeIdeal until no slot is free.
func (s *idealScheduler) assign() {
	s.jobs = slices.DeleteFunc(s.jobs, func(j *idealJob) bool { return len(j.waiting) == 0 })
	slices.SortStableFunc(s.jobs, func(a, b *idealJob) int {
		ka, kb := s.t.Kinds[a.Kind], s.t.Kinds[b.Kind]
		return cmp.Or(cmp.Compare(kb.rank(), ka.rank()), cmp.Compare(a.work, b.work))
	})
	planned := make([][]time.Duration, len(s.slots))
	free := 0
	for i, slots := range s.slots {
		planned[i] = slices.Clone(slots)
		for _, until := range slots {
			if until <= s.now && !s.unavailable[i] {
				free++
			}
		}
	}
	for _, j := range s.jobs {
		for n := 0; n < len(j.waiting) && free > 0; {
			if s.assignTask(j, j.waiting[n], planned) {
				free--
				j.waiting = slices.Delete(j.waiting, n, n+1)
			} else {
				n++
			}
		}
	}
}

// rank orders kinds by priority and, within a priority, urgent ones higher.
func (k *Kind) rank() int {
	if k.Urgent {
		return 2*k.Priority + 1
	}
	return 2 * k.Priority
}

// assignTask assigns a task to the slot on which it would end first and returns whether it starts
// now. planned holds for each slot when it becomes free, given the assignments of this event.
func (s *idealScheduler) assignTask(j *idealJob, run time.Duration, planned [][]time.Duration) bool {
	server, slot, end := -1, -1, time.Duration(0)
	for i, slots := range planned {
		if s.unavailable[i] {
			continue
		}
		n := earliest(slots)
		e := max(slots[n], s.now) + s.runTime(i, run)
		if server < 0 || e < end {
			server, slot, end = i, n, e
		}
	}
	if server < 0 {
		return false
	}
	startsNow := planned[server][slot] <= s.now
	planned[server][slot] = end
	if startsNow {
		s.slots[server][earliest(s.slots[server])] = end
		s.result.Runs = append(s.result.Runs, Run{Job: j.index, Server: server, Start: s.now, End: end})
		heap.Push(&s.events, idealEvent{at: end, kind: idealEnd, job: j, run: run})
	}
	return startsNow
}

// earliest returns the slot that becomes free first.
func earliest(slots []time.Duration) int {
	best := 0
	for i := range slots {
		if slots[i] < slots[best] {
			best = i
		}
	}
	return best
}

// runTime returns the time that a task with the given run time at speed 1 takes on a server.
func (s *idealScheduler) runTime(server int, run time.Duration) time.Duration {
	return time.Duration(float64(run) / s.t.Servers[server].Speed)
}

// idealEventHeap is a heap.Interface of events, the earliest first.
type idealEventHeap []idealEvent

func (h idealEventHeap) Len() int           { return len(h) }
func (h idealEventHeap) Less(a, b int) bool { return h[a].at < h[b].at }
func (h idealEventHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *idealEventHeap) Push(x any)        { *h = append(*h, x.(idealEvent)) }
func (h *idealEventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
