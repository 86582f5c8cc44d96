package runentry

import (
	"context"
	"testing"
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/boottime"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/run"
)

// Guards against a cancel that is answered "no such job" although no registrar could be asked, and against one that waits then.
func TestCancelWithoutRegistrarIsUnansweredAtOnce(t *testing.T) {
	e, _ := newTestEntry(t)
	began := time.Now()
	if result := e.Cancel(t.Context(), "1"); result != jobs.CancelUnanswered {
		t.Errorf("result %s without a registrar", result)
	}
	if passed := time.Since(began); passed > cancelAnswerLimit/2 {
		t.Errorf("answered after %s", passed)
	}
}

// newEntryWithRegistrar returns an entry with a link to the one registrar.
func newEntryWithRegistrar(t *testing.T) (*Entry, *agent) {
	e, a := newTestEntry(t)
	e.SetAgents([]Agent{{ID: a.id, Address: "127.0.0.1:1", Domain: "d"}})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.agents[a.id].conn = a.conn // SetAgents knows nothing of the link that newTestEntry opened
	e.scheduler.Report(boottime.Now(), a.id, jobs.Report{
		Server: run.Server{Instance: "i", Service: "svc", State: run.Ready, Capacity: run.Demand{CPU: 8000, MemoryMB: 1000}},
		Free:   run.Demand{CPU: 8000, MemoryMB: 1000}, RecordsOwners: true,
	})
	return e, e.agents[a.id]
}

// Guards against a cancel that is answered before its registrar has answered, by the answer to another one, or with a result that the answer
// does not support.
func TestCancelAwaitsItsAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		answer *peerv1.CancelAnswer
		want   jobs.CancelResult
	}{
		"passed on":       {&peerv1.CancelAnswer{Job: "1", PassedOn: true}, jobs.CancelDone},
		"no job":          {&peerv1.CancelAnswer{Job: "1", Recorded: true}, jobs.CancelNoJob},
		"recorded":        {&peerv1.CancelAnswer{Job: "1", Recorded: true, MayHave: true}, jobs.CancelDone},
		"not recorded":    {&peerv1.CancelAnswer{Job: "1", MayHave: true}, jobs.CancelUnanswered},
		"earlier version": {&peerv1.CancelAnswer{Job: "1"}, jobs.CancelNoJob},
	} {
		t.Run(name, func(t *testing.T) {
			e, a := newEntryWithRegistrar(t)
			pending, result := e.beginCancel("1")
			if pending == nil {
				t.Fatalf("result %s before the answer", result)
			}
			e.handleFrame(a, &peerv1.AgentFrame{Seq: 1, RecordsOwners: true, CancelAnswers: []*peerv1.CancelAnswer{{Job: "2", PassedOn: true}}})
			if len(pending.done) != 0 {
				t.Fatal("result by the answer to another cancel")
			}
			e.handleFrame(a, &peerv1.AgentFrame{Seq: 2, RecordsOwners: true, CancelAnswers: []*peerv1.CancelAnswer{c.answer}})
			if result := e.awaitCancel(t.Context(), pending); result != c.want {
				t.Errorf("result %s, want %s", result, c.want)
			}
			if len(e.cancels) != 0 {
				t.Errorf("%d cancels await answers", len(e.cancels))
			}
		})
	}
}

// Guards against a cancel that is kept for ever because its caller has left before the answer.
func TestCancelOfCallerThatLeaves(t *testing.T) {
	e, _ := newEntryWithRegistrar(t)
	ctx, leave := context.WithCancel(t.Context())
	leave()
	if result := e.Cancel(ctx, "1"); result != jobs.CancelUnanswered || len(e.cancels) != 0 {
		t.Errorf("result %s, %d cancels await answers", result, len(e.cancels))
	}
}

// Guards against a job that this entry has completed once, and whose cancel it answers without asking (review/10).
func TestCancelOfCompletedJobAsksRegistrars(t *testing.T) {
	e, _ := newEntryWithRegistrar(t)
	e.history.add(jobs.Outcome{Job: "1"}, boottime.Now())
	if pending, result := e.beginCancel("1"); pending == nil {
		t.Errorf("result %s without an answer", result)
	}
}
