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

// simAgent simulates an agent with one backend server. It knows the true number of used
// slots.
type simAgent struct {
	name, domain                    string
	incarnation                     int
	sequence, seenSequence          uint64 // seenSequence: newest sequence that the scheduler has received
	slots, used                     int
	leaving, draining               bool
	reported                        bool // the scheduler has a report and the agent is not lost
	reportedFree, startedSinceCount int  // last count that the scheduler received, and slots started after it
	countNumber                     int  // number of counts that the scheduler received
}

// simStart is an unanswered start on its way to an agent or running there.
type simStart struct {
	StartTask
	agent       *simAgent
	incarnation int
	slots       int
	countNumber int
	running     bool
}

// simTask records whether a task has an unanswered start and whether it may have started.
type simTask struct {
	outstanding, started bool
}

// simJob records what is known of a submitted job.
type simJob struct {
	tasks      []simTask
	mayHaveRun bool // a start had another outcome than NotRun, or an agent held a start record
	ended      bool
}

// schedulerModel drives a Scheduler with random events and simulated agents, and checks
// every action that it returns.
type schedulerModel struct {
	s            *Scheduler
	now          time.Time
	fresh        bool
	config       *poplargwv1.Config
	agents       []*simAgent
	starts       []*simStart
	jobs         map[submission.Key]*simJob
	keys         []submission.Key
	lastDeadline time.Time // latest deadline of all jobs
}

// kindSlots holds the slots of the kinds of testConfig.
var kindSlots = map[string]int{"check": 1, "simulate": 2, "verify": 1}

func (m *schedulerModel) agent(name string) *simAgent {
	return m.agents[slices.IndexFunc(m.agents, func(a *simAgent) bool { return a.name == name })]
}

// isOut reports whether the configuration takes the server of an agent or its failure
// domain out of service.
func (m *schedulerModel) isOut(a *simAgent) bool {
	return slices.ContainsFunc(m.config.Domains, func(d *poplargwv1.FailureDomain) bool { return d.Name == a.domain && d.Out }) ||
		slices.ContainsFunc(m.config.Servers, func(v *poplargwv1.ServerOverride) bool { return v.Server == "server-"+a.name && v.Out })
}

func (m *schedulerModel) checkActions(t *rapid.T, actions []Action) {
	starts, ends := splitActions(actions)
	for _, st := range starts {
		m.checkStart(t, st)
	}
	for _, e := range ends {
		m.checkEnd(t, e)
	}
}

func (m *schedulerModel) checkStart(t *rapid.T, st StartTask) {
	a, j := m.agent(st.Placement.Agent), m.jobs[st.Ref.Key]
	task := &j.tasks[st.Ref.Task]
	if task.outstanding || j.ended {
		t.Fatalf("second outstanding start of a task, or start after the outcome of its job: %v", st.Ref)
	}
	task.outstanding = true
	sim := &simStart{StartTask: st, agent: a, incarnation: a.incarnation}
	m.starts = append(m.starts, sim)
	if st.AttachOnly {
		return
	}
	sim.slots, sim.countNumber = kindSlots[st.Kind], a.countNumber
	a.startedSinceCount += sim.slots
	switch {
	case task.started:
		t.Fatalf("start of a task that may have started before")
	case !m.fresh:
		t.Fatalf("start while the entry is not fresh")
	case m.isOut(a) || a.leaving || a.draining || !a.reported:
		t.Fatalf("start on a server that is not in service: %+v", a)
	case a.startedSinceCount > a.reportedFree:
		t.Fatalf("%d slots started although only %d were reported free", a.startedSinceCount, a.reportedFree)
	}
}

func (m *schedulerModel) checkEnd(t *rapid.T, e FinishJob) {
	j := m.jobs[e.Key]
	if j.ended {
		t.Fatalf("second outcome of a job")
	}
	j.ended = true
	outstanding := slices.ContainsFunc(j.tasks, func(t simTask) bool { return t.outstanding })
	if f := e.Outcome.Failure; f != nil {
		if f.Effect == result.NotRun && (j.mayHaveRun || outstanding) {
			t.Fatalf("effect NotRun although a task may have run: %v", f)
		}
		return
	}
	if len(e.Outcome.Results) != len(j.tasks) || outstanding {
		t.Fatalf("job completed without all results")
	}
	for i, r := range e.Outcome.Results {
		if len(r) != 1 || int(r[0]) != i {
			t.Fatalf("result of task %d is %v", i, r)
		}
	}
}

func (m *schedulerModel) submit(t *rapid.T) {
	j := Job{Key: testKey(byte(len(m.keys))), Service: "mould", Team: rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team")}
	j.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "deadline")) * time.Millisecond)
	sim := &simJob{}
	for range rapid.IntRange(1, 6).Draw(t, "tasks") {
		task := Task{Kind: rapid.SampledFrom([]string{"check", "simulate", "verify"}).Draw(t, "kind")}
		if rapid.IntRange(0, 19).Draw(t, "prior") == 0 {
			task.Prior = &Placement{Agent: "a", Server: "server-a"}
			sim.mayHaveRun = true
		}
		j.Tasks = append(j.Tasks, task)
		sim.tasks = append(sim.tasks, simTask{started: task.Prior != nil})
	}
	m.jobs[j.Key] = sim
	m.keys = append(m.keys, j.Key)
	if j.Deadline.After(m.lastDeadline) {
		m.lastDeadline = j.Deadline
	}
	m.checkActions(t, m.s.Submit(m.now, j))
}

func (m *schedulerModel) cancel(t *rapid.T) {
	if len(m.keys) == 0 {
		t.Skip("no job")
	}
	_, actions := m.s.Cancel(m.now, rapid.SampledFrom(m.keys).Draw(t, "key"))
	m.checkActions(t, actions)
}

// deliver handles a random start at its agent: a running task ends, a new start is
// refused or its task begins to run.
func (m *schedulerModel) deliver(t *rapid.T) {
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

// finish ends a running task with a result or a failure.
func (m *schedulerModel) finish(t *rapid.T, st *simStart) {
	if st.incarnation == st.agent.incarnation {
		st.agent.used -= st.slots
		st.agent.sequence++
	}
	j := m.jobs[st.Ref.Key]
	j.mayHaveRun = true
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

// reply passes the outcome of a start to the scheduler, with or without a slot count.
func (m *schedulerModel) reply(t *rapid.T, st *simStart, r StartReply) {
	a := st.agent
	if st.countNumber == a.countNumber {
		a.startedSinceCount -= st.slots
	}
	if rapid.Bool().Draw(t, "slots") {
		r.HasSlots, r.FreeSlots, r.Sequence = true, a.slots-a.used, a.sequence
		if st.incarnation == a.incarnation && !st.AttachOnly && a.sequence >= a.seenSequence {
			m.recordCount(a)
		}
	}
	m.starts = slices.DeleteFunc(m.starts, func(o *simStart) bool { return o == st })
	m.jobs[st.Ref.Key].tasks[st.Ref.Task].outstanding = false
	m.checkActions(t, m.s.StartReply(m.now, st.Ref, r))
}

// recordCount records that the scheduler receives a slot count of an agent.
func (m *schedulerModel) recordCount(a *simAgent) {
	a.seenSequence, a.reportedFree, a.startedSinceCount = a.sequence, a.slots-a.used, 0
	a.countNumber++
}

// report sends a report of a random agent, sometimes after a change of its state, and
// then an overtaken one.
func (m *schedulerModel) report(t *rapid.T) {
	a := rapid.SampledFrom(m.agents).Draw(t, "agent")
	switch rapid.IntRange(0, 9).Draw(t, "change") {
	case 0:
		a.incarnation, a.sequence, a.seenSequence, a.used = a.incarnation+1, 0, 0, 0
	case 1:
		a.leaving = !a.leaving
	case 2:
		a.draining = !a.draining
	}
	a.sequence++
	a.reported = true
	m.recordCount(a)
	r := m.agentReport(a, a.sequence, a.slots-a.used)
	if rapid.IntRange(0, 9).Draw(t, "withdraw") == 0 {
		r.Servers, a.reported = nil, false
	}
	m.checkActions(t, m.s.AgentReport(m.now, r))
	// An overtaken report from before the agent was leaving must have no effect.
	r.Sequence, r.Draining, r.Servers = a.sequence-1, false, newReport(a.name, 0, "", a.slots, a.slots).Servers
	m.checkActions(t, m.s.AgentReport(m.now, r))
}

// agentReport returns a report of an agent in its present state with the given sequence
// and number of free slots.
func (m *schedulerModel) agentReport(a *simAgent, sequence uint64, free int) AgentReport {
	r := newReport(a.name, sequence, a.domain, a.slots, free)
	r.Incarnation = string(rune('A' + a.incarnation))
	r.Draining, r.Servers[0].Leaving = a.draining, a.leaving
	return r
}

func (m *schedulerModel) loseAgent(t *rapid.T) {
	a := rapid.SampledFrom(m.agents).Draw(t, "agent")
	a.reported = false
	m.checkActions(t, m.s.AgentLost(m.now, a.name))
}

func (m *schedulerModel) configure(t *rapid.T) {
	c := testConfig()
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
	m.checkActions(t, m.s.Configure(m.now, c))
}

func (m *schedulerModel) setFresh(t *rapid.T) {
	m.fresh = rapid.IntRange(0, 3).Draw(t, "fresh") > 0
	m.checkActions(t, m.s.SetFresh(m.now, m.fresh))
}

func (m *schedulerModel) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 5, 10, 100, 700}).Draw(t, "ms")) * time.Millisecond)
	m.checkActions(t, m.s.Tick(m.now))
}

// finishAll lets all deadlines pass, answers all starts, and checks that each job has an
// outcome and that the scheduler holds no state for them.
func (m *schedulerModel) finishAll(t *rapid.T) {
	m.now = m.lastDeadline
	m.checkActions(t, m.s.Tick(m.now))
	for len(m.starts) > 0 {
		m.reply(t, m.starts[0], StartReply{})
	}
	for k, j := range m.jobs {
		if !j.ended {
			t.Fatalf("job %v has no outcome", k)
		}
	}
	for _, q := range m.s.Stats().Queues {
		if q.Queued != 0 || q.Running != 0 {
			t.Fatalf("tasks left over: %+v", q)
		}
	}
	if m.s.services["mould"].held != 0 || m.s.queued != 0 || len(m.s.orphanedStarts) != 0 || len(m.s.attempts) != 0 || len(m.s.deadlines) != 0 {
		t.Fatalf("state left over after all jobs ended")
	}
}

// TestInvariants checks, for random orders of events, that no task starts twice, that no
// start goes to a server that is not in service or beyond its reported slots, that each
// job has exactly one outcome with the right effect, and that no state is left over.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &schedulerModel{
			now: startTime, fresh: true, config: testConfig(), jobs: map[submission.Key]*simJob{}, lastDeadline: startTime,
			s: New(Options{Domain: "left", Region: "r", QueueTasks: 60, RetryBudget: 2, AgentSilence: time.Hour}),
		}
		for i, name := range []string{"a", "b", "c"} {
			m.agents = append(m.agents, &simAgent{name: name, domain: []string{"left", "right"}[i%2], slots: i + 2})
		}
		m.s.Configure(m.now, m.config)
		m.s.SetFresh(m.now, true)
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submit, "cancel": m.cancel, "deliver": m.deliver, "deliver again": m.deliver, "report": m.report,
			"lose": m.loseAgent, "configure": m.configure, "set fresh": m.setFresh, "tick": m.tick,
		})
		m.finishAll(t)
	})
}
