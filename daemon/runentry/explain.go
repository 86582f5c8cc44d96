package runentry

import (
	"poplargw.example/daemon/boottime"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/result"
)

// Explain returns what would become of the job if a caller sent it now. It sends nothing.
func (e *Entry) Explain(j jobs.Job) jobs.Explanation {
	e.mu.Lock()
	defer e.mu.Unlock()
	explanation := e.scheduler.Explain(boottime.Now(), j)
	if explanation.Code == 0 && e.cpuShort() {
		explanation.Code = result.Overloaded
	}
	return explanation
}

// Interference returns the estimates of all pairs of kinds.
func (e *Entry) Interference() []jobs.ServiceInterference {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.scheduler.Interference()
}
