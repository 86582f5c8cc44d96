package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/submission"
)

// startTime is the time of the first event in the tests.
var startTime = time.Unix(1_700_000_000, 0)

// at returns the time d after startTime.
func at(d time.Duration) time.Time { return startTime.Add(d) }

func testKey(n byte) submission.Key {
	return submission.Key{Caller: "caller", ID: uuid.UUID{15: n}}
}

// testConfig returns a configuration with one service, three kinds, two failure domains
// and no teams.
func testConfig() *poplargwv1.Config {
	return &poplargwv1.Config{
		Services: []*poplargwv1.Service{{Name: "mould", Kinds: []*poplargwv1.Kind{
			{Name: "check", Priority: 5, Slots: 1, TimeLimit: durationpb.New(time.Second)},
			{Name: "simulate", Priority: 5, Slots: 2, TimeLimit: durationpb.New(10 * time.Second)},
			{Name: "verify", Priority: 7, TimeLimit: durationpb.New(time.Second)},
		}}},
		Domains: []*poplargwv1.FailureDomain{{Name: "left"}, {Name: "right"}},
	}
}

// newReport returns a report of an agent with one server that can run all kinds of
// testConfig.
func newReport(agent string, sequence uint64, domain string, slots, free int) AgentReport {
	return AgentReport{
		Agent: agent, Incarnation: "1", Sequence: sequence, Domain: domain, Region: "r",
		Servers: []Server{{
			Name: "server-" + agent, Instance: "1", Service: "mould", Slots: slots, FreeSlots: free,
			Kinds: []string{"check", "simulate", "verify"},
		}},
	}
}

// newJob returns a job with the given number of tasks of one kind.
func newJob(n byte, kind string, tasks int) Job {
	j := Job{Key: testKey(n), Service: "mould", Deadline: at(30 * time.Second)}
	for range tasks {
		j.Tasks = append(j.Tasks, Task{Kind: kind})
	}
	return j
}

// newScheduler returns a fresh scheduler with testConfig.
func newScheduler(t testing.TB) *Scheduler {
	t.Helper()
	s := New(Options{Domain: "left", Region: "r", RetryBudget: 2})
	s.Configure(startTime, testConfig())
	s.SetFresh(startTime, true)
	return s
}

// splitActions separates actions by type and keeps their order.
func splitActions(actions []Action) (starts []StartTask, ends []FinishJob) {
	for _, a := range actions {
		switch a := a.(type) {
		case StartTask:
			starts = append(starts, a)
		case FinishJob:
			ends = append(ends, a)
		}
	}
	return starts, ends
}

// TestSilentAgentAndDrop checks that a silent agent gets no starts, and that Drop
// discards all jobs so that later replies cause no actions.
func TestSilentAgentAndDrop(t *testing.T) {
	s := newScheduler(t)
	s.AgentReport(startTime, newReport("a", 1, "left", 2, 2))
	first, _ := splitActions(s.Submit(startTime, newJob(1, "check", 1)))
	s.Tick(at(DefaultAgentSilence))
	if starts, _ := splitActions(s.Submit(at(DefaultAgentSilence), newJob(2, "check", 1))); len(starts) != 0 {
		t.Error("task started at a silent agent")
	}
	if keys := s.Drop(at(DefaultAgentSilence)); len(keys) != 2 {
		t.Errorf("Drop returned %v, want 2 keys", keys)
	}
	actions := s.StartReply(at(DefaultAgentSilence), first[0].Ref, StartReply{Result: []byte{1}})
	if actions = append(actions, s.Tick(at(time.Hour))...); len(actions) != 0 {
		t.Errorf("actions after Drop: %v", actions)
	}
}

// TestPickerChoices checks that each picker chooses the same candidates in every run, so
// that decisions are reproducible.
func TestPickerChoices(t *testing.T) {
	c := []Candidate{
		{Placement: Placement{Agent: "a"}, Slots: 8, Free: 8, Expected: time.Second, Local: true, Outstanding: 1},
		{Placement: Placement{Agent: "b"}, Slots: 8, Free: 4, Expected: 100 * time.Millisecond, SameRegion: true, Outstanding: 4},
		{Placement: Placement{Agent: "c"}, Slots: 8, Free: 8, Expected: 100 * time.Millisecond, Local: true, Outstanding: 2},
	}
	for want, p := range map[string]Picker{
		"[2 2 2]": ExpectedCompletion{}, "[0 1 2]": &RoundRobin{}, "[0 0 0]": LeastOutstanding{}, "[1 0 2]": NewRandom(1), "[0 0 2]": NewTwoChoices(3),
	} {
		var got []int
		for range 3 {
			got = append(got, p.Pick("check", c))
		}
		if fmt.Sprint(got) != want {
			t.Errorf("%T picked %v, want %s", p, got, want)
		}
	}
}
