package runagent

import (
	"context"
	"errors"
	"sync"
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

// scriptedBackend answers each call of Poll with the next step and repeats the last step.
type scriptedBackend struct {
	mu    sync.Mutex
	polls int
	steps []func(ctx context.Context, r PollRequest) (runtable.Snapshot, error)
}

func (s *scriptedBackend) Start(context.Context, Start) (int64, error) {
	return 0, errors.New("not used")
}

func (s *scriptedBackend) Stop(context.Context, run.Ref) error { return nil }

func (s *scriptedBackend) Poll(ctx context.Context, r PollRequest) (runtable.Snapshot, error) {
	s.mu.Lock()
	step := s.steps[min(s.polls, len(s.steps)-1)]
	s.polls++
	s.mu.Unlock()
	return step(ctx, r)
}

// waitForEmptySnapshot returns an empty snapshot after the requested wait.
func waitForEmptySnapshot(ctx context.Context, r PollRequest) (runtable.Snapshot, error) {
	select {
	case <-time.After(max(r.Wait, time.Millisecond)):
		return runtable.Snapshot{Incarnation: 1, ClockMS: time.Now().UnixMilli()}, nil
	case <-ctx.Done():
		return runtable.Snapshot{}, ctx.Err()
	}
}

// pollerLimits are the limits of an agent whose runs and lease outlast a test.
var pollerLimits = runtable.Limits{
	OrderExpiry: 150 * time.Millisecond, MinOrderExpiry: 60 * time.Millisecond, Lease: time.Second, RenewFor: time.Second,
	OwnerSilence: time.Second, ClaimWindow: time.Second, StopPatience: time.Second, EndRetention: 5 * time.Second, OfferHold: time.Millisecond,
}

// startPoller returns an agent whose poller runs until the test ends.
func startPoller(t *testing.T, s *scriptedBackend) *Agent {
	return startPollerWithLimits(t, s, pollerLimits)
}

func startPollerWithLimits(t *testing.T, s *scriptedBackend, limits runtable.Limits) *Agent {
	a := New(Options{Backend: s, Limits: limits, Log: event.New(&log.Logger{Handler: discard.New(), Level: log.ErrorLevel})})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		newPoller(a).run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return a
}

// A lost response must not hide ended runs and free capacity for the whole timeout of its poll. With one
// response in ten lost, agents saw nothing for 110 ms three times a second, and a third of the jobs in a
// burst were late.
func TestOverduePollIsFollowedByAnother(t *testing.T) {
	followed := make(chan bool, 1)
	first := make(chan context.Context, 1)
	s := &scriptedBackend{steps: []func(context.Context, PollRequest) (runtable.Snapshot, error){
		func(ctx context.Context, _ PollRequest) (runtable.Snapshot, error) {
			first <- ctx
			<-ctx.Done()
			return runtable.Snapshot{}, ctx.Err()
		},
		func(ctx context.Context, r PollRequest) (runtable.Snapshot, error) {
			followed <- (<-first).Err() == nil
			return waitForEmptySnapshot(ctx, r)
		},
		waitForEmptySnapshot,
	}}
	startPoller(t, s)
	select {
	case ok := <-followed:
		if !ok {
			t.Error("second poll started only after the first one timed out")
		}
	case <-time.After(5 * time.Second):
		t.Error("no second poll within 5 s")
	}
}

// Polls must not pile up at a backend server that does not respond.
func TestConcurrentPollsAreBounded(t *testing.T) {
	var mu sync.Mutex
	inFlight, maxInFlight, polls := 0, 0, 0
	s := &scriptedBackend{steps: []func(context.Context, PollRequest) (runtable.Snapshot, error){
		func(ctx context.Context, _ PollRequest) (runtable.Snapshot, error) {
			mu.Lock()
			inFlight++
			polls++
			maxInFlight = max(maxInFlight, inFlight)
			mu.Unlock()
			<-ctx.Done()
			mu.Lock()
			inFlight--
			mu.Unlock()
			return runtable.Snapshot{}, ctx.Err()
		},
	}}
	startPoller(t, s)
	limit := time.Now().Add(5 * time.Second)
	for {
		mu.Lock()
		n := polls
		mu.Unlock()
		if n > 3*MaxPolls || time.Now().After(limit) {
			break
		}
		time.Sleep(time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	if maxInFlight > MaxPolls || polls <= 3*MaxPolls {
		t.Errorf("%d polls, %d of them concurrently", polls, maxInFlight)
	}
}

// Polls that may not renew the lease must wait for ends like others: without a wait, an orphaned run whose
// stop calls are lost would make the agent poll continuously.
func TestPollWithoutRenewalWaitsForEnds(t *testing.T) {
	var polls, renewals atomic.Int64
	s := &scriptedBackend{steps: []func(context.Context, PollRequest) (runtable.Snapshot, error){
		func(ctx context.Context, r PollRequest) (runtable.Snapshot, error) {
			polls.Add(1)
			if r.LeaseMS > 0 {
				renewals.Add(1)
			}
			snapshot, err := waitForEmptySnapshot(ctx, r)
			snapshot.Running = []runtable.RunningRun{{Ref: run.Ref{Task: "t.0.0.0", Run: 1}}}
			return snapshot, err
		},
	}}
	limits := pollerLimits
	limits.Lease, limits.ClaimWindow = time.Millisecond, 0
	startPollerWithLimits(t, s, limits)
	time.Sleep(5 * busyPollWait)
	if n := polls.Load(); n < 2 || n > 15 {
		t.Errorf("%d polls within %s, want about 6", n, 5*busyPollWait)
	}
	if n := renewals.Load(); n > 2 {
		t.Errorf("%d polls renewed the lease of an unclaimed run", n)
	}
}

// A late response from a previous incarnation of the backend server must be ignored: the agent would
// mistake the current incarnation for a new one and consider its runs lost.
func TestResponseOfFormerIncarnationIsIgnored(t *testing.T) {
	p := newPoller(New(Options{Backend: &scriptedBackend{}, Log: event.New(&log.Logger{Handler: discard.New(), Level: log.ErrorLevel})}))
	p.handleResponse(pollCall{number: 2, snapshot: runtable.Snapshot{Incarnation: 20, ClockMS: 5}})
	p.agent.table.Announce(boottime.Now(), run.Server{Instance: "i", State: run.Ready}, 20)
	p.handleResponse(pollCall{number: 1, snapshot: runtable.Snapshot{Incarnation: 10, ClockMS: 900}})
	p.handleResponse(pollCall{number: 3, snapshot: runtable.Snapshot{Incarnation: 20, ClockMS: 10}})
	if s := p.agent.table.Server(boottime.Now()); s.Instance != "i" {
		t.Errorf("server %+v, want instance i", s)
	}
	if p.answeredIncarnation != 20 || p.answeredNumber != 3 {
		t.Errorf("incarnation %d as of poll %d, want 20 as of poll 3", p.answeredIncarnation, p.answeredNumber)
	}
}

// A run that the backend server lists after its end was inferred must be counted and stopped: nobody noticed
// two runs of one task.
func TestRunListedAfterItsEndIsReported(t *testing.T) {
	a, ref := newAgentWithOrder(&fakeBackend{})
	p := newPoller(a)
	a.deliver(a.table.Rejected(boottime.Now(), ref, result.NoFreeSlot))
	p.handleResponse(pollCall{number: 1, sentAt: boottime.Now(), snapshot: runtable.Snapshot{
		Incarnation: 1, ClockMS: 1000, Running: []runtable.RunningRun{{Ref: ref}},
	}})
	if n := a.counters.endedRunsListed.Get(); n != 1 {
		t.Errorf("%d runs counted", n)
	}
	if stops := a.table.Sweep(boottime.Now()); len(stops) != 1 || stops[0] != ref {
		t.Errorf("runs to stop: %v", stops)
	}
}
