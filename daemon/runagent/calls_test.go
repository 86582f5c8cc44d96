package runagent

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
	"poplargw.example/dispatch/runtable"
)

// fakeBackend leaves the first unanswered calls of Start without a response and returns err from the others.
type fakeBackend struct {
	unanswered int64
	err        error
	starts     atomic.Int64
}

func (b *fakeBackend) Start(ctx context.Context, _ Start) (int64, error) {
	if b.starts.Add(1) <= b.unanswered {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return 1000, b.err
}

func (b *fakeBackend) Stop(context.Context, run.Ref) error { return nil }

func (b *fakeBackend) Poll(context.Context, PollRequest) (runtable.Snapshot, error) {
	return runtable.Snapshot{}, nil
}

// newAgentWithOrder returns an agent that has accepted an order but has not sent it to the backend server.
func newAgentWithOrder(b *fakeBackend) (*Agent, run.Ref) {
	limits := runtable.Limits{
		OrderExpiry: 150 * time.Millisecond, MinOrderExpiry: 60 * time.Millisecond, Lease: time.Second, RenewFor: time.Second,
		OwnerSilence: time.Second, ClaimWindow: time.Second, StopPatience: time.Second, EndRetention: 5 * time.Second, OfferHold: time.Millisecond,
	}
	a := New(Options{Backend: b, Limits: limits, Log: event.New(&log.Logger{Handler: discard.New(), Level: log.ErrorLevel})})
	capacity := run.Demand{CPU: 8000, MemoryMB: 1000}
	a.table.Announce(boottime.Now(), run.Server{Instance: "i", Service: "svc", State: run.Ready, Capacity: capacity}, 1)
	a.table.ApplySnapshot(boottime.Now(), runtable.Snapshot{Incarnation: 1, ClockMS: 1})
	time.Sleep(limits.OrderExpiry + 10*time.Millisecond) // orders of a previous agent process have expired
	a.table.ApplySnapshot(boottime.Now(), runtable.Snapshot{Incarnation: 1, ClockMS: 1 + limits.OrderExpiry.Milliseconds() + 10})
	ref := run.Ref{Task: "t.0.0.0", Run: 1}
	a.table.Confirmed("e", boottime.Now())
	a.table.Order(boottime.Now(), runtable.Order{Ref: ref, Owner: "e", Demand: run.Demand{CPU: 1}, Instance: "i", Token: boottime.Now()})
	return a, ref
}

// An unanswered order must be sent again instead of waiting for its expiry. With three of ten orders
// unanswered, most jobs with eight tasks were late.
func TestUnansweredStartIsResent(t *testing.T) {
	b := &fakeBackend{unanswered: 2}
	a, ref := newAgentWithOrder(b)
	if a.table.Len() != 1 {
		t.Fatal("the order was refused")
	}
	go a.startRun(t.Context(), ref)
	limit := time.Now().Add(5 * time.Second)
	for b.starts.Load() < 3 && time.Now().Before(limit) {
		time.Sleep(time.Millisecond)
	}
	for time.Now().Before(limit) {
		a.mu.Lock()
		accepted := len(a.table.Progress(boottime.Now(), "e")) == 1
		a.mu.Unlock()
		if accepted {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("run not accepted although the third copy of the order was answered")
}

// A task must not run twice: when the second copy of an order is refused, the unanswered first copy may
// still have started the run.
func TestRefusalOfResentStartKeepsRun(t *testing.T) {
	a, ref := newAgentWithOrder(&fakeBackend{unanswered: 1, err: &Refused{Code: result.StartTooLate, Reason: "late"}})
	a.startRun(t.Context(), ref)
	if a.table.Len() != 1 {
		t.Error("run given up although the first copy of the order was unanswered")
	}
	a, ref = newAgentWithOrder(&fakeBackend{err: &Refused{Code: result.NoFreeSlot, Reason: "room"}})
	a.startRun(t.Context(), ref)
	if a.table.Len() != 0 {
		t.Error("run not given up after the only copy of the order was refused")
	}
}

// An order must be sent again as soon as its connection breaks; its task otherwise waits for the expiry of
// the order.
func TestStartIsResentAfterBrokenConnection(t *testing.T) {
	responses := make(chan startResponse, maxStartAttempts)
	sent := 1
	responses <- startResponse{err: errors.New("connection reset by peer")}
	v := awaitStart(responses, time.Hour, func() bool {
		sent++
		responses <- startResponse{clockMS: 7}
		return true
	})
	if v.err != nil || v.clockMS != 7 || sent != 2 {
		t.Errorf("%d copies sent, response %+v", sent, v)
	}
}

// Guards against a run that is reported as not run because a copy of its order was refused for lack of the
// capacity that the run itself uses: its task would be started a second time elsewhere.
func TestCopyRefusedForCapacityDoesNotEndRun(t *testing.T) {
	b := &fakeBackend{unanswered: 1, err: &Refused{Code: result.NoFreeSlot, Reason: "room"}}
	a, ref := newAgentWithOrder(b)
	a.startRun(t.Context(), ref)
	if n := b.starts.Load(); n < 2 {
		t.Fatalf("%d copies of the order sent", n)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if free := a.table.Free(); a.table.Len() != 1 || free.CPU != 7999 {
		t.Fatalf("%d runs, %d CPU free: the capacity of the run is not counted", a.table.Len(), free.CPU)
	}
	now := boottime.Now()
	events := a.table.ApplySnapshot(now, runtable.Snapshot{
		Incarnation: 1, ClockMS: 10_000, Running: []runtable.RunningRun{{Ref: ref}},
	})
	if len(events) != 0 || len(a.table.Progress(now, "e")) != 1 {
		t.Errorf("events %+v after a snapshot with the run", events)
	}
	if events := a.table.Rejected(now, ref, result.NoFreeSlot); len(events) != 0 {
		t.Errorf("refusal of a copy ends the run that a snapshot shows: %+v", events)
	}
}

// A copy of an order must not be sent to a new incarnation of the backend server: its expiry is a time on
// another clock, and the task may already run elsewhere.
func TestCopiesAreNotSentToNewIncarnation(t *testing.T) {
	b := &fakeBackend{unanswered: maxStartAttempts}
	a, ref := newAgentWithOrder(b)
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.startRun(t.Context(), ref)
	}()
	for b.starts.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	a.Announce(run.Server{Instance: "j", Service: "svc", State: run.Ready}, 2)
	sent := b.starts.Load()
	<-done
	if n := b.starts.Load(); n != sent {
		t.Errorf("%d copies sent after the new incarnation became known", n-sent)
	}
}

// A backend server that refuses connections must be absent: an idle one that had crashed went on to attract
// orders, eleven within 40 ms from one entry.
func TestServerIsAbsentAfterUnsentStart(t *testing.T) {
	a, ref := newAgentWithOrder(&fakeBackend{err: ErrNotSent})
	a.startRun(t.Context(), ref)
	if s := a.table.Server(boottime.Now()); s.State != run.Absent || a.table.Len() != 0 {
		t.Errorf("state %d with %d runs after a start could not be sent", s.State, a.table.Len())
	}
	a.table.ApplySnapshot(boottime.Now(), runtable.Snapshot{Requested: boottime.Now(), Incarnation: 1, ClockMS: 1000})
	if s := a.table.Server(boottime.Now()); s.State != run.Ready {
		t.Errorf("state %d after a snapshot", s.State)
	}
}
