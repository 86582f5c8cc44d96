package runtable

import (
	"strings"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// Order asks for a start.
type Order struct {
	Ref    run.Ref
	Owner  string
	Demand run.Demand
	// Instance is the life of the backend server that the entry chose.
	Instance string
	// Token is when the agent sent the newest message that the entry knew, on the agent's clock.
	Token time.Time
	// MaxPerServer bounds the runs of one step here; 0 means no bound.
	MaxPerServer int
	Label        string
}

// FreeFor returns the free room that the entry may use.
func (t *Table) FreeFor(now time.Time, owner string) run.Demand {
	return t.Free().Minus(t.offers.Others(now, owner))
}

// Want records what the entry's waiting tasks need and how urgent they are; see Offers.
func (t *Table) Want(now time.Time, owner string, urgency time.Time, demand run.Demand) {
	t.offers.Want(now, owner, urgency, demand)
}

// Unlinked forgets what an entry without a link wants.
func (t *Table) Unlinked(owner string) { t.offers.Drop(owner) }

// Offer returns the entries that have to be told of new room for them.
func (t *Table) Offer(now time.Time) []string {
	if t.Server(now).State != run.Ready || t.out[t.server.Domain] {
		return nil
	}
	return t.offers.Next(now, t.Free())
}

// Order decides on a start. A code other than 0 refuses it: it is then "not run".
func (t *Table) Order(now time.Time, o Order) result.Code {
	if code := t.refuse(now, o); code != 0 {
		return code
	}
	t.offers.Use(o.Owner, o.Demand)
	expiry := t.clock.at(now) + t.expiry().Milliseconds()
	t.runs[o.Ref] = &record{ref: o.Ref, owner: o.Owner, demand: o.Demand, since: expiry, found: now}
	t.granted = max(t.granted, expiry)
	return 0
}

func (t *Table) refuse(now time.Time, o Order) result.Code {
	switch {
	case t.leaving:
		return result.AgentDraining
	case !t.usable() || t.server.Instance != o.Instance || !t.server.HasLabel(o.Label):
		return result.UnknownServer
	case t.server.State != run.Ready:
		return result.ServerLeaving
	case t.out[t.server.Domain]:
		return result.DomainOut
	case now.Sub(o.Token) > t.limits.OwnerSilence:
		return result.StaleToken
	case t.quarantined(now):
		return result.StaleToken
	case !o.Demand.Fits(t.FreeFor(now, o.Owner)) || t.taskHere(o):
		return result.NoFreeSlot
	}
	return 0
}

// taskHere tells whether another run of the task is here, or as many of its step as may be.
func (t *Table) taskHere(o Order) bool {
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

func stepOf(task string) string {
	return task[:max(0, strings.LastIndexByte(task, '.'))]
}

const (
	// answerFactor is how many usual answer times an order may take to the backend server.
	answerFactor = 15
	// answerDecay is the weight of the past in the usual answer time.
	answerDecay = 0.9
	// repeatFactor is how many usual answer times an order may be without an answer before it is sent
	// once more, and leastRepeat the least such time.
	repeatFactor = 5
	leastRepeat  = 8 * time.Millisecond
)

// Repeat is how long an order may be without an answer before it is sent once more. A copy cannot start
// a second run: it carries the same number and the same expiry. Without copies, a backend server that
// leaves three orders in ten unanswered made most jobs wait for an expiry.
func (t *Table) Repeat() time.Duration { return max(leastRepeat, repeatFactor*t.answers) }

// expiry is how long an order may take to the backend server. An order whose answer is lost keeps its
// task waiting for that long.
func (t *Table) expiry() time.Duration {
	return min(t.limits.OrderExpiry, max(t.limits.LeastExpiry, answerFactor*t.answers))
}

// answered notes how long an answer took.
func (t *Table) answered(took time.Duration) {
	if took > t.answers {
		t.answers = took
		return
	}
	t.answers = time.Duration(answerDecay*float64(t.answers) + (1-answerDecay)*float64(took))
}

// Pending returns how long it takes until the first order without an answer has expired, or the given
// time if that is sooner.
func (t *Table) Pending(now time.Time, most time.Duration) time.Duration {
	for _, r := range t.runs {
		if r.accepted {
			continue
		}
		left := time.Duration(r.since-t.clock.at(now))*time.Millisecond + pendingMargin
		most = min(most, max(pendingMargin, left))
	}
	return most
}

// pendingMargin is how much later than an order's expiry a look proves it.
const pendingMargin = 3 * time.Millisecond

// Expiry returns the order's latest start on the backend server's clock, in milliseconds.
func (t *Table) Expiry(ref run.Ref) int64 {
	if r := t.runs[ref]; r != nil {
		return r.since
	}
	return 0
}

// Accepted records that the backend server has answered at now that it has started the run, at clockMS of its
// own clock. The answered copy of the order took the given time.
func (t *Table) Accepted(now time.Time, took time.Duration, ref run.Ref, clockMS int64) {
	r := t.runs[ref]
	if r == nil {
		return
	}
	t.answered(took)
	t.accept(now, r, clockMS)
}

func (t *Table) accept(now time.Time, r *record, clockMS int64) {
	if r.accepted {
		return
	}
	r.accepted = true
	r.begun = now
	r.since = clockMS
	if r.phase == ordered {
		r.phase = running
	}
}

// Rejected records that the backend server has refused the run for good.
func (t *Table) Rejected(now time.Time, ref run.Ref, code result.Code) []Event {
	r := t.runs[ref]
	if r == nil || r.accepted {
		return nil
	}
	return []Event{t.end(now, r, run.NotRun, code, "")}
}

// Stop asks for the end of a run and tells whether the backend server has to be told. The room stays
// occupied until a look shows the end.
func (t *Table) Stop(ref run.Ref) bool {
	r := t.runs[ref]
	if r == nil {
		return false
	}
	r.phase = stopping
	r.stopped = true
	return true
}

// end removes a run and keeps its end for an entry that asks later.
func (t *Table) end(now time.Time, r *record, kind run.Kind, code result.Code, saved string) Event {
	delete(t.runs, r.ref)
	e := run.Event{Ref: r.ref, Kind: kind, Reason: code, Checkpoint: saved}
	t.ends[r.ref] = keptEnd{event: e, at: now}
	return Event{Owner: r.owner, Event: e}
}
