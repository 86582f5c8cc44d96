package runtable

import "testing"

// TestSpeedsOfOtherEntries guards against an entry that is told its own slowdown as that of the others, against one
// wrong entry that decides for all, and against slowdowns of entries that have gone.
func TestSpeedsOfOtherEntries(t *testing.T) {
	s := NewSpeeds()
	check := func(owner string, want float64) {
		t.Helper()
		if got := s.Others(owner); got != want {
			t.Errorf("%s is told %.1f, want %.1f", owner, got, want)
		}
	}
	s.Set("e1", 1.7)
	check("e1", 0)
	check("e2", 1.7)
	s.Set("e2", 1.6)
	s.Set("e3", 30)
	check("e4", 1.7)
	check("e1", 1.6)
	s.Set("e1", 0)
	check("e4", 1.6)
}
