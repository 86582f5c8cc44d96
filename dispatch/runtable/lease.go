package runtable

import (
	"math"
	"time"
)

// Responding reports whether the backend server has responded within RenewFor, so that its clock is
// known well enough to renew the lease.
func (t *Table) Responding(now time.Time) bool {
	return t.clock.known && now.Sub(t.clock.readAt) <= t.limits.RenewFor
}

// leaseLimit returns the latest time, on the backend server's clock in milliseconds, to which the
// lease may be extended. The lease holds for everything on the backend server: while stop calls are
// lost, extending it for other runs would keep an orphaned or stopped one running past the time at
// which its task may start elsewhere. While a run is unclaimed, the limit is 0: its owner may have been
// silent since before the agent's restart, and only the lease that the former process granted is sure
// to end before the owner starts the task elsewhere. The same holds for a found run that is to be
// stopped: the former process may have received the stop long before.
func (t *Table) leaseLimit(now time.Time) int64 {
	limit := int64(math.MaxInt64)
	for _, r := range t.runs {
		if r.owner == "" || r.found && r.stopRequested {
			return 0
		}
		limit = min(limit, t.clock.earliest(now, &t.uptime, t.keepUntil(r))+t.limits.Lease.Milliseconds())
	}
	return limit
}

// keepUntil returns the time after which the lease is not renewed while the run may be in progress.
func (t *Table) keepUntil(r *record) time.Time {
	until := t.orphanedAt(r)
	if !r.stopRequested {
		return until
	}
	if patience := r.stoppedAt.Add(t.limits.StopPatience); patience.Before(until) {
		return patience
	}
	return until
}

// orphanedAt returns the time at which the run becomes orphaned unless an entry claims it or its
// owner confirms a newer message.
func (t *Table) orphanedAt(r *record) time.Time {
	if r.owner == "" {
		return r.firstSeen.Add(t.limits.ClaimWindow)
	}
	return t.confirmedAt[r.owner].Add(t.limits.OwnerSilence)
}

// orderWithinLease reports whether an order may be sent at now: the backend server extends its lease
// to the order's expiry, which must not exceed the limit.
func (t *Table) orderWithinLease(now time.Time) bool {
	return t.clock.at(now, &t.uptime)+t.orderTimeout().Milliseconds() <= t.leaseLimit(now)
}
