package jobs

import (
	"math/bits"

	"poplargw.example/dispatch/run"
)

// shape is a coarse description of what the tasks of a step require from a backend server: tasks of the
// same shape wait for the same capacity. CPU, memory and GPUs are grouped into power-of-two size
// classes.
type shape struct {
	service, label, affinity string
	cpu, memory, gpu         int
	perServer                int
}

// shapeOf returns the shape of the step's tasks.
func shapeOf(service string, s Step) shape {
	return shape{
		service: service, label: s.Label, affinity: s.Affinity, perServer: s.MaxPerServer,
		cpu: sizeClass(s.Demand.CPU), memory: sizeClass(s.Demand.MemoryMB), gpu: sizeClass(s.Demand.GPU),
	}
}

// sizeClass returns the power-of-two size class of an amount.
func sizeClass(amount int64) int { return bits.Len64(uint64(max(0, amount))) }

// pool identifies the backend servers of a service that a step may use, as far as admission
// distinguishes them.
type pool struct {
	label string
	gpu   bool
}

// pool returns the pool that tasks of the shape use.
func (h shape) pool() pool { return pool{label: h.label, gpu: h.gpu > 0} }

// wholeService reports whether the pool contains all backend servers of the service.
func (p pool) wholeService() bool { return p == pool{} }

// contains reports whether the pool includes a backend server with the given state.
func (p pool) contains(v *run.Server) bool {
	return v.HasLabel(p.label) && (!p.gpu || v.Capacity.GPU > 0)
}

// waitingShape returns the shape of the first runnable task that waits, or the zero shape.
func (j *job) waitingShape() shape {
	for _, t := range j.tasks {
		if t.state == taskWaiting && j.runnable(t) {
			return j.steps[t.step].shape
		}
	}
	return shape{}
}
