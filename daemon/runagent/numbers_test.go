package runagent

import (
	"math"
	"testing"
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/link"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// Guards against an order with a negative demand that is started: it frees capacity that does not exist.
func TestOrderOfNegativeDemandIsRefusedAsNotRun(t *testing.T) {
	b := &fakeBackend{}
	a, _ := newAgentWithOrder(b)
	s, conn := openSession(t, a)
	first := receive(t, conn)
	order := &peerv1.RunOrder{Ref: &peerv1.RunRef{Task: "u.0.0.0", Run: 1}, Server: "i", Demand: &peerv1.Demand{Cpu: -100_000}}
	a.handleFrame(t.Context(), s, &peerv1.EntryFrame{Seq: 2, TokenMs: first.GetClockMs(), Orders: []*peerv1.RunOrder{order}})
	a.handleFrame(t.Context(), s, &peerv1.EntryFrame{Seq: 3, TokenMs: first.GetClockMs()}) // is answered in any case
	f := receive(t, conn)
	if n := len(f.GetEvents()); n != 1 {
		t.Fatalf("%d events", n)
	}
	if e := link.EventFromProto(f.GetEvents()[0]); e.Kind != run.NotRun || e.Reason != result.Malformed {
		t.Errorf("event %+v", e)
	}
	if free := f.GetFree().GetCpu(); free != first.GetFree().GetCpu() {
		t.Errorf("%d CPU free after the order, %d before", free, first.GetFree().GetCpu())
	}
}

// Guards against a token of the future that lets an agent keep the runs of an entry, and accept its orders, however
// long the entry has been silent: the entry starts these tasks elsewhere.
func TestTokenOfTheFutureConfirmsNothing(t *testing.T) {
	for name, ahead := range map[string]uint64{"an hour": 3_600_000, "beyond a duration": math.MaxUint64 / 2_000_000} {
		a, ref := newAgentWithOrder(&fakeBackend{})
		now := boottime.Now()
		a.startedAt = now.Add(-time.Minute)
		s, conn := openSession(t, a)
		receive(t, conn)
		order := &peerv1.RunOrder{Ref: &peerv1.RunRef{Task: "u.0.0.0", Run: 1}, Server: "i", Demand: &peerv1.Demand{Cpu: 1}}
		a.handleFrame(t.Context(), s, &peerv1.EntryFrame{Seq: 2, TokenMs: 60_000 + ahead, Orders: []*peerv1.RunOrder{order}})
		a.handleFrame(t.Context(), s, &peerv1.EntryFrame{Seq: 3, TokenMs: 60_000 + ahead}) // is answered in any case
		f := receive(t, conn)
		if n := len(f.GetEvents()); n != 1 || result.Code(f.GetEvents()[0].GetReason()) != result.StaleToken {
			t.Errorf("%s: events %v for an order", name, f.GetEvents())
		}
		a.mu.Lock()
		stops := a.table.Sweep(now.Add(a.Limits.OwnerSilence + time.Second))
		a.mu.Unlock()
		if len(stops) != 1 || stops[0] != ref {
			t.Errorf("%s: runs %v are stopped when their entry is silent, want %v", name, stops, ref)
		}
	}
}

// Guards against an agent that ends before its entries know of the end of their runs, because one has acknowledged a
// frame that was never sent.
func TestAcknowledgementOfUnsentFrameIsIgnored(t *testing.T) {
	a, ref := newAgentWithOrder(&fakeBackend{})
	s, conn := openSession(t, a)
	receive(t, conn)
	a.handleFrame(t.Context(), s, &peerv1.EntryFrame{Seq: 2, Ack: math.MaxUint64, Claims: []*peerv1.RunClaim{{Ref: link.RefToProto(ref), Demand: &peerv1.Demand{Cpu: 1}}}})
	a.mu.Lock()
	defer a.mu.Unlock()
	if !s.hasUnconfirmedEvents(boottime.Now()) {
		t.Error("the answer to the claim counts as received")
	}
}
