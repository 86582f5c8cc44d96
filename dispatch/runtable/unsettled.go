package runtable

import (
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
	"poplargw.example/dispatch/uptime"
)

// A backend server that has started anew under its ID may carry out orders that were meant for its
// former incarnation. A run that may be on the new one is unsettled: it keeps its capacity, is
// stopped, and ends when the new incarnation has answered the stop and then does not list it. An
// incarnation rejects every start of a run that it was told to stop.

// onFormerIncarnation reports whether the run can be only on an earlier incarnation than the one that
// has just been found: a snapshot listed it that was requested after all copies of its order were
// answered.
func (t *Table) onFormerIncarnation(now time.Time, r *record) bool {
	if r.listedAt.IsZero() {
		return false
	}
	c := t.copies[r.ref]
	return c == nil || !c.mayArrive(now, &t.uptime) && r.listedAt.After(c.returnedAt)
}

// endOrUnsettleRuns ends the runs that were lost with the former incarnation of the backend server,
// and makes all others unsettled.
func (t *Table) endOrUnsettleRuns(now time.Time) []Event {
	lost := ending{basis: EndNewIncarnation, kind: run.Stopped, code: result.ServerLost}
	var events []Event
	for _, r := range t.runs {
		if t.onFormerIncarnation(now, r) {
			events = append(events, t.end(now, r, lost, r.checkpoint))
			continue
		}
		r.unsettle(now, &t.uptime)
	}
	return events
}

// unsettle marks a run as possibly on a later incarnation than the one it was ordered from.
func (r *record) unsettle(now time.Time, agentUptime *uptime.Clock) {
	r.unsettled = true
	r.unsettledAt, r.uptimeAtUnsettled = now, agentUptime.At(now)
	r.stopAnsweredAt = time.Time{}
	r.phase = stopping
	r.stopRequested = true
}

// HasUnsettled reports whether any run is unsettled. The table then accepts no orders.
func (t *Table) HasUnsettled() bool {
	for _, r := range t.runs {
		if r.unsettled {
			return true
		}
	}
	return false
}

// SentToFormer reports whether a call that was sent at the given time may have reached a former
// incarnation of the backend server.
func (t *Table) SentToFormer(sentAt time.Time) bool { return !sentAt.After(t.incarnationSince) }

// StopAnswered records at now that the backend server has answered a stop of the run which was sent
// at sentAt. It counts only if it was sent after the current incarnation became known, because a
// former one may have answered otherwise.
func (t *Table) StopAnswered(now time.Time, ref run.Ref, sentAt time.Time) {
	if t.SentToFormer(sentAt) {
		return
	}
	c := t.copies[ref]
	if c != nil {
		c.stoppedIn = t.incarnation
	}
	r := t.runs[ref]
	if r == nil || !r.unsettled || !r.stopAnsweredAt.IsZero() || !sentAt.After(r.unsettledAt) {
		return
	}
	if c == nil || c.outstanding == 0 && sentAt.After(c.returnedAt) {
		r.stopAnsweredAt = now
	}
}

// NeedsStop reports whether the run is unsettled and the backend server has not answered a stop of it
// that counts.
func (t *Table) NeedsStop(ref run.Ref) bool {
	r := t.runs[ref]
	return r != nil && r.unsettled && r.stopAnsweredAt.IsZero()
}

// settled reports whether a snapshot that does not list an unsettled run shows that the run has ended
// and cannot start.
func (r *record) settled(snapshot Snapshot) bool {
	return !r.stopAnsweredAt.IsZero() && snapshot.Requested.After(r.stopAnsweredAt)
}

// longestLease returns the longest lease that the backend server may hold, on its own clock. A server
// that has carried out calls which were meant for its former incarnation may hold the longest one
// that it grants, because their times are on another clock.
func (t *Table) longestLease() time.Duration { return max(t.limits.Lease, t.limits.MaxLease) }

// lapsed reports whether an unsettled run has certainly ended on a backend server that does not
// answer; leasePassed is true if the known lease has expired.
func (t *Table) lapsed(now time.Time, r *record, leasePassed bool) bool {
	since := r.uptimeAtUnsettled
	c := t.copies[r.ref]
	if c != nil {
		since = max(since, c.uptimeAtLastSend)
	}
	silence := time.Duration(minClockRate * float64(t.uptime.Since(since, now)))
	if c != nil && c.mayArrive(now, &t.uptime) && c.stoppedIn != t.incarnation {
		return false
	}
	if c != nil && c.unanswered && c.stoppedIn != t.incarnation {
		return silence > lateCallLimit+t.longestLease()
	}
	// Renewals that were in flight may have reached the new incarnation a little later.
	return (leasePassed || !t.clock.known) && silence > 2*t.longestLease()
}
