package jobs

import (
	"math/bits"

	"poplargw.example/dispatch/run"
)

// shape is what the tasks of a step ask of a backend server, coarsely: those of one shape wait for the same
// thing. Processor, memory and GPUs are in classes of a power of two.
type shape struct {
	service, label, affinity string
	cpu, memory, gpu         int
	perServer                int
}

func shapeOf(service string, s Step) shape {
	return shape{
		service: service, label: s.Label, affinity: s.Affinity, perServer: s.MaxPerServer,
		cpu: classOf(s.Demand.CPU), memory: classOf(s.Demand.MemoryMB), gpu: classOf(s.Demand.GPU),
	}
}

func classOf(amount int64) int { return bits.Len64(uint64(max(0, amount))) }

// pool is the set of backend servers of a service that a step may use, as far as admission tells them apart.
type pool struct {
	label string
	gpu   bool
}

func (h shape) pool() pool { return pool{label: h.label, gpu: h.gpu > 0} }

// plain tells whether the pool is the whole service.
func (p pool) plain() bool { return p == pool{} }

// has tells whether a backend server with the given state is in the pool.
func (p pool) has(v *run.Server) bool { return v.HasLabel(p.label) && (!p.gpu || v.Room.GPU > 0) }

// waitsFor is the shape of the first step of which tasks wait for a place.
func (j *job) waitsFor() shape {
	for _, t := range j.tasks {
		if t.state == waiting && j.runnable(t) {
			return j.steps[t.step].shape
		}
	}
	return shape{}
}
