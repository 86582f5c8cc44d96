package runentry

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
	"poplargw.example/daemon/link"
	"poplargw.example/dispatch/jobs"
)

// newStartedEntry returns an entry with a link to one registrar that has started just now, and the other end of the link. The
// registrar says whether its runs are listed.
func newStartedEntry(t *testing.T, runsListed bool) (*Entry, *agent, *link.Conn) {
	t.Helper()
	e := New(Options{
		ID: "e", Limits: jobs.Limits{SilenceLimit: silenceLimit, LostAfter: 4 * silenceLimit, OwnerLostAfter: time.Minute, FormerRunsEnd: time.Minute, MaxWaitingTasks: 100},
		Log: event.New(&log.Logger{Handler: discard.New(), Level: log.ErrorLevel}), Metrics: metrics.NewSet(),
	})
	local, remote := net.Pipe()
	if err := remote.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	a := &agent{id: "a", listed: true}
	e.agents["a"] = a
	e.SetAgents([]Agent{{ID: "a", Address: "127.0.0.1:1", Domain: "d"}})
	a = e.agents["a"]
	e.openLink(a, link.New(local))
	far := link.New(remote)
	t.Cleanup(func() { a.conn.Close(); far.Close() })
	e.handleFrame(a, &peerv1.AgentFrame{
		Hello: &peerv1.LinkHello{Id: "a", Incarnation: "7"}, Seq: 1, ClockMs: 5, RecordsOwners: true, RunsListed: runsListed, Free: &peerv1.Demand{Cpu: 8000, MemoryMb: 1000},
		Server: &peerv1.RunServer{Instance: "i", Service: "svc", State: peerv1.RunServerState_RUN_SERVER_STATE_READY, Room: &peerv1.Demand{Cpu: 8000, MemoryMb: 1000}},
	})
	return e, a, far
}

// Guards against registrars that are not told which agents have listed their runs, and against entries that tell them so of an agent
// that has not said it, as an agent of an earlier build.
func TestRegistrarsAreToldOfListedAgents(t *testing.T) {
	for _, runsListed := range []bool{false, true} {
		e, a, far := newStartedEntry(t, runsListed)
		e.mu.Lock()
		e.sendHeartbeat(a)
		e.mu.Unlock()
		var f peerv1.EntryFrame
		for f.GetAck() == 0 { // the first frame is from before the report
			f.Reset()
			if err := far.Receive(&f); err != nil {
				t.Fatal(err)
			}
		}
		told := len(f.GetListedAgents()) == 1 && f.GetListedAgents()[0].GetId() == "a" && f.GetListedAgents()[0].GetIncarnation() == "7"
		if told != runsListed {
			t.Errorf("agent has listed its runs: %t, list %v", runsListed, f.GetListedAgents())
		}
	}
}

// Guards against waits that no metric shows: a job waits for the leases of former processes, and its caller leaves.
func TestRecordWaitsAreCounted(t *testing.T) {
	e, _, _ := newStartedEntry(t, false)
	if o, ok := e.admit(newTestJob(), make(chan jobs.Outcome, 1)); !ok {
		t.Fatalf("job rejected: %+v", o)
	}
	e.mu.Lock()
	e.scheduler.Tick(boottime.Now())
	e.scheduler.Abandon("1")
	e.reportRecordWaits()
	e.mu.Unlock()
	var out strings.Builder
	e.Metrics.WritePrometheus(&out)
	if !strings.Contains(out.String(), "poplargw_entry_record_wait_seconds_count{cause=") {
		t.Errorf("no wait in %s", out.String())
	}
}
