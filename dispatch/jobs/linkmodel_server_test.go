package jobs_test

import (
	"fmt"
	"slices"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
	"poplargw.example/dispatch/runtable"
)

// backendRun is a run that a backend server has started. end is zero while it is in progress.
type backendRun struct {
	ref        run.Ref
	agent      string
	start, end time.Time
	kind       run.EventKind
	stopping   bool
}

// backendModel is a backend server.
type backendModel struct {
	w          *linkWorld
	agent      string
	startedAt  time.Time
	running    map[run.Ref]*backendRun
	highest    map[string]uint64 // by task: the newest run that has ended or was stopped
	ended      []runtable.EndedRun
	lastNumber int64
	leaseEnd   int64
	waiting    []func() // polls that wait for the end of a run
}

func newBackendModel(w *linkWorld, agent string) *backendModel {
	return &backendModel{w: w, agent: agent, startedAt: w.now, running: map[run.Ref]*backendRun{}, highest: map[string]uint64{}}
}

func (b *backendModel) announced() run.Server {
	return run.Server{
		Instance: "i-" + b.agent, Service: "svc", Domain: "d-" + b.agent, State: run.Ready, Capacity: run.Demand{CPU: modelServerCPU, MemoryMB: 1 << 20},
	}
}

// clock returns the server's clock in milliseconds.
func (b *backendModel) clock() int64 {
	return modelClockAtStart + b.w.now.Sub(b.startedAt).Milliseconds()
}

// extend extends the lease, at most to the longest one that the server grants.
func (b *backendModel) extend(lease int64) {
	if end := min(lease, b.clock()+modelMaxLeaseMS); end > b.leaseEnd {
		b.leaseEnd = end
		b.w.after(time.Duration(end-b.clock()+1)*time.Millisecond, b.expire)
	}
}

// expire stops all runs once the lease has expired.
func (b *backendModel) expire() {
	if b.clock() <= b.leaseEnd {
		return
	}
	for _, ref := range b.runningRefs() {
		b.stop(ref)
	}
}

// runningRefs returns the runs in progress in a fixed order.
func (b *backendModel) runningRefs() []run.Ref {
	var refs []run.Ref
	for ref := range b.running {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(x, y run.Ref) int {
		if x.Task < y.Task || x.Task == y.Task && x.Run < y.Run {
			return -1
		}
		return 1
	})
	return refs
}

// start starts a run, unless it is late or its end is known.
func (b *backendModel) start(ref run.Ref, expiry int64) startAnswer {
	v := startAnswer{clockMS: b.clock()}
	if b.running[ref] != nil {
		return v
	}
	if b.clock() > expiry {
		v.refused = result.StartTooLate
		return v
	}
	b.extend(expiry)
	if ref.Run <= b.highest[ref.Task] {
		v.refused = result.OutdatedRun
		return v
	}
	r := &backendRun{ref: ref, agent: b.agent, start: b.w.now, kind: run.Done}
	b.running[ref] = r
	b.w.checkStart(b, r)
	s := b.w.orders[ref]
	runTime := 50 * time.Millisecond
	if s != nil {
		runTime = s.job.runTime
	}
	b.w.after(runTime, func() { b.finish(r) })
	return v
}

// stop ends a run within modelStopTime and rejects later starts of it.
func (b *backendModel) stop(ref run.Ref) {
	b.highest[ref.Task] = max(b.highest[ref.Task], ref.Run)
	r := b.running[ref]
	if r == nil || r.stopping {
		return
	}
	r.stopping = true
	b.w.after(b.w.between(0, modelStopTime), func() {
		r.kind = run.Stopped
		b.finish(r)
	})
}

func (b *backendModel) finish(r *backendRun) {
	if b.running[r.ref] != r {
		return
	}
	delete(b.running, r.ref)
	r.end = b.w.now
	b.w.logf("backend of %s: end of %v: %s", b.agent, r.ref, r.kind)
	b.highest[r.ref.Task] = max(b.highest[r.ref.Task], r.ref.Run)
	b.lastNumber++
	b.ended = append(b.ended, runtable.EndedRun{Number: b.lastNumber, Ref: r.ref, Kind: r.kind})
	waiting := b.waiting
	b.waiting = nil
	for _, respond := range waiting {
		respond()
	}
}

// hold renews the lease and responds with the runs, after the wait or as soon as a run has ended that the agent has
// not seen.
func (b *backendModel) hold(lease, lastEnd int64, wait time.Duration, respond func(any)) {
	done := false
	answer := func() {
		if !done {
			done = true
			respond(b.snapshot(lease, lastEnd))
		}
	}
	first := b.snapshot(lease, lastEnd)
	if len(first.Ended) > 0 || wait == 0 {
		done = true
		respond(first)
		return
	}
	b.waiting = append(b.waiting, answer)
	b.w.after(wait, answer)
}

func (b *backendModel) snapshot(lease, lastEnd int64) runtable.Snapshot {
	b.extend(lease)
	b.ended = slices.DeleteFunc(b.ended, func(e runtable.EndedRun) bool { return e.Number <= lastEnd })
	s := runtable.Snapshot{Incarnation: modelIncarnation, ClockMS: b.clock(), Ended: slices.Clone(b.ended)}
	for _, ref := range b.runningRefs() {
		s.Running = append(s.Running, runtable.RunningRun{Ref: ref})
	}
	return s
}

// checkStart checks a run that begins: no other run of the task is in progress, and the capacity suffices.
func (w *linkWorld) checkStart(b *backendModel, r *backendRun) {
	w.logf("backend of %s: start of %v", b.agent, r.ref)
	w.counts["starts"]++
	if used := len(b.running) * modelTaskCPU; used > modelServerCPU {
		w.fail("%d of %d CPU in use on the backend server of %s", used, modelServerCPU, b.agent)
	}
	for _, o := range w.runs[r.ref.Task] {
		if o.end.IsZero() {
			w.checkOverlap(o, r)
		}
	}
	w.runs[r.ref.Task] = append(w.runs[r.ref.Task], r)
}

// checkOverlap records a failure for two runs of a task at the same time, unless an entry read a submission after its
// caller had left.
func (w *linkWorld) checkOverlap(o, r *backendRun) {
	for _, s := range []*submission{w.orders[o.ref], w.orders[r.ref]} {
		if s != nil && !s.left.IsZero() && s.admitted.After(s.left) {
			w.counts["overlaps of late submissions"]++
			return
		}
	}
	w.fail("two runs of %s: %d on %s since %v, %d on %s", r.ref.Task, o.ref.Run, o.agent, o.start.Sub(w.started), r.ref.Run, r.agent)
}

func (w *linkWorld) fail(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf("%.3f ms: ", w.now.Sub(w.started).Seconds()*1000)+fmt.Sprintf(format, args...))
	w.logf("FAILURE "+format, args...)
}
