package jobs

import (
	"sort"
	"time"

	"poplargw.example/dispatch/estimate"
	"poplargw.example/dispatch/health"
	"poplargw.example/dispatch/run"
)

// unit is the declared run time to which observed run times are scaled, so that tasks of different
// length tell the speed of a backend server together.
const unit = time.Second

// server is what the entry knows of one agent and its backend server.
type server struct {
	agent string
	state run.Server
	free  run.Demand
	live  bool
	heard time.Time // newest message of the agent
	seq   uint64    // newest frame to the agent
	runs  map[run.Ref]*attempt
	// unacked are orders in frames that the agent's report does not include yet.
	unacked []*attempt
	health  *health.Server
	cell    *estimate.Cell
	// lag is how many times slower than learned the backend server runs at the moment.
	lag        float64
	batch      Batch
	reported   bool
	entries    int
	lastOrder  time.Time
	probes     int // orders in a row while it was too slow
	unanswered int // orders in a row without an answer
	// pausedUntil is until when the agent gets no orders because it refused one.
	pausedUntil time.Time
}

// room is the free room less the orders that the agent has not counted yet.
func (v *server) room() run.Demand {
	free := v.free
	for _, a := range v.unacked {
		free = free.Minus(a.demand)
	}
	return free
}

// ack drops the orders that are part of the agent's report.
func (v *server) ack(seq uint64) {
	kept := v.unacked[:0]
	for _, a := range v.unacked {
		if a.seq > seq {
			kept = append(kept, a)
		}
	}
	clear(v.unacked[len(kept):])
	v.unacked = kept
}

// slowness is the expected run time of a task relative to its estimate.
func (v *server) slowness() float64 {
	return float64(v.cell.Expected(unit)) / float64(unit) * v.lag
}

// takes tells whether the backend server may get orders at all.
func (v *server) takes(out map[string]bool) bool {
	return v.live && v.reported && v.state.State == run.Ready && !out[v.state.Domain]
}

// inOrder returns the runs in the order of their orders.
func (v *server) inOrder() []*attempt {
	list := make([]*attempt, 0, len(v.runs))
	for _, a := range v.runs {
		list = append(list, a)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].earlier(list[j]) })
	return list
}

// Usable tells whether the agent's backend server can take work at a pace that is usual for its service.
func (s *Scheduler) Usable(agent string) bool {
	v := s.servers[agent]
	return v != nil && v.takes(s.out) && !v.health.Suspended() && !s.tooSlow(v)
}

// Room returns the free and the whole processor room of the backend servers that take work.
func (s *Scheduler) Room() (free, room int64) {
	for _, v := range s.fleet {
		if v.takes(s.out) {
			free += max(0, v.room().CPU)
			room += v.state.Room.CPU
		}
	}
	return free, room
}

// Tasks returns the number of tasks without a place, of jobs that may have one, and of those with one.
func (s *Scheduler) Tasks() (waiting, runs int) {
	for _, v := range s.fleet {
		runs += len(v.runs)
	}
	return s.waitingTasks(), runs
}
