package jobs

import (
	"sort"
	"time"

	"poplargw.example/dispatch/estimate"
	"poplargw.example/dispatch/health"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// Scheduler holds the jobs of one entry. See New.
type Scheduler struct {
	limits   Limits
	servers  map[string]*server
	jobs     map[string]*job
	onTime   []*job // by key
	late     []*job // by key; served when nothing on time can be placed
	out      map[string]bool
	speeds   *estimate.Table[string]
	groups   map[string]*health.Group
	outcomes []Outcome
	notes    []Note
	dirty    map[string]*server
	leaving  bool
	expected expectation
}

// expectation is the number of agents that are about to connect after the entry's own start.
type expectation struct {
	agents int
	until  time.Time
}

// New returns a scheduler without servers.
func New(limits Limits) *Scheduler {
	return &Scheduler{
		limits:  limits,
		servers: map[string]*server{},
		jobs:    map[string]*job{},
		out:     map[string]bool{},
		speeds:  estimate.New[string](),
		groups:  map[string]*health.Group{},
		dirty:   map[string]*server{},
	}
}

// Leave makes the scheduler reject all further jobs, because the entry stops.
func (s *Scheduler) Leave() { s.leaving = true }

// SetOut replaces the failure domains that are out of service.
func (s *Scheduler) SetOut(domains []string) {
	s.out = make(map[string]bool, len(domains))
	for _, d := range domains {
		s.out[d] = true
	}
}

// warmUp is how long after its start an entry counts on agents that it knows of and has no link to yet.
// When everything starts at once, most links are open after 0.2 s, and backend servers announce
// themselves within 1.5 s.
const warmUp = 1500 * time.Millisecond

// Expect tells the scheduler how many agents are known.
func (s *Scheduler) Expect(now time.Time, agents int) {
	if s.expected.until.IsZero() {
		s.expected.until = now.Add(warmUp)
	}
	s.expected.agents = agents
}

// warming tells whether agents are known that may still connect after the entry's own start.
func (s *Scheduler) warming(now time.Time) bool {
	if !now.Before(s.expected.until) {
		return false
	}
	known := 0
	for _, v := range s.servers {
		if v.live && v.reported && v.state.State != run.Absent {
			known++
		}
	}
	return known < s.expected.agents
}

// Stats returns what the scheduler holds.
func (s *Scheduler) Stats() Stats {
	st := Stats{Jobs: len(s.jobs)}
	for _, v := range s.servers {
		st.Runs += len(v.runs)
		if v.takes(s.out) {
			st.Servers++
		}
	}
	for _, j := range s.jobs {
		if j.started.IsZero() {
			st.Unstarted++
		}
		for _, t := range j.tasks {
			if t.state == waiting {
				st.WaitingTasks++
			}
		}
	}
	return st
}

// Waiting returns the number of the queue's jobs of which no task has started.
func (s *Scheduler) Waiting(queue string) int {
	n := 0
	for _, j := range s.jobs {
		if j.Queue.Name == queue && j.started.IsZero() {
			n++
		}
	}
	return n
}

// Has tells whether the job is here, and whether one of its tasks has started.
func (s *Scheduler) Has(id string) (here, started bool) {
	j := s.jobs[id]
	return j != nil, j != nil && !j.started.IsZero()
}

// HasWaiting tells whether tasks wait for a place.
func (s *Scheduler) HasWaiting() bool { return s.Want().Demand.CPU > 0 }

// Want is what the tasks that wait for a place need in all, and the latest start of the most urgent.
type Want struct {
	Demand  run.Demand
	Urgency time.Time
}

// wantedJobs bounds how many waiting jobs the demand told to agents covers.
const wantedJobs = 8

// Want returns what waits for a place, from the jobs that come first. Late jobs count as less urgent
// than all others.
func (s *Scheduler) Want() Want {
	var w Want
	covered := 0
	for _, list := range [][]*job{s.onTime, s.late} {
		for _, j := range list {
			if covered == wantedJobs {
				return w
			}
			covered++
			if covered == 1 {
				w.Urgency = j.key
				if j.late {
					w.Urgency = j.key.Add(lateUrgency)
				}
			}
			for _, t := range j.tasks {
				if t.state == waiting && j.runnable(t) {
					w.Demand = w.Demand.Plus(j.Steps[t.step].Demand)
				}
			}
		}
	}
	return w
}

// lateUrgency puts late jobs behind those of other entries that can still meet their objective.
const lateUrgency = 10 * time.Second

// Submit takes a job in, or rejects it at once: then the outcome is final and nothing has run.
func (s *Scheduler) Submit(now time.Time, in Job) (Outcome, bool) {
	if code := s.refuse(now, in); code != 0 {
		return Outcome{Job: in.ID, Code: code, Effect: result.NotRun, RetryAfter: retryLater}, false
	}
	j := newJob(in)
	j.key = s.keyOf(j)
	if wait, ok := s.admissible(now, j); !ok {
		return Outcome{Job: in.ID, Code: result.DeadlineUnmet, Effect: result.NotRun, RetryAfter: wait}, false
	}
	s.jobs[j.ID] = j
	s.enqueue(now, j)
	s.dispatch(now)
	return Outcome{}, true
}

// retryLater is the advice when the entry cannot tell when there will be room.
const retryLater = time.Second

func (s *Scheduler) refuse(now time.Time, in Job) result.Code {
	if s.leaving {
		return result.Draining
	}
	known := false
	for _, v := range s.servers {
		if !v.takes(s.out) || v.state.Service != in.Queue.Service {
			continue
		}
		known = true
	}
	if !known && s.warming(now) {
		return 0
	}
	if !known {
		return result.NotReady
	}
	for _, step := range in.Steps {
		if !s.everFits(in.Queue.Service, step) {
			return result.CannotRun
		}
	}
	return 0
}

func (s *Scheduler) everFits(service string, step Step) bool {
	for _, v := range s.servers {
		if v.state.Service == service && step.Demand.Fits(v.state.Room) && v.state.HasLabel(step.Label) {
			return true
		}
	}
	return false
}

// Abandon drops a job whose caller has gone or has cancelled it, and stops its runs.
func (s *Scheduler) Abandon(id string) {
	if j := s.jobs[id]; j != nil {
		s.drop(j)
	}
}

// GiveUp ends a job with the code; a job of which nothing has run is "not run".
func (s *Scheduler) GiveUp(id string, code result.Code) {
	if j := s.jobs[id]; j != nil {
		s.finish(j, Outcome{Code: code, RetryAfter: retryLater})
	}
}

// Cancel ends a job on behalf of its caller.
func (s *Scheduler) Cancel(id string) { s.GiveUp(id, result.Cancelled) }

// drop removes a job and stops its runs.
func (s *Scheduler) drop(j *job) {
	delete(s.jobs, j.ID)
	s.dequeue(j)
	for _, t := range j.tasks {
		if t.run != nil {
			s.stop(t.run)
		}
	}
}

// finish ends a job with an outcome for its caller.
func (s *Scheduler) finish(j *job, o Outcome) {
	o.Job = j.ID
	o.Started = j.started
	if o.Code != 0 {
		o.Effect = result.NotRun
		if j.mayHaveRun() {
			o.Effect = result.Run
		}
	}
	s.outcomes = append(s.outcomes, o)
	s.drop(j)
}

func (s *Scheduler) stop(a *attempt) {
	if a.stopped {
		return
	}
	a.stopped = true
	b := s.batch(a.server)
	b.Stops = append(b.Stops, a.ref)
}

// batch returns what the agent is to be told next.
func (s *Scheduler) batch(v *server) *Batch {
	s.dirty[v.agent] = v
	return &v.batch
}

// Take returns the outcomes and the batches since the last call. Batches for agents without a link
// are dropped: the runs are claimed when the link is back.
func (s *Scheduler) Take() ([]Outcome, []Batch) {
	outcomes := s.outcomes
	s.outcomes = nil
	var batches []Batch
	for _, v := range s.dirty {
		if v.live {
			batches = append(batches, s.next(v))
		}
		v.batch = Batch{}
	}
	clear(s.dirty)
	return outcomes, batches
}

// Notes returns what logs should show since the last call.
func (s *Scheduler) Notes() []Note {
	n := s.notes
	s.notes = nil
	return n
}

func (s *Scheduler) note(n Note) {
	if len(s.notes) < maxNotes {
		s.notes = append(s.notes, n)
	}
}

// maxNotes bounds the notes that nobody has taken yet.
const maxNotes = 4096

// next numbers the frame and notes which orders it carries.
func (s *Scheduler) next(v *server) Batch {
	v.seq++
	b := v.batch
	b.Agent, b.Seq = v.agent, v.seq
	for _, o := range b.Orders {
		if a := v.runs[o.Ref]; a != nil {
			a.seq = v.seq
		}
	}
	return b
}

// Beat numbers an empty frame to the agent.
func (s *Scheduler) Beat(agent string) (Batch, bool) {
	v := s.servers[agent]
	if v == nil || !v.live {
		return Batch{}, false
	}
	b := s.next(v)
	v.batch = Batch{}
	delete(s.dirty, agent)
	return b, true
}

// Busy tells whether runs of this entry may be at the agent.
func (s *Scheduler) Busy(agent string) bool {
	v := s.servers[agent]
	return v != nil && len(v.runs) > 0
}

// enqueue puts a job with waiting tasks into the queue. A job that has begun comes first, so that
// none waits long for its last task.
func (s *Scheduler) enqueue(now time.Time, j *job) {
	if j.queued {
		return
	}
	j.queued = true
	j.key = s.keyOf(j)
	j.late = now.Add(j.work).After(j.objective)
	list := s.list(j)
	i := sort.Search(len(*list), func(i int) bool { return (*list)[i].key.After(j.key) })
	*list = append(*list, nil)
	copy((*list)[i+1:], (*list)[i:])
	(*list)[i] = j
}

// keyOf is the job's place in the queue: its latest start, moved by its priority.
func (s *Scheduler) keyOf(j *job) time.Time {
	key := j.objective.Add(-j.work).Add(time.Duration(j.Queue.Priority) * priorityStep)
	if !j.started.IsZero() {
		key = key.Add(-startedBonus)
	}
	return key
}

const (
	// priorityStep is how much later than its latest start a job counts for each priority number.
	priorityStep = 50 * time.Millisecond
	// startedBonus puts a job that has begun before jobs that have not.
	startedBonus = time.Second
)

func (s *Scheduler) list(j *job) *[]*job {
	if j.late {
		return &s.late
	}
	return &s.onTime
}

func (s *Scheduler) dequeue(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	list := s.list(j)
	for i, o := range *list {
		if o == j {
			*list = append((*list)[:i], (*list)[i+1:]...)
			return
		}
	}
}

// newRun numbers a run. Numbers rise over all entries that may start the task.
func (s *Scheduler) newRun(now time.Time, t *task) run.Ref {
	t.lastRun = max(t.lastRun+1, uint64(now.UnixMilli()+s.limits.RunOffset))
	return run.Ref{Task: t.name, Run: t.lastRun}
}
