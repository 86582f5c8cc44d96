package runtable

import (
	"time"

	"poplargw.example/dispatch/run"
)

// Sweep returns the runs to stop because their owner is silent, no entry has claimed them or the
// backend server has started anew, and forgets old ends. A run is returned each time until it has
// ended, so that lost stops are repeated.
func (t *Table) Sweep(now time.Time) []run.Ref {
	t.forgetCopies(now)
	for ref, e := range t.retainedEnds {
		if now.Sub(e.at) > t.limits.EndRetention && t.copies[ref] == nil {
			delete(t.retainedEnds, ref)
		}
	}
	stops := t.lateStops(now)
	for ref, r := range t.runs {
		if r.stopRequested || t.orphaned(now, r) {
			t.requestStop(now, r)
			stops = append(stops, ref)
		}
	}
	return stops
}

// orphaned reports whether the run has been unclaimed for longer than ClaimWindow, or its owner
// silent for longer than OwnerSilence.
func (t *Table) orphaned(now time.Time, r *record) bool { return now.After(t.orphanedAt(r)) }
