package run

import "time"

// Crash describes the end of one process of a backend server that did not shut down gracefully, with the
// runs that it had. Any of them may have caused it.
type Crash struct {
	// Instance identifies the process; see Server.
	Instance string
	// Number tells two crashes of a process apart, of which the first one was only supposed.
	Number   uint64
	Suspects []Suspect
	// Starts is the number of runs per second that the process has started lately, by kind of request; nil if the
	// agent does not know it.
	Starts map[string]float64
}

// Suspect is a run that a backend server had, or may have had, when it crashed.
type Suspect struct {
	// Task is the name of the task, see TaskName.
	Task string
	// Kind is the kind of request that the job belongs to; empty if the agent does not know it.
	Kind string
	// Age is the time from the start of the run, or from its order if the start was not confirmed, to the
	// crash.
	Age time.Duration
}
