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

// reply is the home loop's answer to a submission. At most one field is set: the results of
// the job, its failure, or the member that holds the submission. If none is set, this entry
// is not the home of the submission.
type reply struct {
	results [][]byte
	failure *result.Failure
	holder  *peerv1.EntryMember
}

func (r reply) notHome() bool { return r.results == nil && r.failure == nil && r.holder == nil }

// execution is a submission that this entry holds. It is in progress, or it has ended and
// its outcome is kept until the submission ID can no longer be accepted.
type execution struct {
	key  submission.Key
	hash [32]byte
	// resumed is set for a job whose started tasks were found in a claim.
	resumed bool
	// launched is set once a start has been sent for a task of the job.
	launched bool
	// cancelReason replaces the failure of a job that this entry itself cancels.
	cancelReason *result.Failure
	done         bool
	waiters      []chan<- reply
	results      [][]byte
	size         int64
	failure      *result.Failure
}

// answer sends r to all waiting calls.
func (x *execution) answer(r reply) {
	for _, w := range x.waiters {
		w <- r
	}
	x.waiters = nil
}

// executeMsg submits a job to the home loop. The reply goes to out, which must be buffered.
type executeMsg struct {
	job *sched.Job
	out chan<- reply
	// parkUntil is the time until which the submission waits for a claim; it is zero until
	// the submission is parked for the first time.
	parkUntil time.Time
}

func (m executeMsg) apply(h *home, now time.Time) { h.admit(now, m) }

// admit attaches a submission to its execution, or checks a submission that this entry does
// not hold and decides what to do with it.
func (h *home) admit(now time.Time, m executeMsg) {
	if x := h.held[m.job.Key]; x != nil {
		h.join(x, m)
		return
	}
	if home := table.Home(h.rec.Table(), m.job.Key); !h.rec.InTable() || home.GetId() != h.e.self {
		m.out <- reply{}
		return
	}
	if f := checkAge(h.e.window, m.job.Key, now); f != nil {
		m.out <- reply{failure: f}
		return
	}
	h.decide(now, m)
}

// join answers a repeated submission from its execution, or lets it wait for the outcome.
func (h *home) join(x *execution, m executeMsg) {
	switch {
	case x.hash != m.job.Hash:
		m.out <- reply{failure: notRun(result.IDReused, "the submission ID was already used with different content")}
	case !x.done:
		x.waiters = append(x.waiters, m.out)
	default:
		m.out <- x.outcome()
	}
}

// outcome returns the stored outcome of an execution that has ended.
func (x *execution) outcome() reply {
	if x.failure != nil {
		return reply{failure: x.failure}
	}
	if x.results == nil {
		return reply{failure: &result.Failure{Code: result.ResultGone, Effect: result.Run,
			Message: "the job is complete, but its results are no longer stored"}}
	}
	return reply{results: x.results}
}

// decide handles a submission that this entry does not hold, as the state of the claims
// requires.
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

// resume continues a job of which agents hold start records. The recorded tasks are only
// attached to, never started again.
func (h *home) resume(now time.Time, m executeMsg, r *recovery.Records) {
	if r.Conflict || r.Hash != m.job.Hash {
		m.out <- reply{failure: notRun(result.IDReused, "the submission ID was already used with different content")}
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

// submit hands a job to the scheduler, or refuses it. A resumed job is neither checked for
// repeatable kinds nor refused by an isolated entry, since some of its tasks have started.
func (h *home) submit(now time.Time, m executeMsg, resumed bool) {
	if h.config == nil {
		m.out <- reply{failure: notRunRetry(result.NotReady, shortRetryAfter, "this entry has not received a configuration yet")}
		return
	}
	if f := checkRepeatable(h.config.GetConfig(), m.job); f != nil && !resumed {
		m.out <- reply{failure: h.weakenNotRun(now, f)}
		return
	}
	if h.isIsolated(now) && !resumed {
		m.out <- reply{failure: isolatedFailure()}
		return
	}
	x := &execution{key: m.job.Key, hash: m.job.Hash, resumed: resumed, waiters: []chan<- reply{m.out}}
	h.held[x.key] = x
	h.pending.Add(1)
	h.perform(now, h.sched.Submit(now, *m.job))
}

// finish stores the outcome of a job and answers the calls that wait for it.
func (h *home) finish(now time.Time, a sched.FinishJob) {
	x := h.held[a.Key]
	if x == nil || x.done {
		return
	}
	x.done = true
	h.pending.Add(-1)
	x.failure, x.results = a.Outcome.Failure, a.Outcome.Results
	if f := x.failure; f != nil && x.cancelReason != nil {
		x.failure = x.cancelReason
	}
	x.failure = h.weakenNotRun(now, x.failure)
	if f := x.failure; f != nil && x.resumed && f.Effect == result.NotRun {
		// An agent had recorded a start of this job before the job was resumed here.
		g := *f
		g.Effect = result.Unknown
		x.failure = &g
	}
	x.answer(x.outcome())
	if x.resubmittable() {
		delete(h.held, x.key)
		return
	}
	sec := h.e.window.ForgetAt(x.key).Unix() + 1
	h.expiry[sec] = append(h.expiry[sec], x.key)
	h.retainResults(x)
}

// weakenNotRun changes the effect "not run" to "unknown" while this entry may not start
// tasks: another entry may have become the home of the submission and run it. It returns a
// changed copy and leaves f as it is.
func (h *home) weakenNotRun(now time.Time, f *result.Failure) *result.Failure {
	if f == nil || f.Effect != result.NotRun || h.mayStart(now) {
		return f
	}
	g := *f
	g.Effect = result.Unknown
	return &g
}

// resubmittable reports whether a resend counts as a new submission: nothing was started
// here, and the failure advised the caller to retry.
func (x *execution) resubmittable() bool {
	if x.failure == nil || x.failure.RetryAfter == 0 {
		return false
	}
	return x.failure.Effect == result.NotRun || !x.launched && !x.resumed
}

// retainResults keeps the results of an ended execution for resends. When the results of
// all executions exceed the limit of bytes, it drops the oldest ones.
func (h *home) retainResults(x *execution) {
	if x.results == nil {
		return
	}
	x.size = totalBytes(x.results)
	h.retainedBytes += x.size
	h.retained = append(h.retained, x.key)
	for h.retainedBytes > h.e.opts.Settings.Limits.ResultBytes && len(h.retained) > 0 {
		if old := h.held[h.retained[0]]; old != nil {
			h.dropResults(old)
		}
		h.retained = h.retained[1:]
	}
}

// trimRetained removes the keys whose results have been dropped from the front of
// h.retained.
func (h *home) trimRetained() {
	n := 0
	for n < len(h.retained) && (h.held[h.retained[n]] == nil || h.held[h.retained[n]].results == nil) {
		n++
	}
	h.retained = h.retained[n:]
}

// dropResults frees the results of an execution. Its outcome is ResultGone from then on.
func (h *home) dropResults(x *execution) {
	h.retainedBytes -= x.size
	x.size, x.results = 0, nil
}
