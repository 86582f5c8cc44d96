package runentry

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
)

// pauseCPU returns the processor time, in milliseconds, that the entry logs about a pause of a second during which
// compute runs.
func pauseCPU(t *testing.T, e *Entry, compute func()) int64 {
	t.Helper()
	h := memory.New()
	e.Log = event.New(&log.Logger{Handler: h, Level: log.InfoLevel})
	e.mu.Lock()
	defer e.mu.Unlock()
	now := boottime.Now()
	e.startTick(now)
	compute()
	e.dropJobsAfterPause(now.Add(time.Second))
	for _, entry := range h.Entries {
		ms, ok := entry.Fields["cpu_ms"].(int64)
		if entry.Fields["event"] == int(event.ProcessPaused) && ok {
			return ms
		}
	}
	t.Fatalf("no event %d with cpu_ms", event.ProcessPaused)
	return 0
}

// Guards against a log that does not tell a pause of the process from a long computation of its own, during which no
// caller was lost.
func TestPauseTellsOwnComputation(t *testing.T) {
	const computed = 200 * time.Millisecond
	e, _ := newTestEntry(t)
	if used := pauseCPU(t, e, func() {}); used > computed.Milliseconds()/2 {
		t.Errorf("%d ms of processor time in a pause", used)
	}
	used := pauseCPU(t, e, func() {
		for end := cpuTime() + computed; cpuTime() < end; {
		}
	})
	if used < computed.Milliseconds() {
		t.Errorf("%d ms of processor time, the process has used %s", used, computed)
	}
}
