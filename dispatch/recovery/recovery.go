// Package recovery is the state of an entry's claims: which keys it may serve after a
// change of the entry table, who else holds keys of its range, and which keys may have
// been started by a process that no longer answers. It has no I/O; time is a parameter.
// It is not safe for concurrent use.
package recovery

import (
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/dispatch/submission"
	"poplargw.example/dispatch/table"
)

// Options are the fixed parameters of a State.
type Options struct {
	// Self and Incarnation identify this entry.
	Self        string
	Incarnation string
	// Started is the start time of this process.
	Started time.Time
	Window  submission.Window
	// Permit is how long a removed entry can still cause a start: freshness plus token age.
	Permit time.Duration
	// Silence is the time within which every living agent has reported to a new member.
	Silence time.Duration
}

// Member names one incarnation of an entry.
type Member struct {
	ID          string
	Incarnation string
}

// Records are the start records of one key.
type Records struct {
	Hash [32]byte
	// Conflict is set when agents hold records of the key with different hashes.
	Conflict bool
	// Agents maps a task index to the agent that holds its record.
	Agents map[uint32]string
}

// Change says what a new entry table means for this entry.
type Change int

// Changes of the entry table.
const (
	// Unchanged: the table is not newer, or nothing moved to this entry.
	Unchanged Change = iota
	// Dropped: this entry was removed and must forget everything it holds.
	Dropped
	// Claim: a claim has to run before the moved keys are served.
	Claim
)

// State is the claim state of one entry.
type State struct {
	o       Options
	table   *peerv1.EntryTable
	member  bool
	open    *claim
	round   uint64
	scopes  []*scope
	holders map[submission.Key]Member
	records map[submission.Key]*Records
	// complete tells whether the list of agents is known to hold every agent with records.
	complete    bool
	memberSince time.Time
}

// New returns the state of an entry that has not seen a table yet.
func New(o Options) *State {
	s := &State{o: o}
	s.clear()
	return s
}

func (s *State) clear() {
	s.member, s.open, s.scopes, s.complete = false, nil, nil, false
	s.holders = make(map[submission.Key]Member)
	s.records = make(map[submission.Key]*Records)
}

// Table returns the newest table that was observed, or nil.
func (s *State) Table() *peerv1.EntryTable { return s.table }

// Member tells whether this incarnation is in the newest table.
func (s *State) Member() bool { return s.member }

// Round returns the number of the newest claim. Answers to earlier rounds are ignored.
func (s *State) Round() uint64 { return s.round }

// Open tells whether a claim is running.
func (s *State) Open() bool { return s.open != nil }

// Observe takes over a newer table.
func (s *State) Observe(now time.Time, t *peerv1.EntryTable) Change {
	if t == nil || s.table != nil && t.GetVersion() <= s.table.GetVersion() {
		return Unchanged
	}
	prev := s.table
	s.table = t
	m := table.Member(t, s.o.Self)
	if m == nil || m.GetIncarnation() != s.o.Incarnation {
		was := s.member
		s.clear()
		if was {
			return Dropped
		}
		return Unchanged
	}
	if !s.member {
		return s.join(now, t)
	}
	if m.GetLeaving() {
		// No key has its home here any more, and none will: an incarnation does not return.
		s.open = nil
		return Unchanged
	}
	return s.advance(prev, t)
}

// join handles the first table with this incarnation. Version 1 is the first table of
// the system: no entry can have started anything before it.
func (s *State) join(now time.Time, t *peerv1.EntryTable) Change {
	s.member, s.memberSince = true, now
	if t.GetVersion() == 1 && len(t.GetMembers()) == 1 {
		s.complete = true
		return Unchanged
	}
	s.begin(&scope{all: true})
	return Claim
}

func (s *State) advance(prev, t *peerv1.EntryTable) Change {
	sc := &scope{self: s.o.Self, orphans: s.takeOrphans(t)}
	switch {
	case t.GetVersion() != prev.GetVersion()+1:
		// Keys can have moved away and back in the versions between.
		sc.all = true
	case gains(prev, t):
		sc.before = append(sc.before, prev)
	}
	if sc.empty() && s.open == nil {
		return Unchanged
	}
	s.begin(sc)
	return Claim
}

// takeOrphans removes and returns the keys whose holder is not in the table any more.
func (s *State) takeOrphans(t *peerv1.EntryTable) map[submission.Key]struct{} {
	orphans := make(map[submission.Key]struct{})
	for k, h := range s.holders {
		m := table.Member(t, h.ID)
		if m == nil || m.GetIncarnation() != h.Incarnation {
			orphans[k] = struct{}{}
			delete(s.holders, k)
		}
	}
	return orphans
}

// gains tells whether keys can have moved to a member that is in both tables: some
// member of the earlier one is gone or has begun to leave.
func gains(prev, t *peerv1.EntryTable) bool {
	for _, m := range prev.GetMembers() {
		if m.GetLeaving() {
			continue
		}
		n := table.Member(t, m.GetId())
		if n == nil || n.GetLeaving() {
			return true
		}
	}
	return false
}

// Verdict says what to do with a submission that this entry does not hold.
type Verdict int

// Verdicts for a key whose home is this entry.
const (
	// Fresh: no process has started a task of it.
	Fresh Verdict = iota
	// Wait: the claim of its range is running.
	Wait
	// Forward: another member holds it.
	Forward
	// Resume: agents hold start records of it.
	Resume
	// Unknown: a process that does not answer may have started it.
	Unknown
)

// Decision is a verdict with what is needed to act on it.
type Decision struct {
	Verdict Verdict
	Holder  Member
	Records *Records
}

// Decide tells what to do with a key of a job with the number of tasks.
//
// A key with start records that may have further ones at an agent that did not answer is
// only resumed when every task has a record: a task without one could start twice.
func (s *State) Decide(k submission.Key, tasks int) Decision {
	if h, ok := s.holders[k]; ok {
		return Decision{Verdict: Forward, Holder: h}
	}
	if s.open != nil && s.open.scope.covers(k) {
		return Decision{Verdict: Wait}
	}
	r := s.records[k]
	lost := s.mayBeLost(k)
	switch {
	case r != nil && (!lost || len(r.Agents) >= tasks):
		return Decision{Verdict: Resume, Records: r}
	case r != nil || lost:
		return Decision{Verdict: Unknown, Records: r}
	}
	return Decision{Verdict: Fresh}
}

func (s *State) mayBeLost(k submission.Key) bool {
	for _, sc := range s.scopes {
		if k.Time().Before(sc.unknownBefore.Add(2*s.o.Window.Skew)) && sc.covers(k) {
			return true
		}
	}
	return false
}

// UnknownUntil returns the time after which no first send is affected by a finished claim.
func (s *State) UnknownUntil() time.Time {
	var t time.Time
	for _, sc := range s.scopes {
		if u := sc.unknownBefore.Add(2 * s.o.Window.Skew); u.After(t) {
			t = u
		}
	}
	return t
}

// Release drops the records of a key that this entry holds from now on.
func (s *State) Release(k submission.Key) { delete(s.records, k) }

// Expire drops what no acceptable submission can need any more.
func (s *State) Expire(now time.Time) {
	for k := range s.holders {
		if !now.Before(s.o.Window.ForgetAt(k)) {
			delete(s.holders, k)
		}
	}
	for k := range s.records {
		if !now.Before(s.o.Window.ForgetAt(k)) {
			delete(s.records, k)
		}
	}
	kept := s.scopes[:0]
	for _, sc := range s.scopes {
		if now.Before(sc.unknownBefore.Add(s.o.Window.Length + 4*s.o.Window.Skew)) {
			kept = append(kept, sc)
		}
	}
	clear(s.scopes[len(kept):])
	s.scopes = kept
}

// NotHeld notes that a member does not hold a key that it returned in a claim: it ended
// the submission without starting a task, or forgot it after the submission window.
func (s *State) NotHeld(k submission.Key, m Member) {
	if s.holders[k] == m {
		delete(s.holders, k)
	}
}
