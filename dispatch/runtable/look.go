package runtable

import (
	"slices"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// Look is what the backend server shows of its runs.
type Look struct {
	Born    int64
	ClockMS int64
	Running []Seen
	Ended   []Ended
}

// Seen is a run in progress.
type Seen struct {
	Ref        run.Ref
	Checkpoint string
	Percent    int
}

// Ended is a run that has ended. Numbers rise within one life of the backend server.
type Ended struct {
	Number     int64
	Ref        run.Ref
	Kind       run.Kind
	Checkpoint string
}

// LastSeen returns the number up to which the backend server may forget ends.
func (t *Table) LastSeen() int64 { return t.lastSeen }

// Lease returns the time, on the backend server's clock in milliseconds, to which the lease may be
// renewed at now. It returns 0 before the clock is known, and when the backend server has not answered
// for a while: the time at which everything there has lapsed must not move on for ever.
func (t *Table) Lease(now time.Time) int64 {
	if !t.clock.known || now.Sub(t.clock.read) > t.limits.RenewFor {
		return 0
	}
	end := t.clock.at(now) + t.limits.Lease.Milliseconds()
	t.sending = append(t.sending, end)
	return end
}

// Sent tells whether the renewal to the given end may have reached the backend server. One for which no
// connection could be made has not, and moves nothing. Several renewals may be under way.
func (t *Table) Sent(end int64, sent bool) {
	if i := slices.Index(t.sending, end); i >= 0 {
		t.sending = slices.Delete(t.sending, i, i+1)
	}
	if sent {
		t.granted = max(t.granted, end)
	}
}

// mostGranted is the latest end of a lease that the backend server may know, or may come to know.
func (t *Table) mostGranted() int64 {
	most := t.granted
	for _, end := range t.sending {
		most = max(most, end)
	}
	return most
}

// Lapsed ends all runs when the newest lease has certainly passed on the backend server, which does
// not answer.
func (t *Table) Lapsed(now time.Time) []Event {
	if len(t.runs) == 0 || !t.clock.known || t.clock.atLeast(now) <= t.mostGranted() {
		return nil
	}
	t.looked = false
	return t.loseAll(now)
}

// Looked takes in a look that was received at now.
func (t *Table) Looked(now time.Time, l Look) []Event {
	events := t.life(now, l.Born)
	t.adoptRecalled()
	fresh := !t.clock.known || l.ClockMS >= t.clock.ms
	t.clock.observe(now, l.ClockMS)
	events = append(events, t.takeEnds(now, l.Ended)...)
	if !fresh {
		return events
	}
	seen := make(map[run.Ref]bool, len(l.Running))
	for _, s := range l.Running {
		seen[s.Ref] = true
		t.see(now, l, s)
	}
	events = append(events, t.vanished(now, l, seen)...)
	t.settled = true
	t.looked = true
	if t.foreign {
		t.foreign = false
		t.granted = max(t.granted, l.ClockMS+t.limits.Lease.Milliseconds())
		t.quarantine = l.ClockMS + t.limits.OrderExpiry.Milliseconds()
	}
	return events
}

func (t *Table) takeEnds(now time.Time, ends []Ended) []Event {
	var events []Event
	for _, e := range ends {
		if e.Number <= t.lastSeen {
			continue
		}
		t.lastSeen = e.Number
		r := t.runs[e.Ref]
		if r == nil {
			t.ends[e.Ref] = keptEnd{event: run.Event{Ref: e.Ref, Kind: e.Kind, Checkpoint: e.Checkpoint}, at: now}
			continue
		}
		events = append(events, t.end(now, r, e.Kind, 0, e.Checkpoint))
	}
	return events
}

func (t *Table) see(now time.Time, l Look, s Seen) {
	r := t.runs[s.Ref]
	if r == nil {
		if _, ended := t.ends[s.Ref]; ended {
			return
		}
		r = &record{ref: s.Ref, phase: running, accepted: true, since: l.ClockMS, found: now, begun: now}
		t.runs[s.Ref] = r
	}
	r.percent = s.Percent
	r.saved = s.Checkpoint
	t.accept(now, r, l.ClockMS)
}

// vanished ends the runs that a look should show and does not. A look may be older than a start
// whose answer arrived before it, so only a later clock counts.
func (t *Table) vanished(now time.Time, l Look, seen map[run.Ref]bool) []Event {
	var events []Event
	for ref, r := range t.runs {
		if seen[ref] || l.ClockMS <= r.since+1 {
			continue
		}
		kind, code := run.Stopped, result.ServerLost
		if !r.accepted {
			kind, code = run.NotRun, result.StartTooLate
		}
		events = append(events, t.end(now, r, kind, code, r.saved))
	}
	return events
}

// Sweep returns the runs to stop, because their owner is silent or nobody has claimed them, and
// forgets old ends. A run stays in the list until it has ended, so that lost stops are repeated.
func (t *Table) Sweep(now time.Time) []run.Ref {
	for ref, e := range t.ends {
		if now.Sub(e.at) > t.limits.EndRetention {
			delete(t.ends, ref)
		}
	}
	var stops []run.Ref
	for ref, r := range t.runs {
		if r.stopped || t.orphaned(now, r) {
			r.stopped = true
			r.phase = stopping
			stops = append(stops, ref)
		}
	}
	return stops
}

func (t *Table) orphaned(now time.Time, r *record) bool {
	if r.owner == "" {
		return now.Sub(r.found) > t.limits.ClaimWindow
	}
	return now.Sub(t.heard[r.owner]) > t.limits.OwnerSilence
}

// Claim answers an entry at now that asks what has become of a run which it ordered at the given time.
// It adopts a run that was found.
func (t *Table) Claim(owner string, ref run.Ref, demand run.Demand, now, ordered time.Time) run.Event {
	if r := t.runs[ref]; r != nil {
		r.owner = owner
		r.demand = demand
		return run.Event{Ref: ref, Kind: run.Running}
	}
	if e, ok := t.ends[ref]; ok {
		return e.event
	}
	if t.vouches(now, ordered) {
		// The order has not arrived, and the link it came on is closed.
		return run.Event{Ref: ref, Kind: run.NotRun, Reason: result.NoRecord}
	}
	return run.Event{Ref: ref, Kind: run.Stopped, Reason: result.NoRecord}
}

// vouchMargin covers the way of an order and of a claim, by which the time of an order is uncertain.
const vouchMargin = time.Second

// vouches tells whether the table would know a run that was ordered at the given time, had it begun: a
// former life of the agent may have started it and seen its end.
func (t *Table) vouches(now, ordered time.Time) bool {
	return ordered.Sub(t.started) > vouchMargin && now.Sub(ordered) < t.limits.EndRetention-vouchMargin
}

// Settled tells whether claims can be answered. After the agent's own start it first has to look, or
// to wait until everything that a former agent held has lapsed.
func (t *Table) Settled(now time.Time) bool {
	lapse := time.Duration(float64(t.limits.Lease+t.limits.OrderExpiry) / slowest)
	return t.settled || now.Sub(t.started) > lapse
}

// Progress returns how far the owner's runs have come.
func (t *Table) Progress(now time.Time, owner string) []Progress {
	var all []Progress
	for ref, r := range t.runs {
		if r.owner == owner && r.accepted {
			all = append(all, Progress{Ref: ref, Percent: r.percent, Age: now.Sub(r.begun)})
		}
	}
	return all
}
