package runtable

import (
	"time"

	"poplargw.example/dispatch/run"
)

// Announce records an announcement of the backend server. The number incarnation identifies the
// server's process: a new incarnation has none of the earlier one's runs, but may carry out orders
// that were sent to the earlier one. A delayed announcement of an earlier incarnation is ignored.
func (t *Table) Announce(now time.Time, s run.Server, incarnation int64) []Event {
	if t.IsFormer(incarnation) {
		return nil
	}
	events := t.setIncarnation(now, incarnation)
	t.server = s
	t.serverKnown = true
	t.serverLeft = false
	return events
}

// RestoreServer gives the table the announcement that an earlier process of the agent received. It
// is used until the next announcement, provided that a snapshot shows the same incarnation of the
// backend server. A restarted agent then need not wait for an announcement, which comes every
// second or two.
func (t *Table) RestoreServer(s run.Server, incarnation int64) {
	t.restoredServer, t.restoredIncarnation = s, incarnation
	t.useRestored()
}

// useRestored uses the restored announcement if it came from the current incarnation.
func (t *Table) useRestored() {
	if t.serverKnown || t.serverLeft || t.incarnation == 0 || t.restoredIncarnation != t.incarnation {
		return
	}
	t.server = t.restoredServer
	t.serverKnown = true
}

// ServerLeft records that the backend server has announced its shutdown. It accepts no more orders,
// and its runs are stopped: it may still run them for a moment, so they end when a snapshot shows that
// or their lease has passed. ServerLeft reports whether the instance is the one that is announced; it
// ignores any other.
func (t *Table) ServerLeft(now time.Time, instance string) bool {
	if !t.serverKnown || t.server.Instance != instance {
		return false
	}
	t.serverLeft = true
	t.serverKnown = false
	t.server.State = run.Absent
	for ref := range t.runs {
		t.Stop(now, ref)
	}
	return true
}

// setIncarnation records the incarnation of the backend server, which announcements and snapshots
// carry. When it has changed, it ends the runs that were lost with the former incarnation.
func (t *Table) setIncarnation(now time.Time, incarnation int64) []Event {
	if incarnation == t.incarnation {
		return nil
	}
	first := t.incarnation == 0
	if !first {
		t.noteSilence(t.clock.readAt)
		t.recordCrash()
		t.silent = nil
	}
	t.incarnation = incarnation
	t.incarnationSince = now
	if first {
		return nil
	}
	t.serverKnown = false
	t.hasSnapshot = false
	t.claimsReady = true
	t.unknownOrders = true
	t.lastEnd = 0
	t.latestLease = 0
	t.initialLease = t.longestLease()
	t.formerRenewals = append(t.formerRenewals, t.pendingRenewals...)
	t.pendingRenewals = nil
	t.quarantineEnd = 0
	t.listedMS, t.incomplete = 0, false
	t.clock = serverClock{}
	return t.endOrUnsettleRuns(now)
}

// Incarnation returns the current incarnation of the backend server, or 0 before the first announcement or
// snapshot.
func (t *Table) Incarnation() int64 { return t.incarnation }

// IsFormer reports whether the incarnation is earlier than the current one. Incarnations are numbered
// by their start time.
func (t *Table) IsFormer(incarnation int64) bool { return incarnation < t.incarnation }
