package sched

import (
	"slices"
	"testing"
	"time"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/result"
)

// notRun returns a refusal with the given code.
func notRun(c result.Code) StartReply {
	return StartReply{Failure: &result.Failure{Code: c, Effect: result.NotRun}}
}

// jobNumbers returns the numbers of the started jobs in order of the starts, see newJob.
func jobNumbers(starts []StartTask) (out []byte) {
	for _, st := range starts {
		out = append(out, st.Ref.Key.ID[15])
	}
	return out
}

// TestStartOrder checks the order by priority, waiting time, job size, fair share and
// quota. It guards against a wrong order, starvation of jobs that have waited for long, a
// job that takes all slots, and a quota that is not granted or whose unused slots are not
// lent to other teams. All jobs are queued, later ones after a delay, before slots become
// available.
func TestStartOrder(t *testing.T) {
	team := func(j Job, name string) Job { j.Team = name; return j }
	teams := []*poplargwv1.Team{{Name: "red", QuotaSlots: 2}, {Name: "none"}}
	for name, c := range map[string]struct {
		teams []*poplargwv1.Team
		jobs  []Job
		delay time.Duration
		slots int
		want  []byte
	}{
		"priority first":      {nil, []Job{newJob(1, "check", 1), newJob(2, "verify", 1)}, 0, 2, []byte{2, 1}},
		"aging":               {nil, []Job{newJob(1, "check", 1), newJob(2, "verify", 1)}, 10 * time.Second, 1, []byte{1}},
		"small job first":     {nil, []Job{newJob(1, "check", 3), newJob(2, "check", 1)}, 0, 3, []byte{2, 1, 1}},
		"fair share":          {nil, []Job{newJob(1, "check", 9), newJob(2, "check", 10)}, 0, 4, []byte{1, 1, 2, 2}},
		"alone uses all":      {nil, []Job{newJob(1, "check", 9)}, 0, 4, []byte{1, 1, 1, 1}},
		"quota before others": {teams, []Job{team(newJob(1, "verify", 4), "none"), team(newJob(2, "check", 4), "red")}, 0, 4, []byte{2, 2, 1, 1}},
		"quota is lent":       {teams, []Job{team(newJob(1, "verify", 4), "none")}, 0, 4, []byte{1, 1, 1, 1}},
	} {
		s := newScheduler(t)
		conf := testConfig()
		conf.Teams = c.teams
		s.Configure(startTime, conf)
		for i, j := range c.jobs {
			s.Submit(at(time.Duration(i)*c.delay), j)
		}
		starts, _ := splitActions(s.AgentReport(at(c.delay), newReport("a", 1, "left", c.slots, c.slots)))
		if got := jobNumbers(starts); !slices.Equal(got, c.want) {
			t.Errorf("%s: started %v, want %v", name, got, c.want)
		}
	}
}

// TestReservesSlotsForLargeKind checks that a task that needs several slots starts
// although tasks with one slot are always queued.
func TestReservesSlotsForLargeKind(t *testing.T) {
	s := newScheduler(t)
	s.AgentReport(startTime, newReport("a", 1, "left", 2, 2))
	starts, _ := splitActions(s.Submit(startTime, newJob(1, "check", 200)))
	s.Submit(startTime, newJob(2, "simulate", 1))
	for i := 1; i < 200; i++ {
		r := StartReply{Result: []byte{1}, HasSlots: true, FreeSlots: 3 - len(starts), Sequence: uint64(i + 1)}
		more, _ := splitActions(s.StartReply(at(time.Duration(i)*50*time.Millisecond), starts[0].Ref, r))
		if starts = append(starts[1:], more...); slices.Contains(jobNumbers(more), 2) {
			return
		}
	}
	t.Error("the task that needs two slots never started")
}

// TestSubmitRefusals checks that a job is refused with the right code, with effect
// NotRun, and with a RetryAfter exactly if a later submission can succeed.
func TestSubmitRefusals(t *testing.T) {
	s := New(Options{Domain: "left", Region: "r", QueueTasks: 40, RetryBudget: 2})
	conf := testConfig()
	conf.Services[0].Kinds = append(conf.Services[0].Kinds, &poplargwv1.Kind{Name: "huge", Slots: 9})
	conf.Teams = []*poplargwv1.Team{{Name: "red", QuotaSlots: 4}, {Name: "none"}}
	s.Configure(startTime, conf)
	s.SetFresh(startTime, true)
	s.AgentReport(startTime, newReport("a", 1, "left", 4, 4))
	job := func(n byte, kind string, tasks int, team string, d time.Duration) Job {
		j := newJob(n, kind, tasks)
		j.Team, j.Deadline = team, at(d)
		return j
	}
	starts, _ := splitActions(s.Submit(startTime, job(1, "check", 4, "red", time.Minute)))
	for i, st := range starts {
		s.StartReply(startTime, st.Ref, StartReply{Result: []byte{1}, RunTime: time.Second, HasSlots: true, FreeSlots: i + 1, Sequence: uint64(i + 2)})
	}
	s.Submit(startTime, job(2, "check", 30, "red", time.Minute))
	service := job(9, "check", 1, "red", time.Minute)
	service.Service = "other"
	for _, c := range []struct {
		job  Job
		code result.Code
	}{
		{service, result.UnknownService},
		{job(3, "other", 1, "red", time.Minute), result.UnknownKind},
		{job(4, "check", 1, "blue", time.Minute), result.UnknownTeam},
		{job(5, "check", 1, "red", 0), result.DeadlineExpired},
		{job(6, "huge", 1, "red", time.Minute), result.CannotRun},
		{job(7, "check", 20, "red", time.Minute), result.Overloaded},
		{job(8, "check", 8, "red", 900*time.Millisecond), result.DeadlineUnmet},
		{job(9, "check", 2, "none", 4*time.Second), result.OverQuota},
		{job(10, "check", 1, "red", 4*time.Second), 0},
	} {
		_, ends := splitActions(s.Submit(startTime, c.job))
		if c.code == 0 {
			if len(ends) != 0 {
				t.Errorf("job refused: %+v", ends[0].Outcome.Failure)
			}
			continue
		}
		if len(ends) != 1 || ends[0].Outcome.Failure.Code != c.code || ends[0].Outcome.Failure.Effect != result.NotRun {
			t.Errorf("want %d, got %+v", c.code, ends)
		} else if f := ends[0].Outcome.Failure; (c.code/1000 == 2) != (f.RetryAfter > 0) {
			t.Errorf("code %d: RetryAfter is %v", c.code, f.RetryAfter)
		}
	}
}

// TestRetryLimits checks that stale refusals do not use up the retry budget and are not
// all repeated without delay, and that other refusals end the job when the budget is used
// up.
func TestRetryLimits(t *testing.T) {
	s := newScheduler(t)
	s.AgentReport(startTime, newReport("a", 1, "left", 1, 1))
	starts, _ := splitActions(s.Submit(startTime, newJob(1, "check", 1)))
	now, immediate := startTime, 0
	for i := range 20 {
		r := notRun([]result.Code{result.StaleToken, result.StaleTable, result.NotReady}[i%3])
		more, ends := splitActions(s.StartReply(now, starts[0].Ref, r))
		if len(ends) != 0 {
			t.Fatalf("job ended by stale refusals: %+v", ends[0].Outcome.Failure)
		}
		immediate += len(more)
		for len(more) == 0 {
			now = now.Add(10 * time.Millisecond)
			more, _ = splitActions(s.Tick(now))
		}
		starts = more
	}
	if immediate != immediateStaleRetries {
		t.Errorf("%d immediate restarts", immediate)
	}
	var ends []FinishJob
	for i := 0; len(ends) == 0; i++ {
		starts, ends = splitActions(s.StartReply(now, starts[0].Ref, notRun(result.NoFreeSlot)))
		if len(starts)+len(ends) == 0 {
			starts, ends = splitActions(s.AgentReport(now, newReport("a", uint64(i+2), "left", 1, 1)))
		}
	}
	if f := ends[0].Outcome.Failure; f.Code != result.RetriesUsed || f.Effect != result.NotRun {
		t.Errorf("failure %+v", f)
	}
}

// TestUnmetDeadlineCancelAndWarmUp checks that a job ends as soon as it can no longer
// meet its deadline, that a server that returns to service gets only a few tasks at
// first, and that Cancel returns the number of tasks that have not started.
func TestUnmetDeadlineCancelAndWarmUp(t *testing.T) {
	s := newScheduler(t)
	s.AgentReport(startTime, newReport("a", 1, "left", 8, 8))
	starts, _ := splitActions(s.Submit(startTime, newJob(1, "check", 1)))
	s.StartReply(startTime, starts[0].Ref, StartReply{Result: []byte{1}, RunTime: time.Second, HasSlots: true, FreeSlots: 8, Sequence: 2})
	conf := testConfig()
	conf.Domains[0].Out = true
	s.Configure(startTime, conf)
	late, kept := newJob(2, "check", 1), newJob(3, "check", 9)
	late.Deadline = at(2 * time.Second)
	s.Submit(startTime, late)
	s.Submit(startTime, kept)
	_, ends := splitActions(s.Tick(at(1600 * time.Millisecond)))
	if len(ends) != 1 || ends[0].Outcome.Failure.Code != result.DeadlineUnmet || ends[0].Outcome.Failure.Effect != result.NotRun {
		t.Fatalf("outcomes %+v, want one DeadlineUnmet with effect NotRun", ends)
	}
	if starts, _ = splitActions(s.Configure(at(1600*time.Millisecond), testConfig())); len(starts) != 2 {
		t.Errorf("%d starts on a server that has just returned to service, want 2", len(starts))
	}
	n, actions := s.Cancel(at(1600*time.Millisecond), kept.Key)
	if _, ends = splitActions(actions); n != 7 || ends[0].Outcome.Failure.Effect != result.Unknown {
		t.Errorf("Cancel returned %d tasks not started, want 7; failure %+v", n, ends[0].Outcome.Failure)
	}
}

// TestSlotCounts checks that a slot count takes starts in flight into account, and that a
// count is ignored if it is overtaken by a newer one or belongs to an earlier
// incarnation.
func TestSlotCounts(t *testing.T) {
	s := newScheduler(t)
	s.AgentReport(startTime, newReport("a", 1, "left", 4, 4))
	starts, _ := splitActions(s.Submit(startTime, newJob(1, "check", 3)))
	counted := func(after time.Duration, incarnation string, sequence uint64, free int) {
		r := newReport("a", sequence, "left", 4, free)
		r.Incarnation = incarnation
		s.AgentReport(at(after), r)
	}
	answered := func(i int, sequence uint64, free int) {
		s.StartReply(at(50*time.Millisecond), starts[i].Ref, StartReply{Result: []byte{1}, HasSlots: true, FreeSlots: free, Sequence: sequence})
	}
	for _, step := range []struct {
		name string
		do   func()
		want int
	}{
		{"starts in flight", func() {}, 1},
		{"count without the starts", func() { counted(time.Millisecond, "1", 2, 4) }, 1},
		{"count with the starts", func() { counted(2*time.Millisecond, "1", 3, 1) }, 1},
		{"start of another entry", func() { counted(40*time.Millisecond, "1", 4, 0) }, 0},
		{"reply", func() { answered(0, 7, 1) }, 1},
		{"overtaken report", func() { counted(50*time.Millisecond, "1", 5, 4) }, 1},
		{"overtaken reply", func() { answered(1, 6, 4) }, 1},
		{"new incarnation", func() { counted(50*time.Millisecond, "2", 1, 2) }, 2},
		{"late report", func() { counted(50*time.Millisecond, "1", 9, 4) }, 2},
		{"late reply", func() { answered(2, 9, 4) }, 2},
	} {
		if step.do(); s.Stats().Servers[0].FreeSlots != step.want {
			t.Errorf("%s: %d free slots, want %d", step.name, s.Stats().Servers[0].FreeSlots, step.want)
		}
	}
}

// TestEntryShares checks that the shares of all entries add up to the slots of a server,
// that an entry leaves the last free slot beyond its share to others, and that a task
// that needs more slots than the share still starts. It guards against entries that all
// use the same free slot.
func TestEntryShares(t *testing.T) {
	for _, entries := range []int{1, 2, 3, 5, 8} {
		total := 0
		for self := range entries {
			s := newScheduler(t)
			s.SetEntries(entries, self)
			s.AgentReport(startTime, newReport("a", 1, "left", 8, 8))
			total += s.serverShare(s.agents["a"].servers[0])
		}
		if total != 8 {
			t.Errorf("the shares of %d entries add up to %d, want 8 slots", entries, total)
		}
	}
	s := newScheduler(t)
	s.SetEntries(2, 0)
	s.AgentReport(startTime, newReport("a", 1, "left", 8, 5))
	if starts, _ := splitActions(s.Submit(startTime, newJob(1, "check", 8))); len(starts) != 4 {
		t.Errorf("%d starts, want 4", len(starts))
	}
	s = newScheduler(t)
	s.SetEntries(8, 0)
	s.AgentReport(startTime, newReport("a", 1, "left", 8, 8))
	if starts, _ := splitActions(s.Submit(startTime, newJob(1, "simulate", 1))); len(starts) != 1 {
		t.Error("a task that needs more slots than the share of an entry does not start")
	}
}

// TestWaitsForFasterServer checks that a task waits if a slot of a fast server comes free
// sooner than a slow server would finish the task, and that it stops waiting if the fast
// server frees no slot.
func TestWaitsForFasterServer(t *testing.T) {
	s := newScheduler(t)
	s.AgentReport(startTime, newReport("a", 1, "left", 8, 8))
	first, _ := splitActions(s.Submit(startTime, newJob(1, "check", 8)))
	for i, st := range first {
		s.StartReply(startTime, st.Ref, StartReply{Result: []byte{1}, RunTime: 100 * time.Millisecond, HasSlots: true, FreeSlots: 8, Sequence: uint64(2 + i)})
	}
	svc := s.ensureService("mould")
	s.Submit(startTime, newJob(2, "check", 8))
	s.AgentReport(startTime, newReport("b", 1, "left", 8, 8))
	for range 9 {
		svc.servers[1].estimates["check"].Observe(startTime, 400*time.Millisecond)
	}
	if starts, _ := splitActions(s.Submit(startTime, newJob(3, "check", 1))); len(starts) != 0 {
		t.Errorf("task did not wait, started at %v", starts[0].Placement)
	}
	if starts, _ := splitActions(s.Tick(at(time.Second))); len(starts) != 1 || starts[0].Placement.Agent != "b" {
		t.Errorf("starts after a second without starts: %v, want one at agent b", starts)
	}
}
