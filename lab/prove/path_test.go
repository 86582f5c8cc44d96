package prove

import (
	"testing"
	"time"
)

// TestJobsThroughEveryEntry guards against a fault anywhere on the path of a job through separate
// processes: without injected faults, every job sent to either entry must complete.
func TestJobsThroughEveryEntry(t *testing.T) {
	s := newSystem(t, layout{entries: 2, agents: 3, slots: 4})
	var jobs []*job
	var outcomes []<-chan attempt
	for i := range 20 {
		j := newJob("quick", 1+i, 20, 10*time.Second)
		jobs = append(jobs, j)
		outcomes = append(outcomes, j.sendAsync(s, i%2))
	}
	for i, c := range outcomes {
		o := <-c
		t.Logf("job %d: %v", i, o)
		if o.answer == nil {
			t.Errorf("job %d: %v", i, o)
		}
	}
	s.verify(jobs...)
}
