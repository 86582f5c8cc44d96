package runagent

import (
	"math"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"google.golang.org/protobuf/proto"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/run"
	"poplargw.example/dispatch/runtable"
)

// fuzzCapacity is the capacity of the backend server in FuzzEntryFrame.
var fuzzCapacity = run.Demand{CPU: 8000, MemoryMB: 1000, GPU: 2}

// newFuzzAgent returns an agent that accepts orders, without the wait of newAgentWithOrder: the clock of the backend
// server says that the orders of an earlier process have expired.
func newFuzzAgent() *Agent {
	a := New(Options{Backend: &fakeBackend{}, Limits: pollerLimits, Log: event.New(&log.Logger{Handler: discard.New(), Level: log.ErrorLevel})})
	a.table.Announce(boottime.Now(), run.Server{Instance: "i", Service: "svc", State: run.Ready, Capacity: fuzzCapacity}, 1)
	a.table.ApplySnapshot(boottime.Now(), runtable.Snapshot{Incarnation: 1, ClockMS: 1})
	a.table.ApplySnapshot(boottime.Now(), runtable.Snapshot{Incarnation: 1, ClockMS: 2 + pollerLimits.OrderExpiry.Milliseconds()})
	a.table.Confirmed("e", boottime.Now())
	return a
}

// wantCapacityKept fails the test if more capacity is free, for any entry, than the backend server has.
func wantCapacityKept(t *testing.T, a *Agent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := boottime.Now()
	for _, free := range []run.Demand{a.table.Free(), a.table.FreeFor(now, "e"), a.table.FreeFor(now, "another")} {
		if !free.Fits(fuzzCapacity) {
			t.Errorf("%+v free of %+v", free, fuzzCapacity)
		}
	}
}

// Guards against a frame of an entry that stops an agent, or that lets orders bring the backend server over its
// capacity.
func FuzzEntryFrame(f *testing.F) {
	ref, other := &peerv1.RunRef{Task: "u.0.0.0", Run: 1}, &peerv1.RunRef{Task: "u.0.0.1", Run: math.MaxUint64}
	odd := &peerv1.Demand{Cpu: math.MinInt64, MemoryMb: math.MaxInt64, Gpu: -1}
	for _, m := range []*peerv1.EntryFrame{
		{Seq: 1, Orders: []*peerv1.RunOrder{{Ref: ref, Server: "i", Demand: &peerv1.Demand{Cpu: 3000}, Spec: "s", Kind: "q"}, {Ref: other, Server: "i", Demand: &peerv1.Demand{Cpu: 5001}}}},
		{Orders: []*peerv1.RunOrder{{Ref: ref, Server: "i", Demand: &peerv1.Demand{Cpu: -3000}}, {Ref: other, Server: "i", Demand: odd, MaxPerServer: math.MaxUint32}, {}}},
		{Orders: []*peerv1.RunOrder{{Ref: ref, Server: "i"}}, Claims: []*peerv1.RunClaim{{Ref: ref, Demand: odd, AgeMs: math.MaxUint32}, {Ref: other, Demand: &peerv1.Demand{Cpu: -1}}, {}}, Stops: []*peerv1.RunRef{ref, other, {}}},
		{Want: odd, SlackMs: math.MinInt64, Ack: math.MaxUint64, TokenMs: math.MaxUint64, SlowdownPermille: math.MaxUint32, Confined: []string{"q", ""}},
		{Want: &peerv1.Demand{Cpu: 1, MemoryMb: -1000, Gpu: -1}, SlackMs: math.MaxInt64, TokenMs: 1 << 40, Out: &peerv1.DomainsOut{Revision: math.MaxUint64, Domains: []string{""}}},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m peerv1.EntryFrame
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		a := newFuzzAgent()
		s, conn := openSession(t, a)
		t.Cleanup(conn.Close)
		t.Cleanup(s.conn.Close)
		for range 2 {
			a.handleFrame(t.Context(), s, &m)
			wantCapacityKept(t, a)
			a.sweep(t.Context())
			wantCapacityKept(t, a)
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		if at := boottime.Now().Add(pollerLimits.OwnerSilence + time.Second); a.table.Len() > 0 && len(a.table.Sweep(at)) < a.table.Len() {
			t.Errorf("%d of %d runs are stopped when their entry is silent", len(a.table.Sweep(at)), a.table.Len())
		}
	})
}
