package member

import (
	"slices"
	"time"
)

// Key names a record in the store.
type Key int

// Keys of the records.
const (
	ConfigKey Key = iota
	TableKey
	keys
)

// Outcome is how a store read ended.
type Outcome int

// Outcomes of a store read.
const (
	// ReadCurrent is a read of a record that is at least as new as the known one and has been adopted,
	// or of a key without a value while no record is known.
	ReadCurrent Outcome = iota
	// ReadOlder is a read of a record that is older than the known one.
	ReadOlder
	// ReadFailed is a read without an answer.
	ReadFailed
)

type storeState struct {
	// suspect is set from a failed or older read until the store has settled.
	suspect bool
	// settled is when reads count again; zero while no read has succeeded.
	settled time.Time
	// failed is whether the newest read had no answer.
	failed bool
	read   [keys]time.Time
}

// StoreRead notes the outcome of a store read that began at the given time.
func (s *State) StoreRead(k Key, begin time.Time, o Outcome) {
	st := &s.store
	st.failed = o == ReadFailed
	if o != ReadCurrent {
		st.suspect, st.settled = true, time.Time{}
		return
	}
	if st.suspect {
		if st.settled.IsZero() {
			st.settled = begin.Add(s.limits.StoreSettle)
		}
		if begin.Before(st.settled) {
			return
		}
		st.suspect = false
	}
	st.read[k] = later(st.read[k], begin)
	if !s.storeEvidence().IsZero() {
		s.synced = true
	}
}

// StoreReachable tells whether the newest read was answered.
func (s *State) StoreReachable() bool { return !s.store.failed }

// StoreSettled tells whether reads of the store are evidence: it did not fail or go back
// to an older record within StoreSettle.
func (s *State) StoreSettled() bool {
	return !s.store.suspect && !s.store.read[TableKey].IsZero()
}

// storeEvidence returns the time up to which the store is known to hold nothing newer.
func (s *State) storeEvidence() time.Time {
	return slices.MinFunc(s.store.read[:], time.Time.Compare)
}

// heartbeatEvidence returns the time up to which a majority of the table, this entry included,
// is known to know nothing newer. It returns forever if this entry is a majority alone.
func (s *State) heartbeatEvidence(forever time.Time) time.Time {
	need := Majority(len(s.table.GetMembers())) - 1
	if need == 0 {
		return forever
	}
	var begins []time.Time
	for id, p := range s.peers {
		if id != s.self && s.current(p) {
			begins = append(begins, p.answer.Begin)
		}
	}
	if len(begins) < need {
		return time.Time{}
	}
	slices.SortFunc(begins, func(a, b time.Time) int { return b.Compare(a) })
	return begins[need-1]
}

// lasting stands for evidence that does not end until the records change.
const lasting = 1000 * time.Hour

// FreshUntil returns the time until which this entry is fresh if it learns nothing more.
// The zero time means that it is not fresh. It changes with every call that notes something.
func (s *State) FreshUntil(now time.Time) time.Time {
	if !s.synced || !s.InTable() {
		return time.Time{}
	}
	evidence := later(s.storeEvidence(), s.heartbeatEvidence(now.Add(lasting)))
	if evidence.IsZero() {
		return time.Time{}
	}
	return evidence.Add(s.limits.Freshness)
}

// Fresh tells whether this entry may start tasks.
func (s *State) Fresh(now time.Time) bool { return now.Before(s.FreshUntil(now)) }

// NeedsConfigRead tells whether freshness depends on the store, so that the configuration
// has to be read along with the table. While heartbeats are answered, reads of the table suffice.
func (s *State) NeedsConfigRead(now time.Time) bool {
	if !s.synced || s.store.suspect || s.store.read[ConfigKey].IsZero() {
		return true
	}
	// Half the bound leaves time for one slow read before the heartbeats' evidence ends.
	return s.heartbeatEvidence(now).Before(now.Add(-s.limits.Freshness / 2))
}

// HeardMajority tells whether a majority of the table, this entry included, is known to have known
// nothing newer at the time begin.
func (s *State) HeardMajority(begin, now time.Time) bool {
	return s.synced && s.InTable() && !s.heartbeatEvidence(now.Add(lasting)).Before(begin)
}
