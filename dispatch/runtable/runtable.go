// Package runtable is an agent's record of the runs on its backend server: what they occupy, who
// owns them, and what has certainly become of them.
//
// The backend server executes an order before the order's expiry or never, and kills everything when
// its lease ends. A run therefore keeps its room until a look at the backend server proves that it
// has ended or can no longer begin. The package does no I/O and is not safe for concurrent use.
package runtable

import (
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// Limits are the time bounds that forbid two runs of one task; docs/platform.md adds them up.
type Limits struct {
	// OrderExpiry is how long after its issue an order may begin at the backend server at most. It is
	// shorter, down to LeastExpiry, while the backend server answers orders fast.
	OrderExpiry time.Duration
	LeastExpiry time.Duration
	// Lease is how long everything on the backend server lives without a renewal.
	Lease time.Duration
	// RenewFor is how long the lease is renewed without an answer. A call whose answer is lost renews it,
	// so a few lost answers need not end the work.
	RenewFor time.Duration
	// OwnerSilence is how long an agent keeps runs of an entry since the agent's newest message
	// that the entry has confirmed. A start token is valid for the same time.
	OwnerSilence time.Duration
	// ClaimWindow is how long a run that the agent found after its own start waits for its owner.
	ClaimWindow time.Duration
	// EndRetention is how long ends are kept for entries that lost their link.
	EndRetention time.Duration
	// OfferHold is how long free room is held for the entry that it was offered to: about two message
	// times between failure domains.
	OfferHold time.Duration
}

// Event is an event of a run with the entry that has to hear of it.
type Event struct {
	Owner string
	run.Event
}

// Progress is how far a run has come, in percent, and how long ago it began.
type Progress struct {
	Ref     run.Ref
	Percent int
	Age     time.Duration
}

type phase int

const (
	ordered phase = iota
	running
	stopping
)

// record is one run. Unclaimed runs were found after the agent's own start and have no owner.
type record struct {
	ref      run.Ref
	owner    string
	demand   run.Demand
	phase    phase
	accepted bool
	// since is the backend server's clock at its acceptance, or the expiry while there is no answer.
	since   int64
	found   time.Time // when it was ordered, or seen for the first time
	begun   time.Time // when it was known to run
	stopped bool      // a stop was asked for
	percent int
	saved   string
}

type keptEnd struct {
	event run.Event
	at    time.Time
}

// Table is the agent's record. See New.
type Table struct {
	limits Limits
	server run.Server
	born   int64
	known  bool
	left   bool // it has left in order
	// recalled is what a life of the backend server said of itself to a former life of the agent.
	recalled     run.Server
	recalledBorn int64
	runs         map[run.Ref]*record
	ends         map[run.Ref]keptEnd
	offers       *Offers
	heard        map[string]time.Time
	out          map[string]bool
	outRev       uint64
	leaving      bool
	clock        serverClock
	// quarantine ends when orders that the table does not know have expired, on the server's clock.
	quarantine int64
	foreign    bool // there may be such orders
	looked     bool
	lastSeen   int64
	// granted is the latest end of a lease that the backend server may know.
	granted int64
	sending []int64 // ends of the lease in renewals that are under way
	started time.Time
	settled bool
	answers time.Duration // usual time of an answer to an order
}

// New returns the table of an agent that has just started. It grants nothing before the backend
// server has announced itself and a look has shown what runs there.
func New(now time.Time, limits Limits) *Table {
	return &Table{
		limits:  limits,
		started: now,
		foreign: true,
		answers: limits.OrderExpiry / answerFactor,
		runs:    map[run.Ref]*record{},
		ends:    map[run.Ref]keptEnd{},
		offers:  NewOffers(limits.OfferHold),
		heard:   map[string]time.Time{},
		out:     map[string]bool{},
	}
}

// Server returns the backend server as it last announced itself; it is absent while the table would
// refuse every order.
func (t *Table) Server(now time.Time) run.Server {
	s := t.server
	if !t.usable() || t.quarantined(now) {
		s.State = run.Absent
	}
	return s
}

func (t *Table) usable() bool { return t.known && t.looked && !t.leaving }

// quarantined tells whether orders of a former life of the agent or of the backend server can begin.
func (t *Table) quarantined(now time.Time) bool { return t.clock.at(now) <= t.quarantine }

// Leave makes the table refuse all further orders, because the agent stops.
func (t *Table) Leave() { t.leaving = true }

// Len returns the number of runs that may be at the backend server.
func (t *Table) Len() int { return len(t.runs) }

// Announce records what the backend server says of itself. born names its life; a new life runs
// nothing of the former one.
func (t *Table) Announce(now time.Time, s run.Server, born int64) []Event {
	events := t.life(now, born)
	t.server = s
	t.known = true
	t.left = false
	return events
}

// Recall tells the table what the backend server said of itself to a former life of the agent. It counts
// until the next announcement, if a look shows that the same life of the backend server still runs: a
// restarted agent need not wait for an announcement, which comes every second or two.
func (t *Table) Recall(s run.Server, born int64) {
	t.recalled, t.recalledBorn = s, born
	t.adoptRecalled()
}

// adoptRecalled makes what was recalled the state of the backend server, if it is of the life that runs.
func (t *Table) adoptRecalled() {
	if t.known || t.left || t.born == 0 || t.recalledBorn != t.born {
		return
	}
	t.server = t.recalled
	t.known = true
}

// Gone records that the backend server has left in order.
func (t *Table) Gone(now time.Time) []Event {
	t.left = true
	t.known = false
	t.server.State = run.Absent
	return t.loseAll(now)
}

// life notes the life of the backend server. Announcements and looks carry it.
func (t *Table) life(now time.Time, born int64) []Event {
	if born == t.born {
		return nil
	}
	first := t.born == 0
	t.born = born
	if first {
		return nil
	}
	t.known = false
	t.looked = false
	t.settled = true
	t.foreign = true
	t.lastSeen = 0
	t.granted = 0
	t.sending = nil
	t.quarantine = 0
	t.clock = serverClock{}
	return t.loseAll(now)
}

func (t *Table) loseAll(now time.Time) []Event {
	var events []Event
	for _, r := range t.runs {
		events = append(events, t.end(now, r, run.Stopped, result.ServerLost, r.saved))
	}
	return events
}

// Heard notes that the entry has confirmed the agent's message of the given time.
func (t *Table) Heard(owner string, at time.Time) {
	if at.After(t.heard[owner]) {
		t.heard[owner] = at
	}
}

// SetOut replaces the failure domains that are out of service, unless a newer set is known.
func (t *Table) SetOut(revision uint64, domains []string) {
	if revision < t.outRev {
		return
	}
	t.outRev = revision
	t.out = make(map[string]bool, len(domains))
	for _, d := range domains {
		t.out[d] = true
	}
}

// Free returns the room that no run occupies. A run whose demand is not known occupies everything.
func (t *Table) Free() run.Demand {
	free := t.server.Room
	for _, r := range t.runs {
		if r.owner == "" {
			return run.Demand{}
		}
		free = free.Minus(r.demand)
	}
	return free
}
