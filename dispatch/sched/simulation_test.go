package sched

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"poplargw.example/dispatch/result"
)

// fleet simulates entries, agents with a message delay, and servers of different speeds
// in virtual time.
type fleet struct {
	now                         time.Time
	rng                         *rand.Rand
	entries                     []*Scheduler
	used                        []int    // used slots by server
	sequences                   []uint64 // newest report sequence by agent
	speed                       []float64
	brokenServer                int     // index of a server that fails its tasks at once; -1 for none
	events                      []event // ordered by time
	ended, failed, brokenStarts int     // numbers of jobs and, for the last, of starts
}

// event is a function that runs at a point of virtual time.
type event struct {
	at  time.Time
	run func()
}

// Size and message delay of the simulated fleet.
const (
	simServers = 11
	simSlots   = 8
	simLatency = 1500 * time.Microsecond
)

// after runs a function after the delay d.
func (f *fleet) after(d time.Duration, run func()) {
	e := event{f.now.Add(d), run}
	i, _ := slices.BinarySearchFunc(f.events, e, func(o, e event) int { return cmp.Or(o.at.Compare(e.at), -1) })
	f.events = slices.Insert(f.events, i, e)
}

// newFleet returns a fleet with the given number of entries, each with its own picker.
func newFleet(entries int, picker func() Picker) *fleet {
	f := &fleet{now: startTime, rng: rand.New(rand.NewPCG(7, 7)), brokenServer: -1}
	for range entries {
		s := New(Options{Domain: "left", Region: "r", RetryBudget: 5, Picker: picker()})
		s.SetEntries(entries, len(f.entries))
		s.Configure(startTime, testConfig())
		s.SetFresh(startTime, true)
		f.entries = append(f.entries, s)
		f.tickPeriodically(s)
	}
	for i := range simServers {
		f.used, f.sequences = append(f.used, 0), append(f.sequences, 0)
		f.speed = append(f.speed, 0.5+0.25*float64(i%4))
		f.reportPeriodically(i)
	}
	return f
}

// tickPeriodically calls Tick of an entry every 10 ms.
func (f *fleet) tickPeriodically(s *Scheduler) {
	f.apply(s, s.Tick(f.now))
	f.after(10*time.Millisecond, func() { f.tickPeriodically(s) })
}

// reportPeriodically sends a report of agent i every second.
func (f *fleet) reportPeriodically(i int) {
	f.report(i)
	f.after(time.Second, func() { f.reportPeriodically(i) })
}

// report sends the state of agent i to all entries.
func (f *fleet) report(i int) {
	f.sequences[i]++
	r := newReport(string(rune('a'+i)), f.sequences[i], []string{"left", "right"}[i%2], simSlots, simSlots-f.used[i])
	for _, s := range f.entries {
		f.after(simLatency, func() { f.apply(s, s.AgentReport(f.now, r)) })
	}
}

// apply sends the starts among the actions of an entry to their agents and counts the
// jobs that have ended.
func (f *fleet) apply(s *Scheduler, actions []Action) {
	starts, ends := splitActions(actions)
	for _, st := range starts {
		f.after(simLatency, func() { f.receiveStart(s, st) })
	}
	for _, e := range ends {
		f.ended++
		if e.Outcome.Failure != nil {
			f.failed++
		}
	}
}

// receiveStart handles a start at its agent: it refuses the start if the server has no
// free slot, otherwise it runs the task and replies.
func (f *fleet) receiveStart(s *Scheduler, st StartTask) {
	i := int(st.Placement.Agent[0] - 'a')
	if f.used[i]+kindSlots[st.Kind] > simSlots {
		f.reply(s, st, i, StartReply{Failure: &result.Failure{Code: result.NoFreeSlot, Effect: result.NotRun}})
		return
	}
	f.used[i] += kindSlots[st.Kind]
	f.report(i)
	base := map[string]float64{"check": 100, "simulate": 800, "verify": 50}[st.Kind]
	d := time.Duration(base / f.speed[i] * (0.5 + f.rng.Float64()) * float64(time.Millisecond))
	r := StartReply{Result: []byte{1}, RunTime: d}
	if i == f.brokenServer {
		f.brokenStarts++
		d, r = time.Millisecond, StartReply{Failure: &result.Failure{Code: result.TaskFailed, Effect: result.Run}}
	}
	f.after(d, func() {
		f.used[i] -= kindSlots[st.Kind]
		f.reply(s, st, i, r)
		f.report(i)
	})
}

// reply sends the outcome of a start with the current slot count of agent i to an entry.
func (f *fleet) reply(s *Scheduler, st StartTask, i int, r StartReply) {
	f.sequences[i]++
	r.HasSlots, r.FreeSlots, r.Sequence = true, simSlots-f.used[i], f.sequences[i]
	f.after(simLatency, func() { f.apply(s, s.StartReply(f.now, st.Ref, r)) })
}

// submitJobs submits n jobs of the given kinds in turn to random entries, at random times
// with the given mean interval.
func (f *fleet) submitJobs(mean time.Duration, n int, kinds ...string) {
	for i := range n {
		j := newJob(byte(i), kinds[i%len(kinds)], 1+i%3)
		j.Key.ID[14] = byte(i >> 8)
		f.after(time.Duration(f.rng.ExpFloat64()*float64(mean))+time.Duration(i)*mean, func() {
			s := f.entries[f.rng.IntN(len(f.entries))]
			j.Deadline = f.now.Add(30 * time.Second)
			f.apply(s, s.Submit(f.now, j))
		})
	}
}

// run processes the events of the next d of virtual time.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for f.events[0].at.Before(end) {
		e := f.events[0]
		f.events = f.events[1:]
		f.now = e.at
		e.run()
	}
}

// TestFewWastedStarts checks that no start is refused with one entry, that at most 5
// percent are refused with two entries that share the servers, and that no job fails. It
// guards against slot counts that ignore starts in flight.
func TestFewWastedStarts(t *testing.T) {
	for entries, limit := range map[int]float64{1: 0, 2: 0.05} {
		f := newFleet(entries, func() Picker { return nil })
		f.submitJobs(5*time.Millisecond, 2000, "check", "simulate", "verify", "check")
		f.run(60 * time.Second)
		var starts, wasted uint64
		for _, s := range f.entries {
			st := s.Stats()
			starts, wasted = starts+st.Starts, wasted+st.Wasted
		}
		if float64(wasted) > limit*float64(starts) {
			t.Errorf("%d entries: %d of %d starts refused", entries, wasted, starts)
		}
		if f.ended != 2000 || f.failed != 0 {
			t.Errorf("%d entries: %d jobs ended, %d failed", entries, f.ended, f.failed)
		}
	}
}

// TestBrokenServerGetsFewTasks guards against a server that attracts all tasks because it
// fails each of them at once.
func TestBrokenServerGetsFewTasks(t *testing.T) {
	f := newFleet(1, func() Picker { return nil })
	f.brokenServer = 3
	f.submitJobs(3*time.Millisecond, 2000, "check", "verify")
	f.run(60 * time.Second)
	if f.brokenStarts > 15 {
		t.Errorf("%d starts on the broken server, want at most 15", f.brokenStarts)
	}
}
