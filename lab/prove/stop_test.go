package prove

import (
	"testing"
	"time"
)

// TestGracefulStop guards against failed requests when an entry or an agent stops gracefully. The
// load uses only the other entries, as a load balancer does once an entry is not ready.
func TestGracefulStop(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 3, agents: 3, slots: 8})
	// Calls in flight at the entry that stops.
	var jobs []*job
	var outcomes []<-chan attempt
	for range 20 {
		j := newJob("quick", 6, 200, loadTimeout)
		jobs = append(jobs, j)
		outcomes = append(outcomes, j.sendAsync(s, 0))
	}
	l := s.startLoad(loadShape{entries: []int{1, 2}, interval: 20 * time.Millisecond, tasks: 3, ms: 50})
	s.eventually(readyTimeout, "tasks have started", func() bool { return len(s.starts()) >= 10 })
	if err := s.entries[0].terminate(readyTimeout); err != nil {
		t.Errorf("graceful stop of the entry: %v", err)
	}
	for i, c := range outcomes {
		if o := <-c; o.answer == nil {
			t.Errorf("call %d in flight at the stopped entry: %v", i, o)
		}
	}
	if err := s.agents[0].terminate(readyTimeout); err != nil {
		t.Errorf("graceful stop of the agent: %v", err)
	}
	time.Sleep(time.Second)
	loadJobs := l.stop()
	logResult(t, "entry and agent stopped gracefully under load: %v", countOutcomes(loadJobs))
	if c := countOutcomes(loadJobs); c.complete != len(loadJobs) {
		t.Errorf("not every job sent to the other entries completed: %v", c)
	}
	s.verify(append(jobs, loadJobs...)...)
}

// TestRefusedWhileDraining guards against a draining entry that accepts a new submission or
// interrupts the call in progress.
func TestRefusedWhileDraining(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 2, agents: 2, slots: 4})
	long := newJob("quick", 1, 3000, loadTimeout)
	first := long.sendAsync(s, 0)
	s.eventually(readyTimeout, "the task has started", func() bool { return len(s.starts()) == 1 })
	done := make(chan error, 1)
	go func() { done <- s.entries[0].terminate(readyTimeout) }()
	s.eventually(readyTimeout, "the entry is not ready", func() bool { return s.entries[0].GetStatus("/readyz") != 200 })
	late := newJob("quick", 1, 10, loadTimeout)
	if o := late.send(s, 0); o.connErr == nil && o.failure.GetCode() != 2004 {
		t.Errorf("submission to a draining entry: %v", o)
	}
	if o := <-first; o.answer == nil {
		t.Errorf("call in flight at the draining entry: %v", o)
	}
	if err := <-done; err != nil {
		t.Errorf("graceful stop of the entry: %v", err)
	}
	s.verify(long, late)
}
