// Package recovery decides which submissions an entry may serve after a change of the entry
// table. An entry that becomes the home of further keys runs a claim: it asks the other
// members which of these keys they hold, and the agents for their start records. The package
// tracks the claim, the holders and records that it found, and the keys that a process
// without an answer may have started.
//
// The package does no I/O; time is a parameter. It is not safe for concurrent use.
package recovery

import (
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/dispatch/submission"
	"poplargw.example/dispatch/table"
)

// Options are the fixed parameters of a State.
type Options struct {
	// Self is the ID of this entry, and Incarnation identifies its process.
	Self        string
	Incarnation string
	// Started is the start time of this process.
	Started time.Time
	// Window bounds the age of submissions and of their start records.
	Window submission.Window
	// StartGrace is how long a removed entry can still cause a start once a majority of its table
	// knows the removal: the freshness limit plus the token age.
	StartGrace time.Duration
	// ReportInterval is the time within which every running agent has reported to a new member.
	ReportInterval time.Duration
}

// Member identifies one incarnation of an entry.
type Member struct {
	ID          string
	Incarnation string
}

// Records are the start records of one key.
type Records struct {
	// Hash is the hash of the submission in the first record that was found.
	Hash [32]byte
	// Conflict is set when agents hold records of the key with different hashes.
	Conflict bool
	// Agents maps a task index to the agent that holds its record.
	Agents map[uint32]string
}

// TableEffect is the effect of a new entry table on this entry.
type TableEffect int

// Effects of a new entry table.
const (
	// Unchanged means that there is nothing to do, for example because the table is not newer or
	// no key moved to this entry.
	Unchanged TableEffect = iota
	// Dropped means that this entry was removed and must drop all submissions that it holds.
	Dropped
	// Claim means that a claim has started and must end before the moved keys are served.
	Claim
)

// State is the claim state of one entry.
type State struct {
	opts Options
	// table is the newest observed table, and member says whether it holds this incarnation.
	table  *peerv1.EntryTable
	member bool
	// claim is the running claim, or nil, and round the number of the newest one.
	claim *claim
	round uint64
	// unknownSets are the key sets of finished claims that may have missed a start.
	unknownSets []*keySet
	// holders maps keys whose home is this entry to the other member that holds them.
	holders map[submission.Key]Member
	// records holds the start records of keys that no entry is known to hold.
	records map[submission.Key]*Records
	// complete is set if the list of agents is known to hold every agent with start records.
	complete    bool
	memberSince time.Time
}

// New returns the state of an entry that has not seen a table yet.
func New(o Options) *State {
	s := &State{opts: o}
	s.reset()
	return s
}

// reset drops everything but the observed table and the number of the newest claim.
func (s *State) reset() {
	s.member, s.claim, s.unknownSets, s.complete = false, nil, nil, false
	s.holders = make(map[submission.Key]Member)
	s.records = make(map[submission.Key]*Records)
}

// Table returns the newest observed table, or nil.
func (s *State) Table() *peerv1.EntryTable { return s.table }

// InTable reports whether this incarnation is in the newest table.
func (s *State) InTable() bool { return s.member }

// Round returns the number of the newest claim. Answers must carry the number of the claim
// that they belong to.
func (s *State) Round() uint64 { return s.round }

// Claiming reports whether a claim is running.
func (s *State) Claiming() bool { return s.claim != nil }

// Observe replaces the table by a newer one and returns what has to be done. It starts a claim
// if keys moved to this entry.
func (s *State) Observe(now time.Time, t *peerv1.EntryTable) TableEffect {
	if t == nil || s.table != nil && t.GetVersion() <= s.table.GetVersion() {
		return Unchanged
	}
	prev := s.table
	s.table = t
	m := table.Member(t, s.opts.Self)
	if m == nil || m.GetIncarnation() != s.opts.Incarnation {
		wasMember := s.member
		s.reset()
		if wasMember {
			return Dropped
		}
		return Unchanged
	}
	if !s.member {
		return s.join(now, t)
	}
	if m.GetLeaving() {
		// This entry is the home of no key from now on: a leaving incarnation does not come back.
		s.claim = nil
		return Unchanged
	}
	return s.advance(prev, t)
}

// join handles the first table with this incarnation and starts a claim of all keys. The
// only member of version 1 needs no claim: that is the first table of the system, and no entry
// can have started a task before.
func (s *State) join(now time.Time, t *peerv1.EntryTable) TableEffect {
	s.member, s.memberSince = true, now
	if t.GetVersion() == 1 && len(t.GetMembers()) == 1 {
		s.complete = true
		return Unchanged
	}
	s.beginClaim(&keySet{all: true})
	return Claim
}

// advance handles a further table with this incarnation and starts a claim if keys moved to
// it. A claim that is running is started again.
func (s *State) advance(prev, t *peerv1.EntryTable) TableEffect {
	ks := &keySet{self: s.opts.Self, orphaned: s.takeOrphaned(t)}
	switch {
	case t.GetVersion() != prev.GetVersion()+1:
		// In the tables that were missed, keys can have moved away and back.
		ks.all = true
	case mayGainKeys(prev, t):
		ks.prevTables = append(ks.prevTables, prev)
	}
	if ks.empty() && s.claim == nil {
		return Unchanged
	}
	s.beginClaim(ks)
	return Claim
}

// takeOrphaned removes and returns the keys whose holder is no longer in the table.
func (s *State) takeOrphaned(t *peerv1.EntryTable) map[submission.Key]struct{} {
	orphaned := make(map[submission.Key]struct{})
	for k, h := range s.holders {
		m := table.Member(t, h.ID)
		if m == nil || m.GetIncarnation() != h.Incarnation {
			orphaned[k] = struct{}{}
			delete(s.holders, k)
		}
	}
	return orphaned
}

// mayGainKeys reports whether keys can have moved to a member that is in both tables: a
// member of the earlier one has been removed or has begun to leave since.
func mayGainKeys(prev, t *peerv1.EntryTable) bool {
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

// Verdict says how to handle a submission that this entry does not hold.
type Verdict int

// Verdicts for a key whose home is this entry.
const (
	// NotStarted means that no process has started a task of it.
	NotStarted Verdict = iota
	// Wait means that the running claim covers the key.
	Wait
	// Forward means that another member, Decision.Holder, holds it.
	Forward
	// Resume means that agents hold start records of it, which are in Decision.Records.
	Resume
	// Unknown means that a process without an answer may have started a task of it.
	Unknown
)

// Decision is a verdict with what is needed to act on it.
type Decision struct {
	Verdict Verdict
	// Holder is set for Forward.
	Holder Member
	// Records is set for Resume, and for Unknown if there are any.
	Records *Records
}

// Decide returns how to handle a submission with the given number of tasks.
//
// If an agent that did not answer may hold further records of the key, the submission is only
// resumed when every task has a record: a task without one could be started twice.
func (s *State) Decide(k submission.Key, tasks int) Decision {
	if h, ok := s.holders[k]; ok {
		return Decision{Verdict: Forward, Holder: h}
	}
	if s.claim != nil && s.claim.keys.contains(k) {
		return Decision{Verdict: Wait}
	}
	r := s.records[k]
	unknownStart := s.mayHaveUnknownStart(k)
	switch {
	case r != nil && (!unknownStart || len(r.Agents) >= tasks):
		return Decision{Verdict: Resume, Records: r}
	case r != nil || unknownStart:
		return Decision{Verdict: Unknown, Records: r}
	}
	return Decision{Verdict: NotStarted}
}

// mayHaveUnknownStart reports whether a finished claim may have missed a start of the key. The
// time of the key is compared with a margin of twice the clock skew.
func (s *State) mayHaveUnknownStart(k submission.Key) bool {
	for _, ks := range s.unknownSets {
		if k.Time().Before(ks.unknownBefore.Add(2*s.opts.Window.Skew)) && ks.contains(k) {
			return true
		}
	}
	return false
}

// UnknownUntil returns the time from which submissions do not get the verdict Unknown because
// of a finished claim, if they were first sent then or later. It is zero if no finished claim
// may have missed a start.
func (s *State) UnknownUntil() time.Time {
	var t time.Time
	for _, ks := range s.unknownSets {
		if u := ks.unknownBefore.Add(2 * s.opts.Window.Skew); u.After(t) {
			t = u
		}
	}
	return t
}

// Release drops the records of a key. It is called when this entry begins to hold the key.
func (s *State) Release(k submission.Key) { delete(s.records, k) }

// Expire drops what concerns only submissions that no entry accepts any more.
func (s *State) Expire(now time.Time) {
	for k := range s.holders {
		if !now.Before(s.opts.Window.ForgetAt(k)) {
			delete(s.holders, k)
		}
	}
	for k := range s.records {
		if !now.Before(s.opts.Window.ForgetAt(k)) {
			delete(s.records, k)
		}
	}
	kept := s.unknownSets[:0]
	for _, ks := range s.unknownSets {
		if now.Before(ks.unknownBefore.Add(s.opts.Window.Length + 4*s.opts.Window.Skew)) {
			kept = append(kept, ks)
		}
	}
	clear(s.unknownSets[len(kept):])
	s.unknownSets = kept
}

// NotHeld notes that a member no longer holds a key that it returned in a claim: it ended the
// submission without starting a task, or dropped it after the submission window.
func (s *State) NotHeld(k submission.Key, m Member) {
	if s.holders[k] == m {
		delete(s.holders, k)
	}
}
