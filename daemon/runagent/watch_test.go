package runagent

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"poplargw.example/daemon/event"
	"poplargw.example/daemon/steady"
	"poplargw.example/dispatch/run"
	"poplargw.example/dispatch/runtable"
)

// script answers each look with the next function; the last one answers all further looks.
type script struct {
	mu    sync.Mutex
	looks int
	steps []func(ctx context.Context, r LookRequest) (runtable.Look, error)
}

func (s *script) Start(context.Context, Start) (int64, error) { return 0, errors.New("not used") }

func (s *script) Stop(context.Context, run.Ref) error { return nil }

func (s *script) Look(ctx context.Context, r LookRequest) (runtable.Look, error) {
	s.mu.Lock()
	step := s.steps[min(s.looks, len(s.steps)-1)]
	s.looks++
	s.mu.Unlock()
	return step(ctx, r)
}

// calm waits as asked and shows nothing.
func calm(ctx context.Context, r LookRequest) (runtable.Look, error) {
	select {
	case <-time.After(max(r.Wait, time.Millisecond)):
		return runtable.Look{Born: 1, ClockMS: time.Now().UnixMilli()}, nil
	case <-ctx.Done():
		return runtable.Look{}, ctx.Err()
	}
}

func watched(t *testing.T, s *script) *Agent {
	limits := runtable.Limits{
		OrderExpiry: 150 * time.Millisecond, LeastExpiry: 60 * time.Millisecond, Lease: time.Second, RenewFor: time.Second,
		OwnerSilence: time.Second, ClaimWindow: time.Second, EndRetention: 5 * time.Second, OfferHold: time.Millisecond,
	}
	a := New(Options{Backend: s, Limits: limits, Log: event.New(&log.Logger{Handler: discard.New(), Level: log.ErrorLevel})})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		newWatcher(a).run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return a
}

// Guards against ends of runs, and room, that stay hidden for the whole time-out of a look without an
// answer: on a day with one answer in ten lost, agents saw nothing for 110 ms three times a second, and a
// third of the jobs in a burst were late.
func TestOverdueLookIsFollowedByAnother(t *testing.T) {
	followed := make(chan bool, 1)
	first := make(chan context.Context, 1)
	s := &script{steps: []func(context.Context, LookRequest) (runtable.Look, error){
		func(ctx context.Context, _ LookRequest) (runtable.Look, error) {
			first <- ctx
			<-ctx.Done()
			return runtable.Look{}, ctx.Err()
		},
		func(ctx context.Context, r LookRequest) (runtable.Look, error) {
			followed <- (<-first).Err() == nil
			return calm(ctx, r)
		},
		calm,
	}}
	watched(t, s)
	select {
	case ok := <-followed:
		if !ok {
			t.Error("the second look began after the time-out of the first")
		}
	case <-time.After(5 * time.Second):
		t.Error("no second look")
	}
}

// Guards against looks that pile up at a backend server that answers none.
func TestLooksWithoutAnswerAreBounded(t *testing.T) {
	var mu sync.Mutex
	flying, most, looks := 0, 0, 0
	s := &script{steps: []func(context.Context, LookRequest) (runtable.Look, error){
		func(ctx context.Context, _ LookRequest) (runtable.Look, error) {
			mu.Lock()
			flying++
			looks++
			most = max(most, flying)
			mu.Unlock()
			<-ctx.Done()
			mu.Lock()
			flying--
			mu.Unlock()
			return runtable.Look{}, ctx.Err()
		},
	}}
	watched(t, s)
	limit := time.Now().Add(5 * time.Second)
	for {
		mu.Lock()
		n := looks
		mu.Unlock()
		if n > 3*MaxLooks || time.Now().After(limit) {
			break
		}
		time.Sleep(time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	if most > MaxLooks || looks <= 3*MaxLooks {
		t.Errorf("%d looks, %d of them at once", looks, most)
	}
}

// Guards against the answer of a former life of the backend server that arrives after one of the present
// life: the agent would take the present life for a new one and its runs for lost.
func TestAnswerOfAFormerLifeIsIgnored(t *testing.T) {
	w := newWatcher(New(Options{Backend: &script{}, Log: event.New(&log.Logger{Handler: discard.New(), Level: log.ErrorLevel})}))
	w.take(look{number: 2, seen: runtable.Look{Born: 20, ClockMS: 5}})
	w.agent.table.Announce(steady.Now(), run.Server{Instance: "i", State: run.Ready}, 20)
	w.take(look{number: 1, seen: runtable.Look{Born: 10, ClockMS: 900}})
	w.take(look{number: 3, seen: runtable.Look{Born: 20, ClockMS: 10}})
	if s := w.agent.table.Server(steady.Now()); s.Instance != "i" {
		t.Errorf("server %+v", s)
	}
	if w.born != 20 || w.answered != 3 {
		t.Errorf("life %d as of look %d", w.born, w.answered)
	}
}
