package runentry

import (
	"fmt"

	"poplargw.example/daemon/event"
)

// reportRecordWaits logs and counts the jobs that have waited because records of owners may have been lost, and wait no longer.
// The caller must hold e.mu.
func (e *Entry) reportRecordWaits() {
	waits := e.scheduler.TakeRecordWaits()
	if len(waits) == 0 {
		return
	}
	longest, causes, ended := waits[0], map[string]int{}, 0
	for _, w := range waits {
		e.counters.set.GetOrCreateHistogram(fmt.Sprintf("poplargw_entry_record_wait_seconds{cause=%q}", w.Cause)).Update(w.Waited.Seconds())
		causes[w.Cause]++
		if w.Waited > longest.Waited {
			longest = w
		}
		if !w.Begun {
			ended++
		}
	}
	e.Log.Info(event.RecordsAwaited, event.Fields{
		"jobs": len(waits), "not_begun": ended, "longest_ms": longest.Waited.Milliseconds(), "longest_for": longest.Cause, "causes": causes,
	})
}
