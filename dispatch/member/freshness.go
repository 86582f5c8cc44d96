package member

import (
	"slices"
	"time"
)

// Record identifies a record in the store.
type Record int

// Records in the store.
const (
	// ConfigRecord is the configuration record.
	ConfigRecord Record = iota
	// TableRecord is the entry table.
	TableRecord
	// numRecords is the number of records.
	numRecords
)

// ReadOutcome is the outcome of a store read.
type ReadOutcome int

// Outcomes of a store read.
const (
	// ReadCurrent means that the store held a record at least as new as the known one, which has been
	// adopted, or that it held none and none is known.
	ReadCurrent ReadOutcome = iota
	// ReadOlder means that the store held an older record than the known one, none although one is
	// known, or a different record of the same version.
	ReadOlder
	// ReadFailed means that the store did not answer.
	ReadFailed
)

// storeState tracks whether reads of the store are evidence that nothing newer exists.
type storeState struct {
	// unsettled is set from a failed or older read until StoreSettle after the next current one.
	unsettled bool
	// settledAt is when reads count again; zero while no read after the failure was current.
	settledAt time.Time
	// lastFailed is set if the newest read had no answer.
	lastFailed bool
	// lastRead holds when the newest read that counts began, for each key.
	lastRead [numRecords]time.Time
}

// StoreRead notes the outcome of a store read that began at the given time. For ReadCurrent, the record
// must have been adopted before the call. The entry is synced once a read of each record has counted
// as evidence.
func (s *State) StoreRead(r Record, begin time.Time, o ReadOutcome) {
	st := &s.store
	st.lastFailed = o == ReadFailed
	if o != ReadCurrent {
		st.unsettled, st.settledAt = true, time.Time{}
		return
	}
	if st.unsettled {
		if st.settledAt.IsZero() {
			st.settledAt = begin.Add(s.limits.StoreSettle)
		}
		if begin.Before(st.settledAt) {
			return
		}
		st.unsettled = false
	}
	st.lastRead[r] = later(st.lastRead[r], begin)
	if !s.storeEvidence().IsZero() {
		s.synced = true
	}
}

// StoreReachable reports whether the newest read was answered.
func (s *State) StoreReachable() bool { return !s.store.lastFailed }

// StoreSettled reports whether reads of the store are evidence: the table was read, and the store has
// answered for StoreSettle since it last failed or returned an older record.
func (s *State) StoreSettled() bool {
	return !s.store.unsettled && !s.store.lastRead[TableRecord].IsZero()
}

// storeEvidence returns the time up to which the store is known to have held nothing newer than this
// entry knows; zero if there is none.
func (s *State) storeEvidence() time.Time {
	return slices.MinFunc(s.store.lastRead[:], time.Time.Compare)
}

// heartbeatEvidence returns the time up to which a majority of the table, this entry included, is
// known to have known nothing newer; zero if there is none. It returns ifAlone if this entry alone
// is a majority.
func (s *State) heartbeatEvidence(ifAlone time.Time) time.Time {
	need := Majority(len(s.table.GetMembers())) - 1
	if need == 0 {
		return ifAlone
	}
	var begins []time.Time
	for id, p := range s.peers {
		if id != s.self && s.knowsNothingNewer(p) {
			begins = append(begins, p.answer.Begin)
		}
	}
	if len(begins) < need {
		return time.Time{}
	}
	slices.SortFunc(begins, func(a, b time.Time) int { return b.Compare(a) })
	return begins[need-1]
}

// unlimited is how far in the future the evidence of an entry that alone is a majority is placed. It
// does not end until the records change.
const unlimited = 1000 * time.Hour

// FreshUntil returns the time until which this entry is fresh if it learns nothing more, or the zero
// time if it has no evidence. Any method that notes or adopts something can change it.
func (s *State) FreshUntil(now time.Time) time.Time {
	if !s.synced || !s.InTable() {
		return time.Time{}
	}
	evidence := later(s.storeEvidence(), s.heartbeatEvidence(now.Add(unlimited)))
	if evidence.IsZero() {
		return time.Time{}
	}
	return evidence.Add(s.limits.Freshness)
}

// Fresh reports whether this entry may start tasks: within the freshness limit, either the store or a
// majority of the members is known to have held nothing newer than this entry knows.
func (s *State) Fresh(now time.Time) bool { return now.Before(s.FreshUntil(now)) }

// NeedsConfigRead reports whether freshness depends on the store, so that the configuration has to be
// read as well as the table. While a majority answers heartbeats, reads of the table suffice.
func (s *State) NeedsConfigRead(now time.Time) bool {
	if !s.synced || s.store.unsettled || s.store.lastRead[ConfigRecord].IsZero() {
		return true
	}
	// Half the freshness limit leaves time for one slow read before the evidence of heartbeats ends.
	return s.heartbeatEvidence(now).Before(now.Add(-s.limits.Freshness / 2))
}

// MajorityKnowsNothingNewer reports whether a majority of the table, this entry included, is known to
// have known nothing newer than this entry at the time begin.
func (s *State) MajorityKnowsNothingNewer(begin, now time.Time) bool {
	return s.synced && s.InTable() && !s.heartbeatEvidence(now.Add(unlimited)).Before(begin)
}
