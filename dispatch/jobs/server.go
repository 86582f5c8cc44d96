package jobs

import (
	"sort"
	"time"

	"poplargw.example/dispatch/estimate"
	"poplargw.example/dispatch/health"
	"poplargw.example/dispatch/run"
)

// referenceRunTime is the declared run time to which observed run times are scaled, so that tasks of
// different lengths contribute to one speed estimate per backend server.
const referenceRunTime = time.Second

// server is what the entry knows of one agent and its backend server.
type server struct {
	agent       string
	state       run.Server
	free        run.Demand
	largest     run.Demand // largest capacity, of each resource, that the instance has reported
	linked      bool       // the entry has a link to the agent
	lastContact time.Time  // time of the newest message from the agent
	lastMessage time.Time  // as lastContact, without the times at which links were opened
	heardSince  time.Time  // time since which messages have arrived without a gap; see recordMessage
	unlinkedAt  time.Time  // time of the end of the newest link that has ended
	lost        bool       // kept for its runs alone, and not in Scheduler.fleet
	seq         uint64     // number of the newest frame sent to the agent
	runs        map[run.Ref]*attempt
	// unacked are the orders that the agent's newest report does not account for yet.
	unacked        []*attempt
	health         *health.Server
	speedEstimate  *estimate.ServerEstimate
	othersSlowdown float64 // slowdown that other entries have measured; 0 if unknown
	// lagFactor is how many times slower than its speed estimate the backend server runs at present.
	lagFactor float64
	batch     Batch // content of the next frame
	reported  bool  // a report has arrived over the present link
	// reportsCrashes is set if the agent reports crashes, so that other lost runs are not counted as such.
	reportsCrashes bool
	// recordsOwners is set if the agent records the owners of jobs.
	recordsOwners bool
	startedAt     time.Time // start of the agent's process, as far as reports over the present link tell; zero if unknown
	formerStart   time.Time // startedAt over an earlier link
	incarnation   string    // of the agent's newest process that has reported; empty if unknown
	// runsListed is set while the agent says that its backend server has listed its runs, formerListed if it said so in the
	// newest report over an earlier link.
	runsListed, formerListed bool
	entries                  int       // number of entries that share the backend server; 0 if unknown
	lastOrder                time.Time // time of the newest order
	probes                   int       // consecutive orders while it was too slow
	unanswered               int       // consecutive orders without an answer
	// pausedUntil is when the agent gets orders again after it refused or did not answer some.
	pausedUntil time.Time
	// inBulkhead is set while the backend server takes only tasks of confined kinds.
	inBulkhead bool
	usage      []run.KindUsage // as last reported
}

// available returns the free capacity less the demand of the orders that the agent's report does not
// account for.
func (v *server) available() run.Demand {
	free := v.free
	for _, a := range v.unacked {
		free = free.Sub(a.demand)
	}
	return free
}

// acknowledge drops the unacknowledged orders up to the frame that the agent's report accounts for.
func (v *server) acknowledge(seq uint64) {
	kept := v.unacked[:0]
	for _, a := range v.unacked {
		if a.seq > seq {
			kept = append(kept, a)
		}
	}
	clear(v.unacked[len(kept):])
	v.unacked = kept
}

// slowdown returns the expected run time of a task on the backend server, divided by its estimate.
func (v *server) slowdown() float64 { return v.normalSlowdown() * v.lagFactor }

// maxSlowdownDifference is the ratio between its own and the other entries' slowdown above which an entry uses
// its own alone: the speed of the server may have changed.
const maxSlowdownDifference = 1.5

// normalSlowdown returns the slowdown without the present lag: the mean of what this entry and others have
// measured, one of the two if there is only one, and that of a typical server if there is none.
func (v *server) normalSlowdown() float64 {
	own := float64(v.speedEstimate.Expected(referenceRunTime)) / float64(referenceRunTime)
	others := v.othersSlowdown
	switch {
	case others <= 0:
		return own
	case !v.speedEstimate.Learned():
		return others
	case own > maxSlowdownDifference*others, others > maxSlowdownDifference*own:
		return own
	}
	return (own + others) / 2
}

// MeasuredSlowdown returns the slowdown of the agent's backend server that this entry has measured itself, or 0
// without any run. One run is enough, since the agent takes the median over the entries.
func (s *Scheduler) MeasuredSlowdown(agent string) float64 {
	v := s.servers[agent]
	if v == nil || v.speedEstimate == nil {
		return 0
	}
	return float64(v.speedEstimate.Median()) / float64(referenceRunTime)
}

// speedKnown reports whether this entry or another one has measured the speed of the backend server.
func (v *server) speedKnown() bool { return v.othersSlowdown > 0 || v.speedEstimate.Learned() }

// acceptsTasks reports whether the backend server may get orders at all.
func (v *server) acceptsTasks(out map[string]bool) bool {
	return v.linked && v.reported && v.state.State == run.Ready && !out[v.state.Domain]
}

// runsInOrder returns the runs in the order in which they were ordered.
func (v *server) runsInOrder() []*attempt {
	list := make([]*attempt, 0, len(v.runs))
	for _, a := range v.runs {
		list = append(list, a)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].orderedBefore(list[j]) })
	return list
}

// Usable reports whether the agent's backend server accepts tasks, is not suspended and is not too slow
// compared with its service.
func (s *Scheduler) Usable(agent string) bool {
	v := s.servers[agent]
	return v != nil && v.acceptsTasks(s.outOfService) && !v.health.Suspended() && !s.tooSlow(v)
}

// Capacity returns the free and the total CPU capacity, in millicores, of the backend servers that
// accept tasks.
func (s *Scheduler) Capacity() (free, total int64) {
	for _, v := range s.fleet {
		if v.acceptsTasks(s.outOfService) {
			free += max(0, v.available().CPU)
			total += v.state.Capacity.CPU
		}
	}
	return free, total
}

// Tasks returns the number of waiting tasks of queued jobs, and the number of runs.
func (s *Scheduler) Tasks() (waiting, runs int) {
	for _, v := range s.servers {
		runs += len(v.runs)
	}
	return s.waitingTasks(), runs
}
