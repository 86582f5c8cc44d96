package sched

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"poplargw.example/dispatch/result"
)

// fleet simulates entries, agents with a message delay, and servers of different speed.
type fleet struct {
	now                        time.Time
	rng                        *rand.Rand
	entries                    []*Scheduler
	used                       []int
	seq                        []uint64
	speed                      []float64
	broken                     int     // this server fails its tasks at once; -1 for none
	events                     []event // by time
	done, failed, brokenStarts int
}

type event struct {
	at  time.Time
	run func()
}

const (
	simServers = 11
	simSlots   = 8
	simLatency = 1500 * time.Microsecond
)

func (f *fleet) after(d time.Duration, run func()) {
	e := event{f.now.Add(d), run}
	i, _ := slices.BinarySearchFunc(f.events, e, func(o, e event) int { return cmp.Or(o.at.Compare(e.at), -1) })
	f.events = slices.Insert(f.events, i, e)
}

func newFleet(entries int, picker func() Picker) *fleet {
	f := &fleet{now: start, rng: rand.New(rand.NewPCG(7, 7)), broken: -1}
	for range entries {
		s := New(Options{Domain: "left", Region: "r", RetryBudget: 5, Picker: picker()})
		s.SetEntries(entries, len(f.entries))
		s.Configure(start, config())
		s.SetActive(start, true)
		f.entries = append(f.entries, s)
		f.tick(s)
	}
	for i := range simServers {
		f.used, f.seq = append(f.used, 0), append(f.seq, 0)
		f.speed = append(f.speed, 0.5+0.25*float64(i%4))
		f.reports(i)
	}
	return f
}

func (f *fleet) tick(s *Scheduler) {
	f.carryOut(s, s.Tick(f.now))
	f.after(10*time.Millisecond, func() { f.tick(s) })
}

func (f *fleet) reports(i int) {
	f.report(i)
	f.after(time.Second, func() { f.reports(i) })
}

func (f *fleet) report(i int) {
	f.seq[i]++
	r := report(string(rune('a'+i)), f.seq[i], []string{"left", "right"}[i%2], simSlots, simSlots-f.used[i])
	for _, s := range f.entries {
		f.after(simLatency, func() { f.carryOut(s, s.AgentReport(f.now, r)) })
	}
}

func (f *fleet) carryOut(s *Scheduler, actions []Action) {
	starts, ends := split(actions)
	for _, st := range starts {
		f.after(simLatency, func() { f.receive(s, st) })
	}
	for _, e := range ends {
		f.done++
		if e.Outcome.Failure != nil {
			f.failed++
		}
	}
}

func (f *fleet) receive(s *Scheduler, st StartTask) {
	i := int(st.To.Agent[0] - 'a')
	if f.used[i]+kindSlots[st.Kind] > simSlots {
		f.answer(s, st, i, StartReply{Failure: &result.Failure{Code: result.NoFreeSlot, Effect: result.NotRun}})
		return
	}
	f.used[i] += kindSlots[st.Kind]
	f.report(i)
	base := map[string]float64{"check": 100, "simulate": 800, "verify": 50}[st.Kind]
	d := time.Duration(base / f.speed[i] * (0.5 + f.rng.Float64()) * float64(time.Millisecond))
	r := StartReply{Result: []byte{1}, RunTime: d}
	if i == f.broken {
		f.brokenStarts++
		d, r = time.Millisecond, StartReply{Failure: &result.Failure{Code: result.TaskFailed, Effect: result.Run}}
	}
	f.after(d, func() {
		f.used[i] -= kindSlots[st.Kind]
		f.answer(s, st, i, r)
		f.report(i)
	})
}

func (f *fleet) answer(s *Scheduler, st StartTask, i int, r StartReply) {
	f.seq[i]++
	r.HasSlots, r.FreeSlots, r.Sequence = true, simSlots-f.used[i], f.seq[i]
	f.after(simLatency, func() { f.carryOut(s, s.StartReply(f.now, st.Ref, r)) })
}

// arrivals submits jobs of the kinds in turn, at random times with the given mean.
func (f *fleet) arrivals(mean time.Duration, n int, kinds ...string) {
	for i := range n {
		j := newJob(byte(i), kinds[i%len(kinds)], 1+i%3)
		j.Key.ID[14] = byte(i >> 8)
		f.after(time.Duration(f.rng.ExpFloat64()*float64(mean))+time.Duration(i)*mean, func() {
			s := f.entries[f.rng.IntN(len(f.entries))]
			j.Deadline = f.now.Add(30 * time.Second)
			f.carryOut(s, s.Submit(f.now, j))
		})
	}
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for f.events[0].at.Before(end) {
		e := f.events[0]
		f.events = f.events[1:]
		f.now = e.at
		e.run()
	}
}

// Guards against slot counts that ignore starts on their way: refusals must stay rare
// with one entry and with two that share the servers, and no job may fail.
func TestFewWastedStarts(t *testing.T) {
	for entries, limit := range map[int]float64{1: 0, 2: 0.05} {
		f := newFleet(entries, func() Picker { return nil })
		f.arrivals(5*time.Millisecond, 2000, "check", "simulate", "verify", "check")
		f.run(60 * time.Second)
		var starts, wasted uint64
		for _, s := range f.entries {
			st := s.Stats()
			starts, wasted = starts+st.Starts, wasted+st.Wasted
		}
		if float64(wasted) > limit*float64(starts) {
			t.Errorf("%d entries: %d of %d starts refused", entries, wasted, starts)
		}
		if f.done != 2000 || f.failed != 0 {
			t.Errorf("%d entries: %d jobs ended, %d failed", entries, f.done, f.failed)
		}
	}
}

// Guards against a server that fails every task at once and so attracts all work.
func TestBrokenServerGetsFewTasks(t *testing.T) {
	f := newFleet(1, func() Picker { return nil })
	f.broken = 3
	f.arrivals(3*time.Millisecond, 2000, "check", "verify")
	f.run(60 * time.Second)
	if f.brokenStarts > 15 {
		t.Errorf("%d starts at the broken server", f.brokenStarts)
	}
}
