// Package run holds the types that entries and agents share for runs: attempts to run a task on a backend
// server, each under a lease.
package run

import (
	"fmt"
	"math"
	"slices"

	"poplargw.example/dispatch/result"
)

// Demand is an amount of resources: what a task occupies on a backend server, or what a backend server has.
type Demand struct {
	// CPU is in millicores.
	CPU      int64
	MemoryMB int64
	// GPU is a number of GPUs.
	GPU int64
}

// MaxAmount bounds each amount of a Demand that a caller, a peer or a backend server names: a million cores, or
// a petabyte of memory. The sum of nine thousand million such amounts does not overflow an int64.
const MaxAmount = 1_000_000_000

// Valid reports whether each amount is from 0 to MaxAmount. A negative demand would free capacity that does not
// exist.
func (d Demand) Valid() bool {
	return validAmount(d.CPU) && validAmount(d.MemoryMB) && validAmount(d.GPU)
}

// Clamp returns d with each amount moved into the range from 0 to MaxAmount.
func (d Demand) Clamp() Demand {
	return Demand{clampAmount(d.CPU), clampAmount(d.MemoryMB), clampAmount(d.GPU)}
}

func clampAmount(amount int64) int64 { return min(MaxAmount, max(0, amount)) }

func validAmount(amount int64) bool { return amount >= 0 && amount <= MaxAmount }

// Fits reports whether the free resources suffice for d.
func (d Demand) Fits(free Demand) bool {
	return d.CPU <= free.CPU && d.MemoryMB <= free.MemoryMB && d.GPU <= free.GPU
}

// Count returns how many times d fits into the free resources; math.MaxInt32 if d is zero.
func (d Demand) Count(free Demand) int {
	n := math.MaxInt32
	for _, resource := range [][2]int64{{d.CPU, free.CPU}, {d.MemoryMB, free.MemoryMB}, {d.GPU, free.GPU}} {
		if resource[0] > 0 {
			n = min(n, int(max(0, resource[1])/resource[0]))
		}
	}
	return n
}

// Add returns d plus o.
func (d Demand) Add(o Demand) Demand {
	return Demand{d.CPU + o.CPU, d.MemoryMB + o.MemoryMB, d.GPU + o.GPU}
}

// Sub returns d minus o. Fields of the result can be negative.
func (d Demand) Sub(o Demand) Demand {
	return Demand{d.CPU - o.CPU, d.MemoryMB - o.MemoryMB, d.GPU - o.GPU}
}

// Max returns the larger amount of each resource of d and o.
func (d Demand) Max(o Demand) Demand {
	return Demand{max(d.CPU, o.CPU), max(d.MemoryMB, o.MemoryMB), max(d.GPU, o.GPU)}
}

// Ref identifies one run of one task.
type Ref struct {
	// Task is the name of the task, see TaskName.
	Task string
	// Run is the number of the run. Later runs of a task have higher numbers.
	Run uint64
}

// TaskName returns the name of a task: the job's ID, the occurrence of a scheduled job (0 for other jobs),
// the step and the index in the step, separated by dots.
func TaskName(job string, occurrence, step, index int) string {
	return fmt.Sprintf("%s.%d.%d.%d", job, occurrence, step, index)
}

// EventKind is the kind of an Event.
type EventKind int

// Kinds of events.
const (
	// NotRun means that the run has not started and never will.
	NotRun EventKind = iota + 1
	// Running means that the run has started.
	Running
	// Done means that the run has ended without an error.
	Done
	// Failed means that the run has ended with an error.
	Failed
	// Stopped means that the run was stopped, that its lease expired, or that its backend server was lost.
	Stopped
)

// Ends reports whether an event of the kind is the last one of its run.
func (k EventKind) Ends() bool { return k == NotRun || k == Done || k == Failed || k == Stopped }

// String returns the name that logs show; "unknown" for other values.
func (k EventKind) String() string {
	switch k {
	case NotRun:
		return "not run"
	case Running:
		return "running"
	case Done:
		return "done"
	case Failed:
		return "failed"
	case Stopped:
		return "stopped"
	}
	return "unknown"
}

// Event reports the start, the end or the refusal of a run.
type Event struct {
	Ref  Ref
	Kind EventKind
	// Reason says why the run has not started or was lost; 0 if there is nothing to add to the kind.
	Reason result.Code
	// Checkpoint identifies the newest saved state of the task; empty if there is none.
	Checkpoint string
	// Beside is the mean usage of other runs on the backend server while the run was in progress; empty if not known. If
	// it is known, it has an element for the run's own kind, which may be 0.
	Beside []KindUsage
}

// KindUsage is the capacity of a backend server that runs of one kind of request use.
type KindUsage struct {
	// Kind is the name of the queue.
	Kind string
	// Permille is in thousandths of the CPU capacity, from 0 to 1000.
	Permille int
}

// ServerState says whether a backend server takes runs.
type ServerState int

// States of a backend server.
const (
	// Absent means that the backend server is not known to run, or that its agent refuses all orders.
	Absent ServerState = iota
	// Ready means that it takes runs.
	Ready
	// Draining means that it takes no new runs.
	Draining
)

// Server is a backend server as it announces itself, with its current state.
type Server struct {
	// Instance identifies one process of the backend server.
	Instance string
	Service  string
	// Domain is the failure domain.
	Domain string
	State  ServerState
	// Capacity is the total capacity for runs.
	Capacity Demand
	Labels   []string
}

// Equal reports whether all fields are equal, including the order of the labels.
func (s *Server) Equal(o *Server) bool {
	return s.Instance == o.Instance && s.Service == o.Service && s.Domain == o.Domain && s.State == o.State &&
		s.Capacity == o.Capacity && slices.Equal(s.Labels, o.Labels)
}

// HasLabel reports whether the server has the label. Every server has the empty label.
func (s *Server) HasLabel(label string) bool {
	return label == "" || slices.Contains(s.Labels, label)
}
