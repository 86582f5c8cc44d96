package runagent

import (
	"slices"
	"testing"
	"time"
)

// Guards against an entry that keeps a kind confined because the agent returns the entry's own report, and against
// one that counts the report of an entry which is gone.
func TestConfinedKindsComeFromOtherActiveEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	first := &session{entry: "first", lastReceived: now, confined: []string{"a", "b"}}
	second := &session{entry: "second", lastReceived: now, confined: []string{"b"}}
	gone := &session{entry: "gone", lastReceived: now.Add(-2 * entryTimeout), confined: []string{"c"}}
	a := &Agent{sessions: map[string]*session{"first": first, "second": second, "gone": gone}}
	for s, want := range map[*session][]string{first: {"b"}, second: {"a", "b"}} {
		if got := a.confinedByOthers(now, s); !slices.Equal(got, want) {
			t.Errorf("%s learns of %v, want %v", s.entry, got, want)
		}
	}
}
