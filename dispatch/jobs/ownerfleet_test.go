package jobs

import (
	"fmt"
	"slices"
	"time"

	"poplargw.example/dispatch/owner"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

var ownerLimits = owner.Limits{LostAfter: testLimits.LostAfter, RestoreWindow: 350 * time.Millisecond, MaxTickGap: 100 * time.Millisecond}

// maxDelay is the longest time for which a frame or an answer is on its way. Heartbeats do not overtake it.
const maxDelay = 60 * time.Millisecond

// sentFrame and sentAnswer are what is on its way, with the time when it was sent.
type sentFrame struct {
	Batch
	at time.Time
}

type sentAnswer struct {
	owner.Answer
	at time.Time
}

// ownerEntry is one entry of an ownerFleet.
type ownerEntry struct {
	*Scheduler
	name string
	// frames and answers are on their way to and from each agent, in order.
	frames  map[string][]sentFrame
	answers map[string][]sentAnswer
	running map[run.Ref]string   // agents of the runs that may not have ended
	linked  map[string]bool      // agents with an open link
	tokens  map[string]time.Time // when the newest message of each agent arrived, which orders return as their token
	paused  bool                 // the entry does not run, and its messages wait
	ended   map[string]Outcome   // the newest outcome of each job that was admitted
}

// ownerFleet joins entries with the records of owners of several agents, over links that delay frames and may be reset.
type ownerFleet struct {
	now     time.Time
	agents  []string
	tables  map[string]*owner.Table
	started map[string]time.Time // when the process of each agent started
	entries []*ownerEntry
	limits  Limits
	// heard holds when each agent had the newest message of each entry.
	heard map[*ownerEntry]map[string]time.Time
	// listsRuns is set if agents say when their backend servers have listed their runs. told holds the agents that each entry
	// has told the current process of each agent of.
	listsRuns bool
	told      map[string]map[string][]ListedAgent
	silent    map[string]bool // agents that never say so
}

func newOwnerFleet(entries, agents int) *ownerFleet {
	return newOwnerFleetWith(testLimits, entries, agents)
}

// runningTable returns the record of an agent that has run for a second.
func runningTable(now time.Time) *owner.Table {
	at := now.Add(-time.Second)
	table := owner.New(at, ownerLimits)
	for at.Before(now) {
		at = at.Add(ownerLimits.MaxTickGap)
		table.Tick(at)
	}
	return table
}

func newOwnerFleetWith(limits Limits, entries, agents int) *ownerFleet {
	f := &ownerFleet{now: time.Unix(1000, 0), tables: map[string]*owner.Table{}, started: map[string]time.Time{}, limits: limits, heard: map[*ownerEntry]map[string]time.Time{}}
	for i := range agents {
		agent := fmt.Sprintf("a%d", i)
		f.agents = append(f.agents, agent)
		f.tables[agent] = runningTable(f.now)
		f.started[agent] = f.now.Add(-time.Minute)
	}
	for range entries {
		e := f.addEntry()
		for _, agent := range f.agents {
			f.connect(e, agent)
		}
		f.deliverAll()
	}
	return f
}

// addEntry adds an entry without links.
func (f *ownerFleet) addEntry() *ownerEntry {
	e := &ownerEntry{
		Scheduler: New(f.limits), name: fmt.Sprintf("e%d", len(f.entries)), frames: map[string][]sentFrame{},
		answers: map[string][]sentAnswer{}, running: map[run.Ref]string{}, linked: map[string]bool{}, tokens: map[string]time.Time{}, ended: map[string]Outcome{},
	}
	e.SetRegistrars(f.now, f.agents)
	if f.listsRuns {
		e.SetKnownAgents(f.agents)
	}
	f.entries = append(f.entries, e)
	f.heard[e] = map[string]time.Time{}
	return e
}

// connect opens a link, or replaces the open one; frames and answers that are on their way are lost.
func (f *ownerFleet) connect(e *ownerEntry, agent string) {
	e.frames[agent], e.answers[agent] = nil, nil
	e.linked[agent], e.tokens[agent] = true, f.now
	e.AgentConnected(f.now, agent)
	f.take(e)
	e.Report(f.now, agent, f.report(agent))
	f.take(e)
}

// report returns the present report of an agent.
func (f *ownerFleet) report(agent string) Report {
	r := Report{Server: serverOf(agent, 64000), Free: run.Demand{CPU: 64000, MemoryMB: 1 << 20}, RecordsOwners: true, Uptime: max(time.Millisecond, f.now.Sub(f.started[agent]))}
	if f.listsRuns {
		r.Incarnation, r.RunsListed = f.started[agent].String(), f.runsListed(agent)
		for _, list := range f.told[agent] {
			r.ListedAgents = append(r.ListedAgents, list...)
		}
	}
	return r
}

// listDelay is the least time from the start of an agent until its backend server has listed its runs.
const listDelay = 160 * time.Millisecond

// runsListed does what runtable.Table.RunsListed does.
func (f *ownerFleet) runsListed(agent string) bool {
	if f.silent[agent] || f.now.Sub(f.started[agent]) < listDelay {
		return false
	}
	for _, e := range f.entries {
		heard := f.heard[e][agent]
		for _, at := range e.running {
			if at == agent && (f.now.Sub(heard) > 200*time.Millisecond || !heard.After(f.started[agent])) {
				return false
			}
		}
	}
	return true
}

// listRuns makes all agents say when their backend servers have listed their runs.
func (f *ownerFleet) listRuns() {
	f.listsRuns, f.told = true, map[string]map[string][]ListedAgent{}
	for _, e := range f.entries {
		e.SetKnownAgents(f.agents)
	}
}

// exchangeListed passes on which agents have listed their runs, with a heartbeat over a link.
func (f *ownerFleet) exchangeListed(e *ownerEntry, agent string) {
	if f.told[agent] == nil {
		f.told[agent] = map[string][]ListedAgent{}
	}
	f.told[agent][e.name] = e.ListedAgents(f.now)
	e.Report(f.now, agent, f.report(agent))
	f.take(e)
}

// disconnect ends the links of all entries to an agent.
func (f *ownerFleet) disconnect(agent string) {
	for _, e := range f.entries {
		f.cut(e, agent)
	}
}

// cut ends the link of one entry to an agent.
func (f *ownerFleet) cut(e *ownerEntry, agent string) {
	e.frames[agent], e.answers[agent] = nil, nil
	e.linked[agent] = false
	delete(f.told[agent], e.name)
	e.AgentDisconnected(f.now, agent)
}

// maxTokenAge is the age of a token from which on agents refuse an order, as runtable.Table does.
const maxTokenAge = 300 * time.Millisecond

// take puts the batches of an entry on their way. An order that is not refused for the age of its token counts as a run from
// then on.
func (f *ownerFleet) take(e *ownerEntry) {
	outcomes, batches := e.Take()
	for _, o := range outcomes {
		e.ended[o.Job] = o
	}
	for _, b := range batches {
		e.frames[b.Agent] = append(e.frames[b.Agent], sentFrame{b, f.now})
		if f.now.Sub(e.tokens[b.Agent]) > maxTokenAge {
			continue
		}
		for _, o := range b.Orders {
			e.running[o.Ref] = b.Agent
		}
	}
}

// deliverFrame delivers the next frame of an entry to an agent.
func (f *ownerFleet) deliverFrame(e *ownerEntry, agent string) {
	if len(e.frames[agent]) == 0 {
		return
	}
	b, table := e.frames[agent][0], f.tables[agent]
	e.frames[agent] = e.frames[agent][1:]
	f.deliverCancels(e, agent, b.Cancels)
	table.Contact(f.now, e.name)
	f.heard[e][agent] = b.at
	if b.Seq == 1 {
		grants, _ := table.Restore(f.now, e.name, b.Owned)
		f.queue(agent, grants...)
		f.tellCancelled(e, agent, b.Owned)
	}
	for _, job := range b.Releases {
		if a, ok := table.Release(e.name, job); ok {
			f.queue(agent, a)
		}
	}
	for _, r := range b.Requests {
		request := table.Request
		if b.Seq > 1 && slices.Contains(b.Owned, r.Job) {
			request = table.Register
		}
		if a, ok := request(f.now, e.name, r); ok {
			f.queue(agent, a)
		}
	}
}

func (f *ownerFleet) queue(agent string, answers ...owner.Answer) {
	for _, a := range answers {
		for _, e := range f.entries {
			if e.name == a.Entry {
				e.answers[agent] = append(e.answers[agent], sentAnswer{a, f.now})
			}
		}
	}
}

// deliverAnswer delivers the next answer of an agent to an entry.
func (f *ownerFleet) deliverAnswer(e *ownerEntry, agent string) {
	if len(e.answers[agent]) == 0 || e.paused {
		return
	}
	a := e.answers[agent][0]
	e.answers[agent] = e.answers[agent][1:]
	e.tokens[agent] = f.now
	e.RecordMessage(f.now, agent)
	e.JobAnswered(f.now, agent, a.Answer)
	f.take(e)
}

// deliverDelayed delivers what has been on its way between an entry and an agent for maxDelay.
func (f *ownerFleet) deliverDelayed(e *ownerEntry, agent string) {
	for len(e.frames[agent]) > 0 && f.now.Sub(e.frames[agent][0].at) >= maxDelay {
		f.deliverFrame(e, agent)
	}
	for !e.paused && len(e.answers[agent]) > 0 && f.now.Sub(e.answers[agent][0].at) >= maxDelay {
		f.deliverAnswer(e, agent)
	}
}

// deliverAll delivers all frames and answers until none is on its way.
func (f *ownerFleet) deliverAll() {
	for busy := true; busy; {
		busy = false
		for _, e := range f.entries {
			for _, agent := range f.agents {
				busy = busy || len(e.frames[agent]) > 0 || !e.paused && len(e.answers[agent]) > 0
				f.deliverFrame(e, agent)
				f.deliverAnswer(e, agent)
			}
		}
	}
}

// advance moves the time. Agents and entries run, and entries send heartbeats over their open links.
func (f *ownerFleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for _, agent := range f.agents {
		for _, e := range f.entries {
			f.deliverDelayed(e, agent)
			if e.linked[agent] && !e.paused && len(e.frames[agent])+len(e.answers[agent]) == 0 {
				f.tables[agent].Contact(f.now, e.name)
				f.heard[e][agent] = f.now
				e.tokens[agent] = f.now
				e.RecordMessage(f.now, agent)
				if f.listsRuns {
					f.exchangeListed(e, agent)
				}
			}
		}
		f.queue(agent, f.tables[agent].Tick(f.now)...)
	}
	for _, e := range f.entries {
		if e.paused {
			continue
		}
		e.Tick(f.now)
		f.take(e)
	}
}

// wake ends the pause of an entry, which notices it and gives up the job.
func (f *ownerFleet) wake(e *ownerEntry, id string) {
	e.paused = false
	e.GiveUp(id, result.NotReady)
	e.Disown(f.now)
	f.take(e)
}

// submit submits the job to an entry unless that has it.
func (f *ownerFleet) submit(e *ownerEntry, id string) {
	if held, _ := e.Has(id); held {
		return
	}
	e.Submit(f.now, Job{
		ID: id, Queue: testQueue, Arrived: f.now, Deadline: f.now.Add(time.Hour),
		Steps: []Step{{Count: 2, Demand: run.Demand{CPU: 1000, MemoryMB: 1}, Estimate: time.Second}},
	})
	f.take(e)
}

// endRun reports the end of one run of the entry, if it has any.
func (f *ownerFleet) endRun(e *ownerEntry, kind run.EventKind) {
	refs := make([]run.Ref, 0, len(e.running))
	for ref := range e.running {
		refs = append(refs, ref)
	}
	if len(refs) == 0 {
		return
	}
	slices.SortFunc(refs, func(a, b run.Ref) int { return int(int64(a.Run) - int64(b.Run)) })
	agent := e.running[refs[0]]
	delete(e.running, refs[0])
	e.Event(f.now, agent, run.Event{Ref: refs[0], Kind: kind, Reason: result.ServerLost})
	f.take(e)
}

// concurrent returns the tasks that have more than one run that may not have ended.
func (f *ownerFleet) concurrent() []string {
	count := map[string]int{}
	for _, e := range f.entries {
		for ref := range e.running {
			count[ref.Task]++
		}
	}
	var tasks []string
	for task, n := range count {
		if n > 1 {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// learnEnds tells an entry which of its runs have ended at the agents to which it has a link.
func (f *ownerFleet) learnEnds(e *ownerEntry) {
	var ended []*attempt
	for _, agent := range f.agents {
		if v := e.servers[agent]; v != nil && e.linked[agent] {
			ended = append(ended, v.runsInOrder()...)
		}
	}
	ended = slices.DeleteFunc(ended, func(a *attempt) bool { return e.running[a.ref] != "" })
	for _, a := range ended {
		e.Event(f.now, a.server.agent, run.Event{Ref: a.ref, Kind: run.Stopped, Reason: result.ServerLost})
		f.take(e)
	}
}

func (f *ownerFleet) runs(e *ownerEntry) int { return len(e.running) }

// pass moves the time in steps of a tick and delivers everything.
func (f *ownerFleet) pass(d time.Duration) {
	const tick = 20 * time.Millisecond
	for ; d > 0; d -= tick {
		f.advance(tick)
		f.deliverAll()
	}
}

// killAgents ends the processes of agents and with them their records and links.
func (f *ownerFleet) killAgents(agents ...string) {
	for _, agent := range agents {
		f.disconnect(agent)
		f.tables[agent] = owner.New(f.now, ownerLimits)
		delete(f.told, agent)
	}
}

// restartAgents starts the processes of agents, and opens the links of all entries that run.
func (f *ownerFleet) restartAgents(agents ...string) {
	for _, agent := range agents {
		f.started[agent] = f.now
		f.tables[agent] = owner.New(f.now, ownerLimits)
		for _, e := range f.entries {
			if !e.paused {
				f.connect(e, agent)
			}
		}
	}
}

// killEntry ends the process of an entry. What it sent and its runs remain.
func (f *ownerFleet) killEntry(e *ownerEntry) {
	e.paused = true
	for _, told := range f.told {
		delete(told, e.name)
	}
	clear(e.frames)
	clear(e.answers)
	clear(e.linked)
}

// passUntilRuns moves the time until the entry has runs, at most by the limit, and returns how long that took.
func (f *ownerFleet) passUntilRuns(e *ownerEntry, limit time.Duration) time.Duration {
	const tick = 20 * time.Millisecond
	passed := time.Duration(0)
	for f.runs(e) == 0 && passed < limit {
		f.pass(tick)
		passed += tick
	}
	return passed
}
