package runagent

import (
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
	"poplargw.example/daemon/link"
	"poplargw.example/dispatch/run"
	"poplargw.example/dispatch/runtable"
)

// A restarted agent must not report a claimed run as stopped while an order of its former process may still
// start the run: the entry would start the task elsewhere. Runs in a snapshot are reported at once.
func TestClaimOfUnknownRunWaitsForOrdersOfFormerProcess(t *testing.T) {
	a := New(Options{Backend: &fakeBackend{}, Limits: pollerLimits, Log: event.New(&log.Logger{Handler: discard.New(), Level: log.ErrorLevel})})
	near, far := net.Pipe()
	if err := far.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	entry := link.New(far)
	t.Cleanup(func() { near.Close(); entry.Close() })
	s := &session{entry: "e", conn: link.New(near)}
	a.addSession(s)

	known, late := run.Ref{Task: "t.0.0.0", Run: 1}, run.Ref{Task: "t.0.0.1", Run: 1}
	snapshot := func(clockMS int64, running ...run.Ref) {
		v := runtable.Snapshot{Incarnation: 1, ClockMS: clockMS}
		for _, ref := range running {
			v.Running = append(v.Running, runtable.RunningRun{Ref: ref})
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		a.deliver(a.table.ApplySnapshot(boottime.Now(), v))
	}
	snapshot(1, known)
	a.handleFrame(t.Context(), s, &peerv1.EntryFrame{Seq: 1, Claims: []*peerv1.RunClaim{
		{Ref: link.RefToProto(known)}, {Ref: link.RefToProto(late)},
	}})
	wantEvents(t, entry, run.Event{Ref: known, Kind: run.Running})
	snapshot(pollerLimits.OrderExpiry.Milliseconds()+2, known, late)
	a.sweep(t.Context())
	wantEvents(t, entry, run.Event{Ref: late, Kind: run.Running})
}

// wantEvents receives the next frame with events and compares these.
func wantEvents(t *testing.T, entry *link.Conn, want ...run.Event) {
	t.Helper()
	for {
		var f peerv1.AgentFrame
		if err := entry.Receive(&f); err != nil {
			t.Fatal(err)
		}
		if len(f.GetEvents()) == 0 {
			continue
		}
		for i, e := range f.GetEvents() {
			if got := link.EventFromProto(e); i >= len(want) || !reflect.DeepEqual(got, want[i]) {
				t.Errorf("event %d is %+v, want %+v", i, got, want)
			}
		}
		if len(f.GetEvents()) < len(want) {
			t.Errorf("%d events, want %d", len(f.GetEvents()), len(want))
		}
		return
	}
}
