package runagent

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
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

// leasedBackend keeps runs until its lease ends. Stop calls have no effect and no response.
type leasedBackend struct {
	mu      sync.Mutex
	started time.Time
	leaseMS int64
	running map[run.Ref]bool
	ended   []runtable.EndedRun
	lapsed  time.Time // when runs last lapsed
}

func (b *leasedBackend) clockMS() int64 { return 1000 + time.Since(b.started).Milliseconds() }

func (b *leasedBackend) Start(_ context.Context, s Start) (int64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running[s.Ref] = true
	b.leaseMS = max(b.leaseMS, s.ExpiryMS)
	return b.clockMS(), nil
}

func (b *leasedBackend) Stop(context.Context, run.Ref) error { return errors.New("call lost") }

func (b *leasedBackend) Poll(_ context.Context, r PollRequest) (runtable.Snapshot, error) {
	b.mu.Lock()
	b.expire()
	b.leaseMS = max(b.leaseMS, r.LeaseMS)
	b.mu.Unlock()
	time.Sleep(max(time.Millisecond, r.Wait))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire()
	s := runtable.Snapshot{Incarnation: 1, ClockMS: b.clockMS(), Ended: b.ended}
	for ref := range b.running {
		s.Running = append(s.Running, runtable.RunningRun{Ref: ref})
	}
	return s, nil
}

// expire ends all runs if the lease has passed.
func (b *leasedBackend) expire() {
	if b.clockMS() <= b.leaseMS || len(b.running) == 0 {
		return
	}
	for ref := range b.running {
		b.ended = append(b.ended, runtable.EndedRun{Number: int64(len(b.ended)) + 1, Ref: ref, Kind: run.Stopped})
	}
	clear(b.running)
	b.lapsed = b.started.Add(time.Duration(b.leaseMS-1000) * time.Millisecond)
}

// newTestSession returns a session of the agent whose frames nobody reads.
func newTestSession(t *testing.T, a *Agent, entry string) *session {
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	go func() {
		if _, err := io.Copy(io.Discard, far); err != nil {
			return // the test has ended
		}
	}()
	s := &session{entry: entry, conn: link.New(near)}
	a.addSession(s)
	return s
}

// A run of a silent entry must not continue while its stop calls are lost because other entries use the
// backend server: the silent entry starts the task elsewhere after 300 + 400 ms and margins.
func TestRunOfSilentEntryLapsesWhileStopsAreLost(t *testing.T) {
	limits := pollerLimits
	limits.OwnerSilence, limits.Lease, limits.RenewFor = 300*time.Millisecond, 400*time.Millisecond, 200*time.Millisecond
	b := &leasedBackend{started: time.Now(), running: map[run.Ref]bool{}}
	a := New(Options{Backend: b, Limits: limits, Log: event.New(&log.Logger{Handler: discard.New(), Level: log.FatalLevel})})
	a.Announce(run.Server{Instance: "i", Service: "svc", State: run.Ready, Capacity: run.Demand{CPU: 8000, MemoryMB: 1000}}, 1)
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	tasks.Go(func() { newPoller(a).run(ctx) })
	tasks.Go(func() { a.sweepLoop(ctx) })
	defer tasks.Wait()
	defer cancel()

	silent, active := newTestSession(t, a, "silent"), newTestSession(t, a, "active")
	frame := func(s *session, orders ...*peerv1.RunOrder) {
		token := uint64(boottime.Now().Sub(a.startedAt).Milliseconds())
		a.handleFrame(ctx, s, &peerv1.EntryFrame{TokenMs: token, Orders: orders})
	}
	order := func(task string) *peerv1.RunOrder {
		return &peerv1.RunOrder{Ref: link.RefToProto(run.Ref{Task: task, Run: 1}), Server: "i", Demand: link.DemandToProto(run.Demand{CPU: 1000})}
	}
	for limit := time.Now().Add(2 * time.Second); a.runCount() == 0 && time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		frame(silent, order("t.0.0.0"))
	}
	frame(silent)
	lastContact := time.Now()
	frame(active, order("u.0.0.0"))
	for time.Since(lastContact) < 1200*time.Millisecond {
		time.Sleep(20 * time.Millisecond)
		frame(active)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lapsed.IsZero() {
		t.Fatalf("%d runs continue 1.2 s after the last contact of the silent entry", len(b.running))
	}
	if took := b.lapsed.Sub(lastContact); took > limits.OwnerSilence+limits.Lease+10*time.Millisecond {
		t.Errorf("the lease ended %s after the last contact of the silent entry", took)
	}
}
