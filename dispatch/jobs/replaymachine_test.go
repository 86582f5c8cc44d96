package jobs

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"poplargw.example/dispatch/kindusage"
	"poplargw.example/dispatch/run"
	"poplargw.example/dispatch/runtable"
)

// machine is a simulated backend server with its agent.
type machine struct {
	id          string
	cpuCapacity int64   // in millicores
	slowdown    float64 // factor on the run time of tasks
	dead        bool
	down        bool // its backend server has crashed and is not back yet
	crashes     int
	starts      runtable.StartRates
	failing     bool // its runs fail at their end
	stalled     bool // its runs make no progress
	runs        map[run.Ref]*simRun
	ackedSeqs   []uint64 // newest frame received, by entry
	// linkedEntries are the entries that have a link, in ascending order.
	linkedEntries []int
	domain        string
	service       string
	labels        []string
	// offers divides the free capacity among the entries.
	offers *runtable.Offers
	// speeds passes on the slowdowns that the entries measure.
	speeds *runtable.Speeds
	// owners are the records of owners of jobs; nil if the agent records none.
	owners *ownerRecords
	// account is what the agent knows of the usage by kind.
	account kindusage.Account
	// earlierBuild is set if the agent is of a build that does not report it.
	earlierBuild bool
}

// ownerOf returns the name of an entry in offers.
func ownerOf(entry int) string { return fmt.Sprint(entry) }

// refs returns the runs in a fixed order, so that replays with the same seed are equal.
func (m *machine) refs() []run.Ref {
	list := slices.Collect(maps.Keys(m.runs))
	slices.SortFunc(list, func(a, b run.Ref) int { return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run)) })
	return list
}

// freeFor returns the free capacity that is not offered to other entries.
func (m *machine) freeFor(entry int, now time.Time) run.Demand {
	return m.free().Sub(m.offers.Others(now, ownerOf(entry)))
}

// simRun is a run on a machine.
type simRun struct {
	entry      int
	cpu        int64
	work       time.Duration // run time at slowdown 1
	progress   float64       // completed fraction at progressAt
	progressAt time.Time
	startedAt  time.Time
	kind       string
	usage      kindusage.Run
	// interference is by what fraction the run takes longer at present because of the runs beside it.
	interference float64
}

// progress returns the fraction of the run that is completed.
func (m *machine) progress(r *simRun, now time.Time) float64 {
	if m.stalled {
		return r.progress
	}
	return r.progress + float64(now.Sub(r.progressAt))/(float64(r.work)*m.slowdown*(1+r.interference))
}

// free returns the capacity that no run uses.
func (m *machine) free() run.Demand {
	free := m.cpuCapacity
	for _, r := range m.runs {
		free -= r.cpu
	}
	return run.Demand{CPU: free, MemoryMB: 1 << 20}
}

// server returns the state that the agent reports.
func (m *machine) server() run.Server {
	v := serverOf(m.id, m.cpuCapacity)
	v.Domain = m.domain
	v.Service = m.service
	v.Labels = m.labels
	if m.crashes > 0 {
		v.Instance = fmt.Sprintf("%s-%d", v.Instance, m.crashes)
	}
	if m.down {
		v.State = run.Absent
	}
	return v
}
