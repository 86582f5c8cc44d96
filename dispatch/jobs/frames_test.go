package jobs

import (
	"testing"
	"time"

	"poplargw.example/dispatch/run"
)

// Guards against further messages for a job in the usual case, in which nothing is lost: the requests at two registrars, the orders to the
// agents, and the releases. The two tasks run on agents that are no registrars of the job.
func TestFramesOfJobWithoutLoss(t *testing.T) {
	f := newOwnerFleetWith(lostRecordLimits(), 1, 8)
	f.pass(3 * time.Second)
	e := f.entries[0]
	frames, messages := 0, 0
	take := func() {
		_, batches := e.Take()
		for _, b := range batches {
			frames++
			messages += len(b.Requests) + len(b.Orders) + len(b.Releases) + len(b.Stops) + len(b.Claims) + len(b.Owned) + len(b.Cancels)
			e.frames[b.Agent] = append(e.frames[b.Agent], sentFrame{b, f.now})
			for _, o := range b.Orders {
				e.running[o.Ref] = b.Agent
			}
		}
	}
	e.Submit(f.now, Job{
		ID: "j", Queue: testQueue, Arrived: f.now, Deadline: f.now.Add(time.Hour),
		Steps: []Step{{Count: 2, Demand: run.Demand{CPU: 1000, MemoryMB: 1}, Estimate: time.Second}},
	})
	take()
	for _, agent := range f.agents {
		f.deliverFrame(e, agent)
	}
	for _, agent := range f.agents {
		for len(e.answers[agent]) > 0 {
			a := e.answers[agent][0]
			e.answers[agent] = e.answers[agent][1:]
			e.JobAnswered(f.now, agent, a.Answer)
			take()
		}
	}
	if len(e.running) != 2 {
		t.Fatalf("%d runs after one round trip", len(e.running))
	}
	for ref, agent := range e.running {
		e.Event(f.now, agent, run.Event{Ref: ref, Kind: run.Done})
		take()
	}
	if _, held := e.ownerships["j"]; held {
		t.Error("the job is still owned after its end")
	}
	if frames != 6 || messages != 6 {
		t.Errorf("%d frames with %d messages, want 6 and 6", frames, messages)
	}
}
