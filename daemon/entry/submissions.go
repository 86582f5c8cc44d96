package entry

import (
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/dispatch/recovery"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/sched"
	"poplargw.example/dispatch/submission"
	"poplargw.example/dispatch/table"
)

// reply answers a submission. It holds results, a failure, the member that holds the
// key, or, with none of them, means that this entry is not the home.
type reply struct {
	results [][]byte
	failure *result.Failure
	holder  *peerv1.EntryMember
}

func (r reply) notHome() bool { return r.results == nil && r.failure == nil && r.holder == nil }

// execution is a submission that this entry holds: in progress, or ended within the window.
type execution struct {
	key     submission.Key
	hash    [32]byte
	resumed bool
	// launched is set once a start was sent for the job.
	launched bool
	// shed replaces the reason of a job that is cancelled by this entry itself.
	shed    *result.Failure
	done    bool
	waiters []chan<- reply
	results [][]byte
	size    int64
	failure *result.Failure
}

func (x *execution) answer(r reply) {
	for _, w := range x.waiters {
		w <- r
	}
	x.waiters = nil
}

// executeMsg submits a job; the answer goes to out, which has room for it.
type executeMsg struct {
	job *sched.Job
	out chan<- reply
	// parkUntil is set once the submission has waited for a claim.
	parkUntil time.Time
}

func (m executeMsg) apply(h *home, now time.Time) { h.admit(now, m) }

// admit joins a submission to its execution, or decides what to do with a new one.
func (h *home) admit(now time.Time, m executeMsg) {
	if x := h.held[m.job.Key]; x != nil {
		h.join(x, m)
		return
	}
	if home := table.Home(h.rec.Table(), m.job.Key); !h.rec.Member() || home.GetId() != h.e.self {
		m.out <- reply{}
		return
	}
	if f := checkAge(h.e.window, m.job.Key, now); f != nil {
		m.out <- reply{failure: f}
		return
	}
	h.decide(now, m)
}

func (h *home) join(x *execution, m executeMsg) {
	switch {
	case x.hash != m.job.Hash:
		m.out <- reply{failure: notRun(result.IDReused, "the submission ID was used with another content")}
	case !x.done:
		x.waiters = append(x.waiters, m.out)
	default:
		m.out <- x.outcome()
	}
}

// outcome returns the kept outcome of an execution that has ended.
func (x *execution) outcome() reply {
	if x.failure != nil {
		return reply{failure: x.failure}
	}
	if x.results == nil {
		return reply{failure: &result.Failure{Code: result.ResultGone, Effect: result.Run,
			Message: "the job is complete, but its results are not held any more"}}
	}
	return reply{results: x.results}
}

func (h *home) decide(now time.Time, m executeMsg) {
	d := h.rec.Decide(m.job.Key, len(m.job.Tasks))
	switch d.Verdict {
	case recovery.Wait:
		h.park(now, m)
	case recovery.Forward:
		m.out <- reply{holder: table.Member(h.rec.Table(), d.Holder.ID)}
	case recovery.Unknown:
		m.out <- reply{failure: outcomeUnknown("a process that may have started the submission does not answer")}
	case recovery.Resume:
		h.resume(now, m, d.Records)
	default:
		h.submit(now, m, false)
	}
}

// resume continues a job whose started tasks are recorded at agents.
func (h *home) resume(now time.Time, m executeMsg, r *recovery.Records) {
	if r.Conflict || r.Hash != m.job.Hash {
		m.out <- reply{failure: notRun(result.IDReused, "the submission ID was used with another content")}
		return
	}
	for i, agent := range r.Agents {
		if int(i) < len(m.job.Tasks) {
			m.job.Tasks[i].Prior = &sched.Placement{Agent: agent}
		}
	}
	h.rec.Release(m.job.Key)
	h.submit(now, m, true)
}

func (h *home) submit(now time.Time, m executeMsg, resumed bool) {
	if h.config == nil {
		m.out <- reply{failure: notRunYet(result.NotReady, retrySoon, "no configuration is known yet")}
		return
	}
	if f := checkRepeatable(h.config.GetConfig(), m.job); f != nil && !resumed {
		m.out <- reply{failure: h.truthful(now, f)}
		return
	}
	if h.unfit(now) && !resumed {
		m.out <- reply{failure: notFresh()}
		return
	}
	x := &execution{key: m.job.Key, hash: m.job.Hash, resumed: resumed, waiters: []chan<- reply{m.out}}
	h.held[x.key] = x
	h.pending.Add(1)
	h.do(now, h.sched.Submit(now, *m.job))
}

// finish keeps the outcome of a job and answers those who wait for it.
func (h *home) finish(now time.Time, a sched.FinishJob) {
	x := h.held[a.Key]
	if x == nil || x.done {
		return
	}
	x.done = true
	h.pending.Add(-1)
	x.failure, x.results = a.Outcome.Failure, a.Outcome.Results
	if f := x.failure; f != nil && x.shed != nil {
		x.failure = x.shed
	}
	x.failure = h.truthful(now, x.failure)
	if f := x.failure; f != nil && x.resumed && f.Effect == result.NotRun {
		// An agent recorded a start of this job before it was resumed here.
		g := *f
		g.Effect = result.Unknown
		x.failure = &g
	}
	x.answer(x.outcome())
	if x.repeatable() {
		delete(h.held, x.key)
		return
	}
	sec := h.e.window.ForgetAt(x.key).Unix() + 1
	h.forget[sec] = append(h.forget[sec], x.key)
	h.keep(x)
}

// truthful turns "not run" into "unknown" while this entry may not start tasks: others may
// have replaced it as the home of the submission and run it.
func (h *home) truthful(now time.Time, f *result.Failure) *result.Failure {
	if f == nil || f.Effect != result.NotRun || h.mayStart(now) {
		return f
	}
	g := *f
	g.Effect = result.Unknown
	return &g
}

// repeatable tells whether a resend is a new submission: nothing was started here and the
// caller was told to come back.
func (x *execution) repeatable() bool {
	if x.failure == nil || x.failure.RetryAfter == 0 {
		return false
	}
	return x.failure.Effect == result.NotRun || !x.launched && !x.resumed
}

// keep counts the results of an execution and drops the oldest ones over the bound.
func (h *home) keep(x *execution) {
	if x.results == nil {
		return
	}
	x.size = sizeOf(x.results)
	h.bytes += x.size
	h.kept = append(h.kept, x.key)
	for h.bytes > h.e.o.Settings.Limits.ResultBytes && len(h.kept) > 0 {
		if old := h.held[h.kept[0]]; old != nil {
			h.release(old)
		}
		h.kept = h.kept[1:]
	}
}

// trimKept drops the keys whose results are gone from the front of the list.
func (h *home) trimKept() {
	n := 0
	for n < len(h.kept) && (h.held[h.kept[n]] == nil || h.held[h.kept[n]].results == nil) {
		n++
	}
	h.kept = h.kept[n:]
}

func (h *home) release(x *execution) {
	h.bytes -= x.size
	x.size, x.results = 0, nil
}
