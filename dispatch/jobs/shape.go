package jobs

import "math/bits"

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
	label    string
	gpu      bool
	confined bool // the pool is the bulkhead of the service instead of the rest
}

// pool returns the pool that tasks of the shape use.
func (h shape) pool() pool { return pool{label: h.label, gpu: h.gpu > 0} }

// wholeService reports whether the pool contains all backend servers of the service, or of its bulkhead.
func (p pool) wholeService() bool { return p.label == "" && !p.gpu }

// contains reports whether the pool includes the backend server.
func (p pool) contains(v *server) bool {
	return v.inBulkhead == p.confined && v.state.HasLabel(p.label) && (!p.gpu || v.state.Capacity.GPU > 0)
}

// poolOf returns the pool that the job's next waiting task uses.
func (s *Scheduler) poolOf(j *job) pool {
	p := j.waitingShape().pool()
	p.confined = s.confined(j)
	return p
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
