package prove

import (
	"encoding/json"
	"testing"
	"time"

	"poplargw.example/daemon/sample"
	"poplargw.example/lab/testbed"
)

// peerLinks returns the forwarders in front of the peer ports of all entries and agents.
func (s *system) peerLinks() []*testbed.Forwarder {
	var all []*testbed.Forwarder
	for _, f := range s.peerForwarders {
		all = append(all, f)
	}
	return all
}

// TestSilentConnections guards against calls that hang, duplicate starts and answers of other calls
// when open connections permanently stop carrying data while new ones work, and against a system that
// does not complete jobs afterwards.
func TestSilentConnections(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 3, agents: 3, slots: 8})
	l := s.startLoad(loadShape{entries: []int{0, 1, 2}, interval: 25 * time.Millisecond, tasks: 4, ms: 80})
	silenced := 0
	for range 3 {
		time.Sleep(1500 * time.Millisecond)
		for _, f := range s.peerLinks() {
			for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
				silenced += f.SilenceOpen(p.IP)
			}
		}
	}
	time.Sleep(5 * time.Second)
	jobs := l.stop()
	logResult(t, "%d open connections silenced: %v", silenced, countOutcomes(jobs))
	if silenced == 0 {
		t.Error("no connection was silenced")
	}
	s.verify(jobs...)
	late := newJob("quick", 6, 20, loadTimeout)
	if o := late.send(s, 0); o.answer == nil {
		t.Errorf("job sent after the connections were silenced: %v", o)
	}
}

// TestAnswersOutOfOrder guards against an answer that reaches the wrong call when replies arrive
// out of order because links have different delays.
func TestAnswersOutOfOrder(t *testing.T) {
	s := newSystem(t, layout{entries: 2, agents: 3, slots: 16})
	for i, e := range s.entries {
		for k, a := range s.agents {
			s.peerForwarders[a.Name].SetDelay(e.IP, time.Duration(i*7+k*11)*time.Millisecond)
		}
	}
	var jobs []*job
	var outcomes []<-chan attempt
	for i := range 40 {
		j := newJob("quick", 5, 0, loadTimeout)
		for k, task := range j.request.Tasks {
			// Earlier tasks take longer, so that results arrive in reverse order.
			task.Payload, _ = json.Marshal(sample.Work{MS: (5 - k) * 15, Echo: j.id.String()})
		}
		jobs = append(jobs, j)
		outcomes = append(outcomes, j.sendAsync(s, i%2))
	}
	for i, c := range outcomes {
		if o := <-c; o.answer == nil {
			t.Errorf("job %d: %v", i, o)
		}
	}
	s.verify(jobs...)
}

// TestEntryRestartOnSamePort guards against answers of an earlier incarnation that reach the
// callers of an entry restarted on the same address.
func TestEntryRestartOnSamePort(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 3, agents: 3, slots: 8})
	l := s.startLoad(loadShape{entries: []int{0, 1, 2}, interval: 25 * time.Millisecond, tasks: 4, ms: 100, resend: true})
	for range 3 {
		time.Sleep(time.Second)
		s.entries[0].kill()
		s.entries[0].start()
	}
	time.Sleep(6 * time.Second)
	jobs := l.stop()
	logResult(t, "entry killed and restarted three times: %v", countOutcomes(jobs))
	s.verify(jobs...)
}
