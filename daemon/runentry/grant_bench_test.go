package runentry

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
	"poplargw.example/daemon/runagent"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
	"poplargw.example/dispatch/runtable"
)

// endlessBackend is a backend server whose runs go on until they are stopped.
type endlessBackend struct {
	mu      sync.Mutex
	running []run.Ref
	started chan struct{}
}

func (b *endlessBackend) Start(_ context.Context, s runagent.Start) (int64, error) {
	b.mu.Lock()
	b.running = append(b.running, s.Ref)
	b.mu.Unlock()
	b.started <- struct{}{}
	return time.Now().UnixMilli(), nil
}

func (b *endlessBackend) Stop(_ context.Context, ref run.Ref) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running = slices.DeleteFunc(b.running, func(r run.Ref) bool { return r == ref })
	return nil
}

func (b *endlessBackend) Poll(ctx context.Context, _ runagent.PollRequest) (runtable.Snapshot, error) {
	boottime.Sleep(ctx, 5*time.Millisecond)
	b.mu.Lock()
	defer b.mu.Unlock()
	s := runtable.Snapshot{Incarnation: 1, ClockMS: time.Now().UnixMilli()}
	for _, ref := range b.running {
		s.Running = append(s.Running, runtable.RunningRun{Ref: ref, Percent: runtable.UnknownPercent})
	}
	return s, nil
}

// startBenchAgent runs an agent with an idle backend server until the benchmark ends, and returns it as an entry lists it.
func startBenchAgent(b *testing.B, name string, started chan struct{}) Agent {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	a := runagent.New(runagent.Options{
		ID: name, Incarnation: "1", Backend: &endlessBackend{started: started}, OwnerLostAfter: time.Second,
		Limits: runtable.Limits{
			OrderExpiry: 150 * time.Millisecond, MinOrderExpiry: 60 * time.Millisecond, Lease: time.Second, MaxLease: time.Second, RenewFor: time.Second,
			OwnerSilence: time.Second, ClaimWindow: time.Second, StopPatience: time.Second, EndRetention: 5 * time.Second, OfferHold: time.Millisecond,
		},
		Log: event.New(&log.Logger{Handler: discard.New(), Level: log.ErrorLevel}),
	})
	a.Announce(run.Server{Instance: "i-" + name, Service: "svc", State: run.Ready, Capacity: run.Demand{CPU: 8000, MemoryMB: 1000}}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx, l) }()
	b.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			b.Error(err)
		}
	})
	return Agent{ID: name, Address: l.Addr().String(), Domain: "d"}
}

// startBenchEntry runs an entry with links to four agents until the benchmark ends.
func startBenchEntry(b *testing.B, started chan struct{}) *Entry {
	b.Helper()
	var agents []Agent
	for i := range 4 {
		agents = append(agents, startBenchAgent(b, fmt.Sprintf("a%d", i), started))
	}
	e := New(Options{
		ID: "e", Limits: jobs.Limits{SilenceLimit: silenceLimit, LostAfter: 4 * silenceLimit, MaxWaitingTasks: 100},
		Log: event.New(&log.Logger{Handler: discard.New(), Level: log.ErrorLevel}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			b.Error(err)
		}
	})
	e.SetAgents(agents)
	return e
}

// awaitEntry waits until a condition on the entry holds.
func awaitEntry(b *testing.B, e *Entry, what string, holds func() bool) {
	b.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		e.mu.Lock()
		ok := holds()
		e.mu.Unlock()
		if ok {
			return
		}
	}
	b.Fatal("waited in vain: ", what)
}

// BenchmarkFirstOrderOfLoneJob measures the wait of a lone job for its ownership: the time from its admission to its first
// order, over links on the loopback, with and without agents that record owners.
func BenchmarkFirstOrderOfLoneJob(b *testing.B) {
	for _, registrars := range []bool{true, false} {
		b.Run(fmt.Sprintf("registrars=%t", registrars), func(b *testing.B) {
			started := make(chan struct{}, 16)
			e := startBenchEntry(b, started)
			awaitEntry(b, e, "links", func() bool { return e.scheduler.Servers() == 4 })
			boottime.Sleep(context.Background(), restoreWindowOfAgents)
			if !registrars {
				e.mu.Lock()
				e.scheduler.SetRegistrars(boottime.Now(), nil)
				e.mu.Unlock()
			}
			var waits []time.Duration
			for i := 0; b.Loop(); i++ {
				waits = append(waits, waitForFirstOrder(b, e, fmt.Sprintf("%016x", i), started))
			}
			slices.Sort(waits)
			b.ReportMetric(waits[len(waits)/2].Seconds()*1e6, "median-us")
			b.ReportMetric(waits[len(waits)*9/10].Seconds()*1e6, "p90-us")
			b.ReportMetric(waits[len(waits)*99/100].Seconds()*1e6, "p99-us")
		})
	}
}

// restoreWindowOfAgents is longer than the time for which a new agent grants no ownership.
const restoreWindowOfAgents = 500 * time.Millisecond

// waitForFirstOrder returns the time from the admission of a job to its first order, and ends the job.
func waitForFirstOrder(b *testing.B, e *Entry, id string, started chan struct{}) time.Duration {
	b.Helper()
	j, done := newTestJob(), make(chan jobs.Outcome, 1)
	j.ID = id
	if o, ok := e.admit(j, done); !ok {
		b.Fatalf("job rejected: %+v", o)
	}
	select {
	case <-started:
	case <-time.After(20 * time.Second):
		b.Fatal("the job does not start")
	}
	e.mu.Lock()
	e.scheduler.GiveUp(id, result.DeadlineExceeded) // not by a cancel, which the registrars record
	e.flush()
	e.mu.Unlock()
	o := <-done
	awaitEntry(b, e, "the end of the run", func() bool { _, runs := e.scheduler.Tasks(); return runs == 0 })
	return o.Started.Sub(j.Arrived)
}
