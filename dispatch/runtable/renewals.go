package runtable

import (
	"slices"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// RenewLease returns the time, on the backend server's clock in milliseconds, to which a renewal
// sent at now may extend the lease. It returns 0 before the clock is known, and after RenewFor
// without an answer: otherwise the time at which all runs have certainly ended would be postponed
// indefinitely. It also returns 0 once leaseLimit has passed, and until the table has all runs.
func (t *Table) RenewLease(now time.Time) int64 {
	if !t.Responding(now) || !t.listsAllRuns() {
		return 0
	}
	clock := t.clock.at(now, &t.uptime)
	end := min(clock+t.limits.Lease.Milliseconds(), t.leaseLimit(now))
	if end <= clock {
		return 0
	}
	t.pendingRenewals = append(t.pendingRenewals, end)
	return end
}

// RenewalDone records the outcome of the renewal to the given lease end: delivered is true if it
// may have reached the backend server. A renewal for which no connection could be made has not
// reached it and does not extend the lease. Several renewals may be in flight.
func (t *Table) RenewalDone(end int64, delivered bool) {
	i := slices.Index(t.pendingRenewals, end)
	if i < 0 {
		t.formerRenewalDone(end)
		return
	}
	t.pendingRenewals = slices.Delete(t.pendingRenewals, i, i+1)
	if delivered {
		t.latestLease = max(t.latestLease, end)
	}
}

// formerRenewalDone records that a renewal has returned whose lease end is a time on the clock of a
// former incarnation.
func (t *Table) formerRenewalDone(end int64) {
	if i := slices.Index(t.formerRenewals, end); i >= 0 {
		t.formerRenewals = slices.Delete(t.formerRenewals, i, i+1)
	}
}

// latestPossibleLease returns the latest lease end that the backend server knows or may still
// receive.
func (t *Table) latestPossibleLease() int64 {
	latest := t.latestLease
	for _, end := range t.pendingRenewals {
		latest = max(latest, end)
	}
	return latest
}

// ExpireLease ends all runs once the newest lease has certainly expired on a backend server that
// does not answer.
func (t *Table) ExpireLease(now time.Time) []Event {
	if len(t.runs) == 0 {
		return nil
	}
	passed := t.clock.known && t.clock.lowerBound(now, &t.uptime) > t.latestPossibleLease()
	if passed {
		t.requireSnapshot(now)
	}
	if passed && !t.Responding(now) {
		t.noteSilence(t.clock.readAt)
	}
	how := ending{basis: EndLeasePassed, kind: run.Stopped, code: result.ServerLost, clockMS: t.latestPossibleLease()}
	var events []Event
	for _, r := range t.runs {
		if !r.unsettled && passed || r.unsettled && t.lapsed(now, r, passed) {
			events = append(events, t.end(now, r, how, r.checkpoint))
		}
	}
	return events
}
