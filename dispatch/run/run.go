// Package run holds the types that entries and agents share for tasks which run under leases.
package run

import (
	"fmt"
	"math"
	"slices"

	"poplargw.example/dispatch/result"
)

// Demand is what a task occupies on a backend server, or what a backend server has room for.
type Demand struct {
	// CPU is in thousandths of a core.
	CPU      int64
	MemoryMB int64
	GPU      int64
}

// Fits tells whether d can be placed in the given free room.
func (d Demand) Fits(free Demand) bool {
	return d.CPU <= free.CPU && d.MemoryMB <= free.MemoryMB && d.GPU <= free.GPU
}

// Times returns how many times d can be placed in the given free room.
func (d Demand) Times(free Demand) int {
	n := math.MaxInt32
	for _, part := range [][2]int64{{d.CPU, free.CPU}, {d.MemoryMB, free.MemoryMB}, {d.GPU, free.GPU}} {
		if part[0] > 0 {
			n = min(n, int(max(0, part[1])/part[0]))
		}
	}
	return n
}

// Plus returns the sum of two demands.
func (d Demand) Plus(o Demand) Demand {
	return Demand{d.CPU + o.CPU, d.MemoryMB + o.MemoryMB, d.GPU + o.GPU}
}

// Minus returns what is left of d after o is taken; fields may become negative.
func (d Demand) Minus(o Demand) Demand {
	return Demand{d.CPU - o.CPU, d.MemoryMB - o.MemoryMB, d.GPU - o.GPU}
}

// Ref names one run of one task. The runs of a task have rising numbers.
type Ref struct {
	Task string
	Run  uint64
}

// TaskName is the name of a task: the job's ID, the occurrence of a scheduled job (0 for others),
// the step and the index in the step.
func TaskName(job string, occurrence, step, index int) string {
	return fmt.Sprintf("%s.%d.%d.%d", job, occurrence, step, index)
}

// Kind is what has happened to a run.
type Kind int

// Kinds of events of a run.
const (
	// NotRun: it has not started and never will.
	NotRun Kind = iota + 1
	Running
	Done
	Failed
	// Stopped: it was stopped, its lease lapsed, or it vanished with its backend server.
	Stopped
)

// String returns the word used in logs.
func (k Kind) String() string {
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

// Event tells what has happened to a run.
type Event struct {
	Ref  Ref
	Kind Kind
	// Reason says why a run has not started or was lost; 0 if the kind says everything.
	Reason result.Code
	// Checkpoint is the newest saved state of the task; empty if there is none.
	Checkpoint string
}

// State is whether a backend server takes work.
type State int

// States of a backend server.
const (
	Absent State = iota
	Ready
	Draining
)

// Server is what a backend server says of itself.
type Server struct {
	// Instance names one life of the backend server.
	Instance string
	Service  string
	Domain   string
	State    State
	Room     Demand
	Labels   []string
}

// Equal tells whether both say the same.
func (s *Server) Equal(o *Server) bool {
	return s.Instance == o.Instance && s.Service == o.Service && s.Domain == o.Domain && s.State == o.State &&
		s.Room == o.Room && slices.Equal(s.Labels, o.Labels)
}

// HasLabel tells whether the server carries the label; every server carries the empty one.
func (s *Server) HasLabel(label string) bool {
	return label == "" || slices.Contains(s.Labels, label)
}
