// Package runtable keeps an agent's record of the runs on its backend server: the capacity they use,
// the entries that own them, and how they ended.
//
// The backend server carries out a start order before the order's expiry or never, and kills every
// run when its lease expires. A run therefore keeps its capacity until a snapshot of the backend
// server proves that it has ended or can no longer start. A server that has started anew has another
// clock, on which the expiry of an earlier order means nothing; see orderCopies and endOrUnsettleRuns. The package does no I/O and is not safe
// for concurrent use.
package runtable

import (
	"time"

	"poplargw.example/dispatch/kindusage"
	"poplargw.example/dispatch/run"
	"poplargw.example/dispatch/uptime"
)

// Limits are the time bounds that together prevent two concurrent runs of one task.
// docs/platform.md derives them.
type Limits struct {
	// OrderExpiry is the longest time from the issue of an order to its start on the backend
	// server. The actual time is shorter, down to MinOrderExpiry, while the backend server answers
	// orders fast.
	OrderExpiry    time.Duration
	MinOrderExpiry time.Duration
	// Lease is how long the runs on the backend server survive without a renewal.
	Lease time.Duration
	// MaxLease is the longest lease that the backend server grants; it shortens longer ones to that.
	MaxLease time.Duration
	// RenewFor is how long the agent keeps renewing the lease without an answer. A call whose
	// answer is lost still renews the lease, so a few lost answers need not end the runs.
	RenewFor time.Duration
	// OwnerSilence is how long an agent keeps the runs of an entry after sending the newest message
	// that the entry has confirmed. A start token is valid for the same time.
	OwnerSilence time.Duration
	// ClaimWindow is how long a run that the agent found after its own restart waits for an entry
	// to claim it.
	ClaimWindow time.Duration
	// StopPatience is how long after the first stop of a run the lease is renewed although the end has
	// not been seen. The caller of a job that was stopped may submit it again to another entry.
	StopPatience time.Duration
	// EndRetention is how long ended runs are remembered for entries that lost their link.
	EndRetention time.Duration
	// MaxTickGap is the longest time between two calls of Tick in an agent that runs. A longer one does not count as time
	// that has passed on the backend server's clock.
	MaxTickGap time.Duration
	// OfferHold is how long free capacity is reserved for the entry that it was offered to: about
	// two message times between failure domains.
	OfferHold time.Duration
}

// Event is an event of a run, addressed to the entry that owns the run.
type Event struct {
	Owner string
	run.Event
	Basis EndBasis
}

// phase is the stage of a run as the agent knows it.
type phase int

const (
	ordered phase = iota
	running
	stopping
)

// record is one run. Runs that were found after the agent's own restart have no owner until an
// entry claims them.
type record struct {
	ref      run.Ref
	owner    string
	demand   run.Demand
	kind     string // kind of request; empty if not known
	phase    phase
	accepted bool
	// visibleByMS is a time on the backend server's clock, in milliseconds: that of the run's
	// acceptance, or the order's expiry while there is no answer. Every later snapshot must list
	// the run unless it has ended or never started.
	visibleByMS   int64
	firstSeen     time.Time // when the run was ordered, or first seen in a snapshot
	runningSince  time.Time // when the agent learned that the run had started
	stopRequested bool      // stops are sent until a snapshot shows the end
	stoppedAt     time.Time // when the first stop was requested
	found         bool      // a snapshot showed the run, which this process of the agent did not order
	percent       int
	checkpoint    string    // newest checkpoint in a snapshot
	listedAt      time.Time // when the newest snapshot that lists the run was requested
	// unsettled, unsettledAt and stopAnsweredAt tell whether the run may be on a new incarnation of
	// the backend server, since when, and when that incarnation has answered a stop.
	unsettled                   bool
	unsettledAt, stopAnsweredAt time.Time
	// uptimeAtUnsettled is for how long the agent had run at unsettledAt.
	uptimeAtUnsettled time.Duration
	// orderedMS is the newest time on the backend server's clock that was known when the run was
	// ordered.
	orderedMS int64
	usage     kindusage.Run
}

// Table is an agent's record of the runs on its backend server. Create one with New.
type Table struct {
	limits      Limits
	server      run.Server
	incarnation int64 // 0 before the first announcement or snapshot
	// incarnationSince is when the current incarnation became known.
	incarnationSince time.Time
	serverKnown      bool // server holds an announcement of the current incarnation
	serverLeft       bool // the server shut down gracefully
	// restoredServer is the announcement that an earlier process of the agent received from the
	// incarnation restoredIncarnation of the backend server.
	restoredServer      run.Server
	restoredIncarnation int64
	runs                map[run.Ref]*record
	copies              map[run.Ref]*orderCopies // of the runs, and of ended ones that may arrive late
	retainedEnds        map[run.Ref]retainedEnd
	unexpected          []UnexpectedRun // not yet taken
	offers              *Offers
	confirmedAt         map[string]time.Time // send time of the newest message that each entry has confirmed
	earlyStops          map[run.Ref]bool     // stops of runs that the table does not know yet
	domainsOut          map[string]bool      // failure domains out of service
	domainsOutRevision  uint64
	draining            bool // the agent is shutting down
	clock               serverClock
	uptime              uptime.Clock // of the agent
	// quarantineEnd is the time on the backend server's clock, in milliseconds, at which all orders
	// unknown to the table have expired.
	quarantineEnd int64
	// listedMS is the backend server's clock, in milliseconds, in the newest complete snapshot of the
	// incarnation, or 0; incomplete is true if the newest snapshot was not complete.
	listedMS      int64
	incomplete    bool
	unknownOrders bool // orders unknown to the table may exist
	// hasSnapshot is true if a snapshot of the incarnation that was requested after snapshotAfter has arrived. No order is
	// accepted before.
	hasSnapshot   bool
	snapshotAfter time.Time
	lastEnd       int64 // highest number of a processed end
	// latestLease is the latest lease end that the backend server may know.
	latestLease     int64
	pendingRenewals []int64       // lease ends of renewals in flight
	formerRenewals  []int64       // the same, sent before the current incarnation was known
	initialLease    time.Duration // the longest lease granted before the first snapshot
	startedAt       time.Time
	claimsReady     bool          // the runs are known well enough to answer claims
	answerTime      time.Duration // moving estimate of the time to answer an order
	crashes         []Crash       // within crashRetention, by number
	lastCrash       uint64        // number of the newest crash
	starts          StartRates    // on all incarnations of the backend server
	usage           kindusage.Account
	// silent is the crash that the backend server may have had, nil while it responds.
	silent *Crash
}

// New returns the table of an agent that has just started. It accepts no orders until the backend
// server has announced itself and a snapshot has shown which runs it has.
func New(now time.Time, limits Limits) *Table {
	return &Table{
		limits:        limits,
		startedAt:     now,
		uptime:        uptime.New(now, limits.MaxTickGap),
		unknownOrders: true,
		initialLease:  limits.Lease + formerDrift(limits),
		answerTime:    limits.OrderExpiry / timeoutFactor,
		runs:          map[run.Ref]*record{},
		copies:        map[run.Ref]*orderCopies{},
		retainedEnds:  map[run.Ref]retainedEnd{},
		offers:        NewOffers(limits.OfferHold),
		confirmedAt:   map[string]time.Time{},
		domainsOut:    map[string]bool{},
		earlyStops:    map[run.Ref]bool{},
	}
}

// Tick records that the agent runs. It must be called several times within MaxTickGap. After a pause the times that the
// agent has computed since the newest response are not the backend server's, so that a new snapshot is needed.
func (t *Table) Tick(now time.Time) {
	if t.uptime.Tick(now) > t.limits.RenewFor {
		t.requireSnapshot(now)
	}
}

// requireSnapshot makes the backend server absent until a snapshot that is requested after now.
func (t *Table) requireSnapshot(now time.Time) {
	t.hasSnapshot = false
	t.snapshotAfter = now
}

// formerDrift returns by how much a former process of the agent may have granted a lease beyond
// Limits.Lease: it took the backend server's clock for ahead of what it was, by the drift since the newest
// answer.
func formerDrift(limits Limits) time.Duration {
	return time.Duration((1-minClockRate)*float64(limits.RenewFor)) + time.Millisecond
}

// Server returns the backend server's last announcement. Its state is Absent while the table would
// refuse every order.
func (t *Table) Server(now time.Time) run.Server {
	s := t.server
	if !t.usable() || t.quarantined() || t.HasUnsettled() {
		s.State = run.Absent
	}
	return s
}

// usable reports whether the table may accept orders once the quarantine has ended.
func (t *Table) usable() bool { return t.serverKnown && t.hasSnapshot && !t.draining }

// quarantined reports whether orders of an earlier process of the agent, or to an earlier
// incarnation of the backend server, can still start or may have started unseen.
func (t *Table) quarantined() bool { return !t.listsAllRuns() }

// Drain makes the table refuse all further orders, because the agent is shutting down.
func (t *Table) Drain() { t.draining = true }

// Len returns the number of runs that may be on the backend server.
func (t *Table) Len() int { return len(t.runs) }

// Has reports whether the run may be on the backend server.
func (t *Table) Has(ref run.Ref) bool { return t.runs[ref] != nil }

// Confirmed records that the entry has confirmed the message that the agent sent at the given time.
func (t *Table) Confirmed(owner string, at time.Time) {
	if at.After(t.confirmedAt[owner]) {
		t.confirmedAt[owner] = at
	}
}

// SetDomainsOut replaces the set of failure domains that are out of service, unless a newer
// revision is known.
func (t *Table) SetDomainsOut(revision uint64, domains []string) {
	if revision < t.domainsOutRevision {
		return
	}
	t.domainsOutRevision = revision
	t.domainsOut = make(map[string]bool, len(domains))
	for _, d := range domains {
		t.domainsOut[d] = true
	}
}

// Usage returns the present usage of the runs by kind of request; empty unless runs of two or more kinds have shared the
// backend server lately.
func (t *Table) Usage(now time.Time) []run.KindUsage {
	return t.usage.Usage(now, t.server.Capacity.CPU)
}

// Free returns the capacity that no run uses. A run whose demand is not known counts as using all
// of it.
func (t *Table) Free() run.Demand {
	free := t.server.Capacity
	for _, r := range t.runs {
		if r.owner == "" {
			return run.Demand{}
		}
		free = free.Sub(r.demand)
	}
	return free
}
