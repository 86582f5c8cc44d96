package runtable

import (
	"time"

	"poplargw.example/dispatch/run"
	"poplargw.example/dispatch/uptime"
)

const (
	// lateCallLimit is how late the backend server may carry out a call that got no answer.
	lateCallLimit = 12 * time.Second
	// maxOrderCopies bounds the orders of which a copy may be carried out late.
	maxOrderCopies = 512
	// maxLateStops bounds the stops of ended runs that one sweep returns, so that they do not take the
	// connections of other calls.
	maxLateStops = 8
)

// orderCopies are the calls that have sent one order to the backend server. They are kept after the
// end of the run while one of them may be carried out.
type orderCopies struct {
	incarnation      int64 // the backend server's when the order was accepted
	expiryMS         int64 // on the clock of that incarnation
	outstanding      int   // calls that have not returned
	unanswered       bool  // a call returned without an answer
	lastSent         time.Time
	uptimeAtLastSend time.Duration // for how long the agent had run at lastSent
	returnedAt       time.Time     // when the latest call returned
	stoppedIn        int64         // the newest incarnation that has answered a stop of the run
}

// mayArrive reports whether the backend server may still carry out a copy.
func (c *orderCopies) mayArrive(now time.Time, agentUptime *uptime.Clock) bool {
	return c.outstanding > 0 || c.unanswered && agentUptime.Since(c.uptimeAtLastSend, now) <= lateCallLimit
}

// SendCopy reports whether a copy of the order may be sent now, and counts its call as outstanding if
// so. A copy must not be sent after the run has ended, nor to another incarnation than that of the
// order: its expiry is a time on that incarnation's clock.
func (t *Table) SendCopy(now time.Time, ref run.Ref) bool {
	r, c := t.runs[ref], t.copies[ref]
	if r == nil || c == nil || r.unsettled || c.incarnation != t.incarnation {
		return false
	}
	c.outstanding++
	c.lastSent, c.uptimeAtLastSend = now, t.uptime.At(now)
	return true
}

// CopyReturned records that a call counted by SendCopy has returned. A call without an answer may
// still be carried out.
func (t *Table) CopyReturned(now time.Time, ref run.Ref, answered bool) {
	c := t.copies[ref]
	if c == nil {
		return
	}
	c.outstanding--
	c.unanswered = c.unanswered || !answered
	c.returnedAt = now
}

// trackCopies prepares for sending an order. When there are too many orders, it forgets the one that
// was sent first of those whose run has ended.
func (t *Table) trackCopies(ref run.Ref, expiryMS int64) {
	t.copies[ref] = &orderCopies{incarnation: t.incarnation, expiryMS: expiryMS}
	if len(t.copies) <= maxOrderCopies {
		return
	}
	var oldest run.Ref
	found := false
	for other, c := range t.copies {
		if t.runs[other] == nil && other != ref && c.outstanding == 0 && (!found || c.lastSent.Before(t.copies[oldest].lastSent)) {
			oldest, found = other, true
		}
	}
	if found {
		delete(t.copies, oldest)
	}
}

// forgetCopies forgets the copies of ended runs that can no longer be carried out.
func (t *Table) forgetCopies(now time.Time) {
	for ref, c := range t.copies {
		if t.runs[ref] == nil && !c.mayArrive(now, &t.uptime) {
			delete(t.copies, ref)
		}
	}
}

// lateStops returns ended runs of which a copy, ordered from a former incarnation of the backend
// server, may be carried out by the current one. After a stop the backend server rejects it.
func (t *Table) lateStops(now time.Time) []run.Ref {
	if !t.hasSnapshot {
		return nil
	}
	var stops []run.Ref
	for ref, c := range t.copies {
		if len(stops) == maxLateStops {
			break
		}
		if t.runs[ref] == nil && c.incarnation != t.incarnation && c.stoppedIn != t.incarnation && c.mayArrive(now, &t.uptime) && t.clock.lowerBound(now, &t.uptime) <= c.expiryMS {
			stops = append(stops, ref)
		}
	}
	return stops
}
