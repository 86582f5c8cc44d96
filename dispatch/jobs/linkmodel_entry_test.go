package jobs_test

import (
	"fmt"
	"time"

	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/route"
	"poplargw.example/dispatch/run"
)

// The times of an entry; see daemon/runentry and platform/bounds.go.
const (
	modelTick          = 20 * time.Millisecond
	modelLateTick      = 100 * time.Millisecond
	modelPause         = 900 * time.Millisecond
	modelBusyHeartbeat = 50 * time.Millisecond
	modelIdleHeartbeat = 120 * time.Millisecond
	modelDemandUpdate  = 15 * time.Millisecond
	modelResendDelay   = 1300 * time.Millisecond
	modelDeadline      = 1500 * time.Millisecond
)

var modelEntryLimits = jobs.Limits{SilenceLimit: 200 * time.Millisecond, LostAfter: 809 * time.Millisecond, MaxWaitingTasks: 20_000}

var modelQueue = route.Queue{Name: "q", Service: "svc", Attempts: 2, Stretch: 1.6, Latency: 60 * time.Millisecond}

// submission is one attempt of a caller to have a job run.
type submission struct {
	job      *callerJob
	entry    *entryModel
	admitted time.Time
	// left is when the connection of the caller broke, or zero; leftKnown is set when that has reached the entry.
	left      time.Time
	leftKnown bool
	answered  bool
}

// callerJob is a job of a caller, who submits it again until it is answered.
type callerJob struct {
	id       string
	tasks    int
	runTime  time.Duration
	attempts int
}

// entryFrame and agentFrame are the messages between an entry and an agent.
type entryFrame struct {
	batch jobs.Batch
	hello bool
	ack   uint64
	token time.Time
	want  jobs.WaitingDemand
}

type agentFrame struct {
	seq, ack uint64
	clock    time.Time
	server   *run.Server
	free     run.Demand
	entries  int
	events   []run.Event
	progress []modelProgress
}

type modelProgress struct {
	ref     run.Ref
	percent int
	age     time.Duration
}

// entryModel is an entry with its links.
type entryModel struct {
	process
	scheduler *jobs.Scheduler
	links     []*entryLink // by agent
	lastTick  time.Time
	waiters   map[string]*submission
	open      []*submission // with a connection of the caller
}

// entryLink is what an entry knows of its link to one agent; link is nil while there is none.
type entryLink struct {
	agent      *agentModel
	link       *linkModel
	lastSeq    uint64
	token      time.Time
	lastSent   time.Time
	demandSent bool
	server     run.Server
}

func newEntryModel(w *linkWorld, i int) *entryModel {
	limits := modelEntryLimits
	// Clocks of entries differ by seconds.
	limits.RunOffset = []int64{0, 0, -3000, 3000}[w.random.IntN(4)]
	e := &entryModel{process: process{w: w, name: fmt.Sprintf("entry-%d", i)}, scheduler: jobs.New(limits), waiters: map[string]*submission{}}
	for _, a := range w.agents {
		l := &entryLink{agent: a}
		e.links = append(e.links, l)
		e.dial(l)
	}
	e.every(modelTick, e.tick)
	return e
}

// every repeats a call of the process; calls that are due during a pause are carried out once after it.
func (p *process) every(d time.Duration, call func()) {
	waiting := false
	stream := new(int)
	p.w.every(d, func() {
		if waiting {
			return
		}
		waiting = true
		p.do(stream, func() {
			waiting = false
			call()
		})
	})
}

// dial opens a link. The other side accepts it even while its process is paused.
func (e *entryModel) dial(l *entryLink) {
	e.w.after(e.w.between(time.Millisecond, 4*time.Millisecond), func() { e.do(l, func() { e.openLink(l) }) })
}

func (e *entryModel) openLink(l *entryLink) {
	m := &linkModel{w: e.w}
	m.ends[entryEnd] = linkEnd{process: &e.process, ended: func(reason string) { e.linkLost(l, m, reason) }}
	// The agent learns of the link with its first frame.
	m.ends[agentEnd] = linkEnd{process: &l.agent.process, ended: func(string) {}}
	l.link = m
	l.lastSeq, l.token = 0, l.agent.startedAt
	e.scheduler.AgentConnected(e.w.now, l.agent.name)
	e.w.logf("%s linked to %s", e.name, l.agent.name)
	e.flush()
}

func (e *entryModel) linkLost(l *entryLink, m *linkModel, reason string) {
	e.w.logf("%s lost its link to %s: %s", e.name, l.agent.name, reason)
	e.w.counts["links lost"]++
	if l.link == m {
		l.link = nil
	}
	e.scheduler.AgentDisconnected(e.w.now, l.agent.name)
	e.dial(l)
}

// linkOf returns the link to an agent.
func (e *entryModel) linkOf(agent string) *entryLink {
	for _, l := range e.links {
		if l.agent.name == agent {
			return l
		}
	}
	return nil
}

func (e *entryModel) tick() {
	now := e.w.now
	gap := now.Sub(e.lastTick)
	if e.lastTick.IsZero() {
		gap = 0
	}
	e.lastTick = now
	if gap >= modelPause {
		for id := range e.waiters {
			e.scheduler.GiveUp(id, result.NotReady)
		}
	}
	if gap <= modelLateTick {
		for _, agent := range e.scheduler.Silent(now) {
			if l := e.linkOf(agent); l.link != nil {
				l.link.finish(entryEnd, "silent")
			}
		}
	}
	e.scheduler.Tick(now)
	e.flush()
	for _, l := range e.links {
		interval := modelIdleHeartbeat
		if e.scheduler.HasRuns(l.agent.name) {
			interval = modelBusyHeartbeat
		}
		if now.Sub(l.lastSent) >= interval {
			e.heartbeat(l)
		}
	}
}

func (e *entryModel) heartbeat(l *entryLink) {
	if b, ok := e.scheduler.NextFrame(l.agent.name); ok {
		e.sendBatch(l, b)
	}
}

// flush delivers outcomes to callers and sends batches to agents.
func (e *entryModel) flush() {
	outcomes, batches := e.scheduler.Take()
	for _, d := range e.scheduler.Decisions() {
		e.w.logf("%s decision %d agent %s run %v end %s reason %d", e.name, d.Kind, d.Agent, d.Ref, d.End, d.Reason)
		if d.Kind == jobs.Returned {
			e.w.counts["returned "+d.End.String()]++
		}
	}
	for _, o := range outcomes {
		if s := e.waiters[o.Job]; s != nil {
			delete(e.waiters, o.Job)
			e.answer(s, o)
		}
	}
	for _, b := range batches {
		e.sendBatch(e.linkOf(b.Agent), b)
	}
}

func (e *entryModel) sendBatch(l *entryLink, b jobs.Batch) {
	for _, o := range b.Orders {
		e.w.orders[o.Ref] = e.waiters[jobOfTask(o.Ref.Task)]
		e.w.logf("%s orders %v from %s in frame %d", e.name, o.Ref, l.agent.name, b.Seq)
		e.w.counts["orders"]++
	}
	if l.link == nil {
		return
	}
	l.lastSent = e.w.now
	f := entryFrame{batch: b, hello: b.Seq == 1, ack: l.lastSeq, token: l.token, want: e.scheduler.WaitingDemand(e.w.now, l.agent.name)}
	l.demandSent = f.want.Demand.CPU > 0
	link, agent := l.link, l.agent
	link.send(entryEnd, func() { agent.receive(link, e, f) })
}

func (e *entryModel) receive(l *entryLink, m *linkModel, f agentFrame) {
	if l.link != m {
		return
	}
	now := e.w.now
	l.lastSeq = f.seq
	if f.clock.After(l.token) {
		l.token = f.clock
	}
	e.scheduler.RecordMessage(now, l.agent.name)
	for _, p := range f.progress {
		e.scheduler.Progress(now, l.agent.name, p.ref, p.percent, p.age)
	}
	for _, v := range f.events {
		e.w.logf("%s is told by %s that %v %s %d", e.name, l.agent.name, v.Ref, v.Kind, v.Reason)
		e.scheduler.Event(now, l.agent.name, v)
	}
	if f.server != nil {
		l.server = *f.server
	}
	e.scheduler.Report(now, l.agent.name, jobs.Report{Server: l.server, Free: f.free, Ack: f.ack, Entries: f.entries, ReportsCrashes: true})
	e.flush()
	if now.Sub(l.lastSent) >= modelDemandUpdate && l.demandSent != e.scheduler.HasWaiting(now, l.agent.name) {
		e.heartbeat(l)
	}
}

// submit is called when the entry has read a submission.
func (e *entryModel) submit(s *submission) {
	if s.leftKnown {
		e.w.counts["discarded"]++
		return
	}
	now := e.w.now
	s.admitted = now
	if held, _ := e.scheduler.Has(s.job.id); held {
		// The entry has not learned yet that the connection of the former submission broke.
		e.w.counts["joined"]++
		e.waiters[s.job.id] = s
		return
	}
	o, ok := e.scheduler.Submit(now, jobs.Job{
		ID: s.job.id, Queue: modelQueue, Arrived: now, Deadline: now.Add(modelDeadline),
		Steps: []jobs.Step{{Count: s.job.tasks, Demand: run.Demand{CPU: modelTaskCPU}, Estimate: s.job.runTime}},
	})
	if !ok {
		e.answer(s, o)
		return
	}
	e.w.logf("%s admitted %s", e.name, s.job.id)
	e.w.counts["admitted"]++
	e.waiters[s.job.id] = s
	e.flush()
}

// callerLeft is called when the entry learns that the connection of a caller has broken.
func (e *entryModel) callerLeft(s *submission) {
	if e.waiters[s.job.id] != s {
		return
	}
	e.w.logf("%s abandons %s", e.name, s.job.id)
	e.w.counts["abandoned"]++
	delete(e.waiters, s.job.id)
	e.scheduler.Abandon(s.job.id)
	e.flush()
}

// answer answers a caller, unless its connection has broken.
func (e *entryModel) answer(s *submission, o jobs.Outcome) {
	e.w.logf("%s answers %s with %d %s", e.name, s.job.id, o.Code, o.Effect)
	e.w.after(e.w.between(200*time.Microsecond, time.Millisecond), func() {
		if !s.left.IsZero() || s.answered {
			return
		}
		s.answered = true
		e.forget(s)
		switch {
		case o.Code == 0:
			e.w.counts["completed"]++
		case o.Effect == result.NotRun:
			e.w.counts["refused"]++
			s.job.submit(e.w, e.w.between(0, 100*time.Millisecond))
		default:
			s.job.submit(e.w, modelResendDelay)
		}
	})
}

func (e *entryModel) forget(s *submission) {
	for i, o := range e.open {
		if o == s {
			e.open = append(e.open[:i:i], e.open[i+1:]...)
			return
		}
	}
}

// resetCallers breaks the connections of some callers.
func (e *entryModel) resetCallers(percent int) {
	for _, s := range append([]*submission(nil), e.open...) {
		if e.w.random.IntN(100) < percent {
			e.leave(s)
		}
	}
}

// leave breaks the connection of a caller, who submits the job again later.
func (e *entryModel) leave(s *submission) {
	if s.answered || !s.left.IsZero() {
		return
	}
	s.left = e.w.now
	e.forget(s)
	e.w.logf("caller of %s leaves %s", s.job.id, e.name)
	e.w.after(e.w.between(200*time.Microsecond, 2*time.Millisecond), func() {
		s.leftKnown = true
		e.do(s, func() { e.callerLeft(s) })
	})
	s.job.submit(e.w, modelResendDelay)
}

// maxSubmissions bounds the submissions of one job.
const maxSubmissions = 5

// submit submits the job to a random entry after a delay.
func (j *callerJob) submit(w *linkWorld, delay time.Duration) {
	if j.attempts++; j.attempts > maxSubmissions {
		return
	}
	w.after(delay, func() {
		e := w.entries[w.random.IntN(len(w.entries))]
		s := &submission{job: j, entry: e}
		e.open = append(e.open, s)
		w.after(w.between(200*time.Microsecond, 2*time.Millisecond), func() { e.do(s, func() { e.submit(s) }) })
		if w.random.IntN(12) == 0 {
			w.after(w.between(time.Millisecond, 200*time.Millisecond), func() { e.leave(s) })
		}
	})
}

// submitJobs submits jobs at random times.
func (w *linkWorld) submitJobs() {
	at := time.Duration(0)
	for n := 0; at < time.Duration(modelMS())*time.Millisecond; n++ {
		j := &callerJob{id: fmt.Sprintf("%04x", n), tasks: 2 + w.random.IntN(10), runTime: w.between(20*time.Millisecond, 200*time.Millisecond)}
		j.submit(w, at)
		at += w.between(5*time.Millisecond, 80*time.Millisecond)
	}
}

// jobOfTask returns the ID of the job to which a task belongs.
func jobOfTask(task string) string {
	for i, c := range task {
		if c == '.' {
			return task[:i]
		}
	}
	return task
}
