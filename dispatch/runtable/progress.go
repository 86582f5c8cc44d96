package runtable

import (
	"time"

	"poplargw.example/dispatch/run"
)

// Progress is the completed part of a run, in percent, and the time since the run started.
type Progress struct {
	Ref     run.Ref
	Percent int
	Age     time.Duration
}

// Progress returns the progress of the owner's runs.
func (t *Table) Progress(now time.Time, owner string) []Progress {
	var all []Progress
	for ref, r := range t.runs {
		if r.owner == owner && r.accepted {
			all = append(all, Progress{Ref: ref, Percent: r.percent, Age: now.Sub(r.runningSince)})
		}
	}
	return all
}
