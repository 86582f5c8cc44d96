package runtable

import (
	"strings"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// Order is an entry's request to start a run.
type Order struct {
	Ref    run.Ref
	Owner  string
	Demand run.Demand
	// Instance identifies the process of the backend server that the entry chose; see run.Server.
	Instance string
	// Token is the time, on the agent's clock, at which the agent sent the newest message that the
	// entry had received.
	Token time.Time
	// MaxPerServer bounds the runs of one step on the backend server; 0 means no bound.
	MaxPerServer int
	// Label must be carried by the backend server; empty accepts any.
	Label string
	// Kind is the kind of request that the job belongs to; empty if not known.
	Kind string
}

// FreeFor returns the free capacity that is not reserved for other entries. There is none while the
// lease forbids further orders: entries then place tasks elsewhere and keep the agent as a partner.
func (t *Table) FreeFor(now time.Time, owner string) run.Demand {
	if !t.orderWithinLease(now) {
		return run.Demand{}
	}
	return t.Free().Sub(t.offers.Others(now, owner))
}

// Request records the demand and the urgency of the entry's waiting tasks; see Offers.
func (t *Table) Request(now time.Time, owner string, urgency time.Time, demand run.Demand) {
	t.offers.Request(now, owner, urgency, demand)
}

// DropRequest drops the demand of an entry whose link has closed.
func (t *Table) DropRequest(owner string) { t.offers.Drop(owner) }

// Offer returns the entries to notify of newly offered capacity.
func (t *Table) Offer(now time.Time) []string {
	if t.Server(now).State != run.Ready || t.domainsOut[t.server.Domain] || !t.orderWithinLease(now) {
		return nil
	}
	return t.offers.Next(now, t.Free())
}

// Order accepts or refuses an order. It returns 0 when it has accepted the order, and otherwise the
// reason for the refusal; the run then counts as "not run".
func (t *Table) Order(now time.Time, o Order) result.Code {
	t.Tick(now)
	if code := t.checkOrder(now, o); code != 0 {
		return code
	}
	t.offers.Use(o.Owner, o.Demand)
	expiry := t.clock.at(now, &t.uptime) + t.orderTimeout().Milliseconds()
	t.runs[o.Ref] = &record{
		ref: o.Ref, owner: o.Owner, demand: o.Demand, kind: o.Kind, visibleByMS: expiry, firstSeen: now, orderedMS: t.clock.ms,
		usage: t.usage.Add(now, o.Kind, o.Demand.CPU),
	}
	t.trackCopies(o.Ref, expiry)
	t.starts.Add(now, o.Kind)
	t.latestLease = max(t.latestLease, expiry)
	return 0
}

// checkOrder returns 0 if the order may start, and otherwise the code to refuse it with. A demand out of range is
// refused here too, although entries check their jobs: a negative one would free capacity that does not exist.
func (t *Table) checkOrder(now time.Time, o Order) result.Code {
	switch {
	case o.Ref.Task == "" || !o.Demand.Valid():
		return result.Malformed
	case t.draining:
		return result.AgentDraining
	case !t.usable() || t.server.Instance != o.Instance || !t.server.HasLabel(o.Label):
		return result.UnknownServer
	case t.server.State != run.Ready:
		return result.ServerLeaving
	case t.domainsOut[t.server.Domain]:
		return result.DomainOut
	case now.Sub(o.Token) > t.limits.OwnerSilence:
		return result.StaleToken
	case t.quarantined(), t.HasUnsettled():
		return result.StaleToken
	case !t.orderWithinLease(now) || !o.Demand.Fits(t.FreeFor(now, o.Owner)) || t.exceedsTaskLimits(o):
		return result.NoFreeSlot
	}
	return 0
}

// exceedsTaskLimits reports whether the backend server already has a run of the same task, or as
// many runs of its step as MaxPerServer allows.
func (t *Table) exceedsTaskLimits(o Order) bool {
	step, n := stepOf(o.Ref.Task), 0
	for ref := range t.runs {
		if ref.Task == o.Ref.Task {
			return true
		}
		if o.MaxPerServer > 0 && stepOf(ref.Task) == step {
			n++
		}
	}
	return o.MaxPerServer > 0 && n >= o.MaxPerServer
}

// stepOf returns the step of a task: its ID without the last part.
func stepOf(task string) string {
	return task[:max(0, strings.LastIndexByte(task, '.'))]
}

const (
	// timeoutFactor times the estimated answer time is how long an order may take to reach the
	// backend server.
	timeoutFactor = 15
	// answerDecay is the weight of earlier answers in the estimated answer time.
	answerDecay = 0.9
	// resendFactor times the estimated answer time is how long an order may stay unanswered before
	// it is sent again; minResendDelay is the lower bound.
	resendFactor   = 5
	minResendDelay = 8 * time.Millisecond
)

// ResendDelay returns how long an order may stay unanswered before it is sent again. A copy cannot
// start a second run, because it carries the same run number and expiry. Without copies, a backend
// server that left three orders in ten unanswered made most jobs wait for an expiry.
func (t *Table) ResendDelay() time.Duration { return max(minResendDelay, resendFactor*t.answerTime) }

// orderTimeout returns how long an order may take to reach the backend server. An order whose
// answer is lost keeps its task waiting for that long.
func (t *Table) orderTimeout() time.Duration {
	return min(t.limits.OrderExpiry, max(t.limits.MinOrderExpiry, timeoutFactor*t.answerTime))
}

// observeAnswer updates the estimated answer time. It rises at once and falls gradually.
func (t *Table) observeAnswer(took time.Duration) {
	if took > t.answerTime {
		t.answerTime = took
		return
	}
	t.answerTime = time.Duration(answerDecay*float64(t.answerTime) + (1-answerDecay)*float64(took))
}

// NextExpiry returns the time until the first unanswered order has expired, or until all orders that
// are unknown to the table have, but at most limit. While snapshots are not complete, it does not
// count orders that have expired: their fate would be asked for every few milliseconds.
func (t *Table) NextExpiry(now time.Time, limit time.Duration) time.Duration {
	if !t.unknownOrders && t.quarantined() && !t.expiredUnseen(t.quarantineEnd) {
		limit = min(limit, t.timeToExpiry(now, t.quarantineEnd))
	}
	for _, r := range t.runs {
		if !r.accepted && !r.unsettled && !t.expiredUnseen(r.visibleByMS) {
			limit = min(limit, t.timeToExpiry(now, r.visibleByMS))
		}
	}
	return limit
}

// expiredUnseen reports whether the newest snapshot was taken after the given expiry, on the backend
// server's clock in milliseconds, but did not show whether the order has started.
func (t *Table) expiredUnseen(expiryMS int64) bool { return t.incomplete && t.clock.ms > expiryMS }

// timeToExpiry returns the time until a snapshot shows whether an order with the given expiry, on the
// backend server's clock in milliseconds, has started.
func (t *Table) timeToExpiry(now time.Time, expiryMS int64) time.Duration {
	remaining := time.Duration(expiryMS-t.clock.at(now, &t.uptime))*time.Millisecond + expiryMargin
	return max(expiryMargin, remaining)
}

// expiryMargin is how long after an order's expiry a snapshot is sure to show whether it started.
const expiryMargin = 3 * time.Millisecond

// Expiry returns the order's latest start time on the backend server's clock, in milliseconds, or 0
// if the run is unknown.
func (t *Table) Expiry(ref run.Ref) int64 {
	if r := t.runs[ref]; r != nil {
		return r.visibleByMS
	}
	return 0
}

// Accepted records the backend server's answer, received at now, that it started the run at clockMS
// of its own clock. took is the time from sending the answered copy of the order to its answer.
func (t *Table) Accepted(now time.Time, took time.Duration, ref run.Ref, clockMS int64) {
	r := t.runs[ref]
	if r == nil {
		return
	}
	t.observeAnswer(took)
	t.accept(now, r, clockMS)
	if clockMS < r.orderedMS && !r.unsettled {
		// The clock of one incarnation never goes back, so a new one has answered.
		r.unsettle(now, &t.uptime)
	}
}

// accept marks a run as started at clockMS, unless that is already known.
func (t *Table) accept(now time.Time, r *record, clockMS int64) {
	if r.accepted {
		return
	}
	r.accepted = true
	r.runningSince = now
	r.visibleByMS = clockMS
	if r.phase == ordered {
		r.phase = running
	}
}

// StartNotSent records at now that a start could not be sent. The backend server is absent until a
// snapshot that was requested later.
func (t *Table) StartNotSent(now time.Time) {
	t.requireSnapshot(now)
}

// Rejected records that the backend server has refused the run for good.
func (t *Table) Rejected(now time.Time, ref run.Ref, code result.Code) []Event {
	r := t.runs[ref]
	if r == nil || r.accepted {
		return nil
	}
	return []Event{t.end(now, r, ending{basis: EndRefused, kind: run.NotRun, code: code}, "")}
}

// Stop marks a run to be stopped and reports whether the table has the run, so that a stop call must be
// sent to the backend server. The run keeps its capacity until a snapshot shows its end. A run that
// may still start from an order of the agent's former process is stopped when a snapshot shows it: the
// owner does not repeat the stop on the same link.
func (t *Table) Stop(now time.Time, ref run.Ref) bool {
	r := t.runs[ref]
	if r == nil {
		if !t.listsAllRuns() {
			t.earlyStops[ref] = true
		}
		return false
	}
	t.requestStop(now, r)
	return true
}

// requestStop marks the run to be stopped. Repeated requests keep the time of the first one. A request
// that arrives when the run is orphaned counts from then: the owner had sent it by that time.
func (t *Table) requestStop(now time.Time, r *record) {
	r.phase = stopping
	if r.stopRequested {
		return
	}
	r.stopRequested = true
	r.stoppedAt = now
	if orphanedAt := t.orphanedAt(r); orphanedAt.Before(now) {
		r.stoppedAt = orphanedAt
	}
}
