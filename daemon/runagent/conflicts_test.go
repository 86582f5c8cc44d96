package runagent

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
)

// Guards against two owners of one job that nobody notices, and against a line that does not tell an entry that may
// still order tasks from one whose ownership has lapsed.
func TestOwnerConflictIsCountedAndDescribed(t *testing.T) {
	for _, c := range []struct {
		name     string
		requests []*peerv1.JobRequest
		lapsed   bool
	}{
		{"owner", nil, false},
		{"lapsed owner", []*peerv1.JobRequest{{Job: "other", Number: 3}, {Job: "j", Number: 4}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			handler := memory.New()
			a := New(Options{
				Backend: &fakeBackend{}, Limits: pollerLimits, OwnerLostAfter: ownerTestLostAfter,
				Log: event.New(&log.Logger{Handler: handler, Level: log.InfoLevel}), Metrics: metrics.NewSet(),
			})
			now := boottime.Now()
			a.owners.Restore(now, "e2", []string{"j"})
			a.handleOwnership(now.Add(30*time.Millisecond), &session{entry: "e1"}, &peerv1.EntryFrame{
				Hello: &peerv1.LinkHello{Id: "e1"}, Owned: []string{"j"}, Requests: c.requests,
			})
			if len(handler.Entries) != 1 {
				t.Fatalf("%d lines", len(handler.Entries))
			}
			want := log.Fields{"event": int(event.OwnerConflict), "job": "j", "entry": "e1", "lapsed": c.lapsed, "owner": "e2", "owner_silent_ms": int64(30)}
			for key, value := range want {
				if got := handler.Entries[0].Fields[key]; got != value {
					t.Errorf("field %s is %v (%T), want %v", key, got, got, value)
				}
			}
			for _, lapsed := range []bool{false, true} {
				n := a.counters.ownerConflicts(lapsed).Get()
				if want := lapsed == c.lapsed; (n == 1) != want {
					t.Errorf("%d conflicts counted with lapsed %t", n, lapsed)
				}
			}
		})
	}
}
