package entry

import (
	"context"
	"testing"

	"poplargw.example/dispatch/result"
)

// TestDrainWaitsForRunningJobs guards against a drain that interrupts a running job or accepts new
// jobs.
func TestDrainWaitsForRunningJobs(t *testing.T) {
	tb := newTestbed(t)
	agent := newAgent("x")
	release := agent.holdResults()
	a, _, twoMembers := tb.startPair(agent)
	held := a.receiveAsync(newRequest(twoMembers, "a", 0, 12))
	eventually(t, "slots filled", func() bool { return agent.totalStarts() == 8 })
	drained := make(chan error, 1)
	go func() { drained <- a.Drain(context.Background()) }()
	eventually(t, "draining", func() bool { return a.draining.Load() && tb.clusters["a"].Table().GetVersion() == 3 })
	tb.clusters["b"].Adopt(nil, tb.clusters["a"].Table())
	wantFailure(t, <-a.receiveAsync(newRequest(twoMembers, "b", 0, 1)), result.Draining, result.NotRun)
	select {
	case err := <-drained:
		t.Fatalf("drain ended before the running job: %v", err)
	default:
	}
	release()
	wantResults(t, <-held, 12)
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
}

// TestDrainingEntryJoinsRunningJob guards against refusing the resend of a running job with the
// effect "not run".
func TestDrainingEntryJoinsRunningJob(t *testing.T) {
	tb := newTestbed(t)
	agent := newAgent("x")
	release := agent.holdResults()
	a, b, twoMembers := tb.startPair(agent)
	r := newRequest(twoMembers, "b", 0, 1)
	first := b.receiveAsync(r)
	eventually(t, "started", func() bool { return agent.totalStarts() == 1 })
	a.draining.Store(true)
	second := a.receiveAsync(r)
	eventually(t, "joined", func() bool { return a.openCalls.Load() == 1 && b.openCalls.Load() == 2 })
	release()
	wantResults(t, <-first, 1)
	wantResults(t, <-second, 1)
}
