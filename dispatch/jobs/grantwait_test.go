package jobs

import (
	"fmt"
	"testing"
	"time"

	"poplargw.example/dispatch/owner"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// startable returns the jobs of an entry that wait for their grants and could start at once, with all jobs before them, if these
// came now, and still be useful.
func (p *powerLoss) startable(i int) []string {
	s := p.entries[i]
	var ids []string
	for _, j := range s.jobsByArrival() {
		isUseful := p.now.Add(j.criticalPath).Before(j.usefulUntil())
		if !j.mayOrder && isUseful && s.waitingCPU(j) <= s.idleShare(p.now, j) {
			ids = append(ids, j.ID)
		}
	}
	return ids
}

// Guards against jobs that are rejected while they wait for their grants after a loss of power, for a backlog that could start at once
// on idle capacity.
func TestJobsThatWaitForGrantsAreKept(t *testing.T) {
	skipWithRaceDetector(t)
	for seed, jobsPerSecond := range map[uint64]float64{1: 742, 2: 742, 3: 1500} {
		config := seventyFiveAgents
		config.listsRuns, config.jobsPerSecond = true, jobsPerSecond
		p := newPowerLoss(t, seed, config)
		p.checksRejections = true
		p.scheduleJobs(500 * time.Millisecond)
		p.run(2 * time.Second)
		t.Logf("%.0f jobs/s, seed %d: worth %.3f, %d rejected that could have started: %s", jobsPerSecond, seed, p.tally.worth(), p.rejectedWhileIdle, p.tally)
		if p.rejectedWhileIdle > 0 {
			t.Errorf("%.0f jobs/s, seed %d: %d jobs were rejected that waited for their grants while they could have started", jobsPerSecond, seed, p.rejectedWhileIdle)
		}
	}
}

// Guards against a job that is rejected while it waits for its grant, for the backlog of long jobs that wait for theirs, although
// the capacity for all of them is idle, and against one that is kept when its result cannot be useful any more.
func TestJobIsKeptForItsGrantWhileCapacityIsIdle(t *testing.T) {
	h := newHarness(t, 0, 0)
	h.SetRegistrars(h.now, []string{"a0", "a1"})
	report := func(agent string) {
		h.Report(h.now, agent, Report{Server: serverOf(agent, 2_128_000), Free: run.Demand{CPU: 2_128_000, MemoryMB: 1 << 20}, Entries: 14, RecordsOwners: true, Ack: h.seqs[agent]})
	}
	for _, agent := range h.registrars {
		h.AgentConnected(h.now, agent)
		report(agent)
	}
	queue := testQueue
	queue.Priority = 2
	for i := range 15 {
		if !h.submitTo(queue, fmt.Sprint("long", i), 4, 3500, 760*time.Millisecond) {
			t.Fatal("a long job was rejected")
		}
	}
	for _, id := range []string{"granted", "late"} {
		if !h.submit(id, 8, 3500, 51*time.Millisecond) {
			t.Fatalf("job %s was rejected", id)
		}
	}
	for range 15 {
		h.advance(20 * time.Millisecond)
	}
	if len(h.outcomes) > 0 {
		t.Fatalf("outcomes while all jobs could start: %+v", h.outcomes)
	}
	for _, r := range h.ownerships["granted"].requests {
		h.JobAnswered(h.now, r.agent, owner.Answer{Request: owner.Request{Job: "granted", Number: r.number}, Granted: true})
	}
	h.take()
	if h.placed() != 8 {
		t.Errorf("%d tasks placed after the grant", h.placed())
	}
	for range 8 {
		h.advance(20 * time.Millisecond)
	}
	if o := h.outcomes["late"]; o.Code != result.DeadlineUnmet || o.Effect != result.NotRun {
		t.Errorf("outcome %+v of a job whose result cannot be useful any more", o)
	}
}
