package jobs

import (
	"testing"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

const (
	// crashDelay is the time from the start of a crashing task to the crash, crashedFor that until the backend
	// server is back, and crashNotice that until its agent notices.
	crashDelay  = 10 * time.Millisecond
	crashedFor  = 3 * time.Second
	crashNotice = 2 * time.Millisecond
	// crashLease is the time after a crash until its agent reports the runs as ended.
	crashLease = 400 * time.Millisecond
)

// crashFault makes the first task of a share of the jobs of one kind crash its backend server while it is
// active.
type crashFault struct {
	kind   string
	share  float64
	active bool
	// unreported is set if agents do not report crashes, as those of earlier versions.
	unreported bool
	tasks      map[string]bool
	crashes    int
	// innocent counts the crashes that each task of a job without a crashing task was in.
	innocent map[string]int
}

// choose decides whether the new job has a crashing task.
func (f *crashFault) choose(sim *simulation, id string, k requestKind) {
	if f != nil && f.active && k.name == f.kind && sim.rng.Float64() < f.share {
		f.tasks[run.TaskName(id, 0, 0, 0)] = true
	}
}

// scheduleCrash schedules the crash of the machine if the order is for a crashing task.
func (sim *simulation) scheduleCrash(m *machine, o Order, r *simRun) {
	m.starts.Add(sim.now, o.Kind)
	if sim.crashing == nil || !sim.crashing.tasks[o.Ref.Task] {
		return
	}
	sim.after(crashDelay, func() {
		if m.runs[o.Ref] == r {
			sim.crash(m)
		}
	})
}

// crash ends all runs of a machine. Its agent reports the crash at once and the ends of the runs later.
func (sim *simulation) crash(m *machine) {
	f := sim.crashing
	f.crashes++
	crash := run.Crash{Instance: m.server().Instance, Starts: m.starts.PerSecond(sim.now)}
	ended := map[int][]run.Event{}
	for _, ref := range m.refs() {
		r := m.runs[ref]
		id := jobOf(ref.Task)
		crash.Suspects = append(crash.Suspects, run.Suspect{Task: ref.Task, Kind: sim.kindOfJob[id].name, Age: sim.now.Sub(r.startedAt)})
		ended[r.entry] = append(ended[r.entry], run.Event{Ref: ref, Kind: run.Stopped, Reason: result.ServerLost})
		if !f.tasks[run.TaskName(id, 0, 0, 0)] {
			f.innocent[ref.Task]++
		}
	}
	clear(m.runs)
	m.down = true
	for _, i := range m.linkedEntries {
		sim.after(crashNotice+sim.oneWay, func() { sim.reportCrash(i, m, crash) })
	}
	sim.after(crashLease, func() { sim.sendEvents(m, ended) })
	sim.after(crashedFor, func() {
		m.crashes++
		m.down = false
		sim.sendEvents(m, map[int][]run.Event{})
	})
}

func (sim *simulation) reportCrash(i int, m *machine, crash run.Crash) {
	if sim.failedEntries[i] {
		return
	}
	if !sim.crashing.unreported {
		sim.entries[i].ServerCrashed(sim.now, m.id, crash, 0)
	}
	sim.sendReport(m, i, nil)
}

// replayCrashes replays a load of 0.7 in which a tenth of the jobs of one kind crash their backend servers for
// 10 s. Only jobs that arrive in that time count.
func replayCrashes(t *testing.T, seed uint64, kind string, entries, machines int, unreported bool) *simulation {
	config := baseConfig
	config.machines = machines
	sim := newSimulationOf(t, seed, entries, siteOneSlowdowns, config)
	sim.crashing = &crashFault{kind: kind, share: 0.1, unreported: unreported, tasks: map[string]bool{}, innocent: map[string]int{}}
	sim.scheduleArrivals(0.65, 17*time.Second)
	sim.run(3 * time.Second)
	sim.measureFrom, sim.measureUntil = sim.now, sim.now.Add(10*time.Second)
	sim.crashing.active = true
	sim.run(10 * time.Second)
	sim.crashing.active = false
	sim.run(8 * time.Second)
	return sim
}

// checkCrashes checks what a replay of crashes has to keep: 0.9 of each other kind is served within its objective
// or three times that, and no task of a job that crashes nothing is in a third crash.
func (sim *simulation) checkCrashes(seed uint64, kind string) {
	sim.t.Helper()
	sim.t.Logf("%s, seed %d: %d crashes, %s", kind, seed, sim.crashing.crashes, sim.tally)
	for other, tally := range sim.byKind {
		served := tally.share(tally.withinObjective + tally.late)
		sim.t.Logf("  %s: %s", other, tally)
		if other != kind && served < 0.9 {
			sim.t.Errorf("%s crashes servers, seed %d: %.3f of %s served, want at least 0.9", kind, seed, served, other)
		}
	}
	for task, n := range sim.crashing.innocent {
		if n >= maxTaskCrashes {
			sim.t.Errorf("%s, seed %d: %d backend servers crashed under task %s of a job that crashes none", kind, seed, n, task)
		}
	}
}

// Guards against one kind of request taking down the backend servers that the others need.
func TestReplayKindThatCrashesServers(t *testing.T) {
	for _, kind := range []string{"check", "quote", "price"} {
		for seed := range uint64(3) {
			replayCrashes(t, seed+1, kind, 3, 11, false).checkCrashes(seed+1, kind)
		}
	}
}

// Guards against entries of a large fleet that confine different kinds: with ten entries and 59 backend servers, crashes
// come every few milliseconds.
func TestReplayLargeFleetOfCrashingServers(t *testing.T) {
	skipWithRaceDetector(t)
	for _, kind := range []string{"check", "quote", "price"} {
		replayCrashes(t, 1, kind, 10, 59, false).checkCrashes(1, kind)
	}
}
