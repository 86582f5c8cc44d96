package runagent

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"poplargw.example/daemon/event"
	"poplargw.example/daemon/steady"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
	"poplargw.example/dispatch/runtable"
)

// backend leaves the first starts unanswered and answers the next with an error or none.
type backend struct {
	unanswered int64
	then       error
	starts     atomic.Int64
}

func (b *backend) Start(ctx context.Context, _ Start) (int64, error) {
	if b.starts.Add(1) <= b.unanswered {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return 1000, b.then
}

func (b *backend) Stop(context.Context, run.Ref) error { return nil }

func (b *backend) Look(context.Context, LookRequest) (runtable.Look, error) {
	return runtable.Look{}, nil
}

// ordered returns an agent that is about to start a run.
func ordered(b *backend) (*Agent, run.Ref) {
	limits := runtable.Limits{
		OrderExpiry: 150 * time.Millisecond, LeastExpiry: 60 * time.Millisecond, Lease: time.Second, RenewFor: time.Second,
		OwnerSilence: time.Second, ClaimWindow: time.Second, EndRetention: 5 * time.Second, OfferHold: time.Millisecond,
	}
	a := New(Options{Backend: b, Limits: limits, Log: event.New(&log.Logger{Handler: discard.New(), Level: log.ErrorLevel})})
	room := run.Demand{CPU: 8000, MemoryMB: 1000}
	a.table.Announce(steady.Now(), run.Server{Instance: "i", Service: "svc", State: run.Ready, Room: room}, 1)
	a.table.Looked(steady.Now(), runtable.Look{Born: 1, ClockMS: 1})
	time.Sleep(limits.OrderExpiry + 10*time.Millisecond) // orders of a former life have expired
	ref := run.Ref{Task: "t.0.0.0", Run: 1}
	a.table.Heard("e", steady.Now())
	a.table.Order(steady.Now(), runtable.Order{Ref: ref, Owner: "e", Demand: run.Demand{CPU: 1}, Instance: "i", Token: steady.Now()})
	return a, ref
}

// Guards against tasks that wait for the expiry of an order that was left unanswered: at three in ten most
// jobs with eight tasks were late.
func TestUnansweredOrderIsSentAgain(t *testing.T) {
	b := &backend{unanswered: 2}
	a, ref := ordered(b)
	if a.table.Len() != 1 {
		t.Fatal("the order was refused")
	}
	go a.start(t.Context(), ref)
	limit := time.Now().Add(5 * time.Second)
	for b.starts.Load() < 3 && time.Now().Before(limit) {
		time.Sleep(time.Millisecond)
	}
	for time.Now().Before(limit) {
		a.mu.Lock()
		accepted := len(a.table.Progress(steady.Now(), "e")) == 1
		a.mu.Unlock()
		if accepted {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("the third copy was answered and the run does not count as accepted")
}

// Guards against a task that runs twice: a refusal of the second copy says nothing of the first, which
// may have started the run.
func TestRefusalOfACopyIsNoProof(t *testing.T) {
	a, ref := ordered(&backend{unanswered: 1, then: &Refused{Code: result.StartTooLate, Reason: "late"}})
	a.start(t.Context(), ref)
	if a.table.Len() != 1 {
		t.Error("the run was given up although the first copy had no answer")
	}
	a, ref = ordered(&backend{then: &Refused{Code: result.NoFreeSlot, Reason: "room"}})
	a.start(t.Context(), ref)
	if a.table.Len() != 0 {
		t.Error("the refusal of the only copy was not taken")
	}
}

// Guards against an order whose connection breaks and that nobody sends again: its task waited for the
// expiry of the order.
func TestOrderOnABrokenConnectionIsSentAgain(t *testing.T) {
	answers := make(chan startAnswer, maxCopies)
	sent := 1
	answers <- startAnswer{err: errors.New("connection reset by peer")}
	v := awaitStart(answers, time.Hour, func() {
		sent++
		answers <- startAnswer{clock: 7}
	})
	if v.err != nil || v.clock != 7 || sent != 2 {
		t.Errorf("%d copies, answer %+v", sent, v)
	}
}
