package sched

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/submission"
)

// simAgent is an agent with one backend server and a true count of free slots.
type simAgent struct {
	name, domain      string
	incarnation       int
	sequence, seen    uint64 // seen: newest sequence that the scheduler has received
	slots, used       int
	leaving, draining bool
	known             bool // reported and not lost
	counted, since    int  // last count that the scheduler received, slots started after it
	counts            int
}

type simStart struct {
	StartTask
	agent       *simAgent
	incarnation int
	slots       int
	counts      int
	running     bool
}

type simTask struct {
	outstanding, started bool
}

type simJob struct {
	tasks   []simTask
	touched bool // some start was answered otherwise than by NotRun
	ended   bool
}

// machine runs a Scheduler against simulated agents and checks every action.
type machine struct {
	s       *Scheduler
	now     time.Time
	active  bool
	config  *poplargwv1.Config
	agents  []*simAgent
	starts  []*simStart
	jobs    map[submission.Key]*simJob
	keys    []submission.Key
	longest time.Time
}

var kindSlots = map[string]int{"check": 1, "simulate": 2, "verify": 1}

func (m *machine) agent(name string) *simAgent {
	return m.agents[slices.IndexFunc(m.agents, func(a *simAgent) bool { return a.name == name })]
}

func (m *machine) out(a *simAgent) bool {
	return slices.ContainsFunc(m.config.Domains, func(d *poplargwv1.FailureDomain) bool { return d.Name == a.domain && d.Out }) ||
		slices.ContainsFunc(m.config.Servers, func(v *poplargwv1.ServerOverride) bool { return v.Server == "server-"+a.name && v.Out })
}

func (m *machine) check(t *rapid.T, actions []Action) {
	starts, ends := split(actions)
	for _, st := range starts {
		m.checkStart(t, st)
	}
	for _, e := range ends {
		m.checkEnd(t, e)
	}
}

func (m *machine) checkStart(t *rapid.T, st StartTask) {
	a, j := m.agent(st.To.Agent), m.jobs[st.Ref.Key]
	task := &j.tasks[st.Ref.Task]
	if task.outstanding || j.ended {
		t.Fatalf("second outstanding start, or start after the end of the job: %v", st.Ref)
	}
	task.outstanding = true
	sim := &simStart{StartTask: st, agent: a, incarnation: a.incarnation}
	m.starts = append(m.starts, sim)
	if st.AttachOnly {
		return
	}
	sim.slots, sim.counts = kindSlots[st.Kind], a.counts
	a.since += sim.slots
	switch {
	case task.started:
		t.Fatalf("start of a task that may have started")
	case !m.active:
		t.Fatalf("start while inactive")
	case m.out(a) || a.leaving || a.draining || !a.known:
		t.Fatalf("start at a closed server %+v", a)
	case a.since > a.counted:
		t.Fatalf("%d slots started with %d reported", a.since, a.counted)
	}
}

func (m *machine) checkEnd(t *rapid.T, e FinishJob) {
	j := m.jobs[e.Key]
	if j.ended {
		t.Fatalf("second end of a job")
	}
	j.ended = true
	outstanding := slices.ContainsFunc(j.tasks, func(t simTask) bool { return t.outstanding })
	if f := e.Outcome.Failure; f != nil {
		if f.Effect == result.NotRun && (j.touched || outstanding) {
			t.Fatalf("untrue NotRun: %v", f)
		}
		return
	}
	if len(e.Outcome.Results) != len(j.tasks) || outstanding {
		t.Fatalf("partial outcome")
	}
	for i, r := range e.Outcome.Results {
		if len(r) != 1 || int(r[0]) != i {
			t.Fatalf("result of task %d is %v", i, r)
		}
	}
}

func (m *machine) submit(t *rapid.T) {
	j := Job{Key: key(byte(len(m.keys))), Service: "mould", Team: rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team")}
	j.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "deadline")) * time.Millisecond)
	sim := &simJob{}
	for range rapid.IntRange(1, 6).Draw(t, "tasks") {
		task := Task{Kind: rapid.SampledFrom([]string{"check", "simulate", "verify"}).Draw(t, "kind")}
		if rapid.IntRange(0, 19).Draw(t, "prior") == 0 {
			task.Prior = &Placement{Agent: "a", Server: "server-a"}
			sim.touched = true
		}
		j.Tasks = append(j.Tasks, task)
		sim.tasks = append(sim.tasks, simTask{started: task.Prior != nil})
	}
	m.jobs[j.Key] = sim
	m.keys = append(m.keys, j.Key)
	if j.Deadline.After(m.longest) {
		m.longest = j.Deadline
	}
	m.check(t, m.s.Submit(m.now, j))
}

func (m *machine) cancel(t *rapid.T) {
	if len(m.keys) == 0 {
		t.Skip("no job")
	}
	_, actions := m.s.Cancel(m.now, rapid.SampledFrom(m.keys).Draw(t, "key"))
	m.check(t, actions)
}

// deliver lets an agent receive a start: it refuses it or runs the task.
func (m *machine) deliver(t *rapid.T) {
	if len(m.starts) == 0 {
		t.Skip("no start")
	}
	st := rapid.SampledFrom(m.starts).Draw(t, "start")
	switch {
	case st.running:
		m.finish(t, st)
	case rapid.IntRange(0, 9).Draw(t, "refuse") == 0 || st.agent.slots-st.agent.used < st.slots:
		code := rapid.SampledFrom([]result.Code{
			result.NoFreeSlot, result.StaleToken, result.StaleTable, result.ServerOut, result.AgentDraining, result.NoRecord, result.NoFreeConnection,
		}).Draw(t, "code")
		m.reply(t, st, StartReply{Failure: &result.Failure{Code: code, Effect: result.NotRun}})
	default:
		st.running = true
		if st.incarnation == st.agent.incarnation {
			st.agent.used += st.slots
			st.agent.sequence++
		}
	}
}

func (m *machine) finish(t *rapid.T, st *simStart) {
	if st.incarnation == st.agent.incarnation {
		st.agent.used -= st.slots
		st.agent.sequence++
	}
	j := m.jobs[st.Ref.Key]
	j.touched = true
	j.tasks[st.Ref.Task].started = true
	r := StartReply{Result: []byte{byte(st.Ref.Task)}, RunTime: time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond}
	switch rapid.IntRange(0, 9).Draw(t, "outcome") {
	case 0:
		r = StartReply{Failure: &result.Failure{Code: result.TaskFailed, Effect: result.Run}}
	case 1:
		r = StartReply{Failure: &result.Failure{Code: result.AgentLost, Effect: result.Unknown}}
	}
	m.reply(t, st, r)
}

func (m *machine) reply(t *rapid.T, st *simStart, r StartReply) {
	a := st.agent
	if st.counts == a.counts {
		a.since -= st.slots
	}
	if rapid.Bool().Draw(t, "slots") {
		r.HasSlots, r.FreeSlots, r.Sequence = true, a.slots-a.used, a.sequence
		if st.incarnation == a.incarnation && !st.AttachOnly && a.sequence >= a.seen {
			m.count(a)
		}
	}
	m.starts = slices.DeleteFunc(m.starts, func(o *simStart) bool { return o == st })
	m.jobs[st.Ref.Key].tasks[st.Ref.Task].outstanding = false
	m.check(t, m.s.StartReply(m.now, st.Ref, r))
}

func (m *machine) count(a *simAgent) {
	a.seen, a.counted, a.since = a.sequence, a.slots-a.used, 0
	a.counts++
}

func (m *machine) report(t *rapid.T) {
	a := rapid.SampledFrom(m.agents).Draw(t, "agent")
	switch rapid.IntRange(0, 9).Draw(t, "change") {
	case 0:
		a.incarnation, a.sequence, a.seen, a.used = a.incarnation+1, 0, 0, 0
	case 1:
		a.leaving = !a.leaving
	case 2:
		a.draining = !a.draining
	}
	a.sequence++
	a.known = true
	m.count(a)
	r := m.state(a, a.sequence, a.slots-a.used)
	if rapid.IntRange(0, 9).Draw(t, "withdraw") == 0 {
		r.Servers, a.known = nil, false
	}
	m.check(t, m.s.AgentReport(m.now, r))
	// An overtaken report, from before the agent was leaving, has no effect.
	r.Sequence, r.Draining, r.Servers = a.sequence-1, false, report(a.name, 0, "", a.slots, a.slots).Servers
	m.check(t, m.s.AgentReport(m.now, r))
}

func (m *machine) state(a *simAgent, sequence uint64, free int) AgentReport {
	r := report(a.name, sequence, a.domain, a.slots, free)
	r.Incarnation = string(rune('A' + a.incarnation))
	r.Draining, r.Servers[0].Leaving = a.draining, a.leaving
	return r
}

func (m *machine) lose(t *rapid.T) {
	a := rapid.SampledFrom(m.agents).Draw(t, "agent")
	a.known = false
	m.check(t, m.s.AgentLost(m.now, a.name))
}

func (m *machine) configure(t *rapid.T) {
	c := config()
	for _, d := range c.Domains {
		d.Out = rapid.IntRange(0, 3).Draw(t, "out") == 0
	}
	if rapid.Bool().Draw(t, "server out") {
		c.Servers = []*poplargwv1.ServerOverride{{Server: "server-a", Out: true}}
	}
	if rapid.Bool().Draw(t, "teams") {
		c.Teams = []*poplargwv1.Team{{Name: "red", QuotaSlots: 2}, {Name: "blue"}}
	}
	m.config = c
	m.check(t, m.s.Configure(m.now, c))
}

func (m *machine) activate(t *rapid.T) {
	m.active = rapid.IntRange(0, 3).Draw(t, "active") > 0
	m.check(t, m.s.SetActive(m.now, m.active))
}

func (m *machine) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 5, 10, 100, 700}).Draw(t, "ms")) * time.Millisecond)
	m.check(t, m.s.Tick(m.now))
}

// finishAll ends everything and checks that each job has ended and nothing is held.
func (m *machine) finishAll(t *rapid.T) {
	m.now = m.longest
	m.check(t, m.s.Tick(m.now))
	for len(m.starts) > 0 {
		m.reply(t, m.starts[0], StartReply{})
	}
	for k, j := range m.jobs {
		if !j.ended {
			t.Fatalf("job %v has no end", k)
		}
	}
	for _, q := range m.s.Stats().Queues {
		if q.Queued != 0 || q.Running != 0 {
			t.Fatalf("left over: %+v", q)
		}
	}
	if m.s.services["mould"].held != 0 || m.s.queued != 0 || len(m.s.orphans) != 0 || len(m.s.attempts) != 0 || len(m.s.deadlines) != 0 {
		t.Fatalf("state left over")
	}
}

// Guards against double starts, starts at closed servers or beyond the reported slots,
// lost or repeated outcomes, untrue effects, and leaked state, in any order of events.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			now: start, active: true, config: config(), jobs: map[submission.Key]*simJob{}, longest: start,
			s: New(Options{Domain: "left", Region: "r", QueueTasks: 60, RetryBudget: 2, AgentSilence: time.Hour}),
		}
		for i, name := range []string{"a", "b", "c"} {
			m.agents = append(m.agents, &simAgent{name: name, domain: []string{"left", "right"}[i%2], slots: i + 2})
		}
		m.s.Configure(m.now, m.config)
		m.s.SetActive(m.now, true)
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submit, "cancel": m.cancel, "deliver": m.deliver, "deliver again": m.deliver, "report": m.report,
			"lose": m.lose, "configure": m.configure, "activate": m.activate, "tick": m.tick,
		})
		m.finishAll(t)
	})
}
