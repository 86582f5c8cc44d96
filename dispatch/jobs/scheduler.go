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
	fleet    []*server // by agent; loops over it are repeatable
	jobs     map[string]*job
	arrivals uint64
	onTime   []*job // by key
	late     []*job // by key; served when nothing on time can be placed
	out      map[string]bool
	speeds   *estimate.Table[string]
	groups   map[string]*health.Group
	// suspended are suspended backend servers whose agents were released, by instance.
	suspended map[string]*health.Server
	outcomes  []Outcome
	notes     []Note
	dirty     map[string]*server
	leaving   bool
	intakes   map[string]*intake   // by service
	promised  map[string]*promises // by service
	expected  expectation
	opening   int                     // agents to which links are being opened
	partial   bool                    // there are agents without a link that are not being opened
	unfit     bool                    // a job was refused because it fits on no known backend server
	paces     map[string]servicePaces // by service
	single    [1]*server              // argument of dispatchTo, kept to save an allocation
}

// expectation is the number of agents that are about to connect after the entry's own start.
type expectation struct {
	agents int
	until  time.Time
}

// New returns a scheduler without servers.
func New(limits Limits) *Scheduler {
	return &Scheduler{
		limits:    limits,
		servers:   map[string]*server{},
		jobs:      map[string]*job{},
		out:       map[string]bool{},
		speeds:    estimate.New[string](),
		groups:    map[string]*health.Group{},
		suspended: map[string]*health.Server{},
		paces:     map[string]servicePaces{},
		dirty:     map[string]*server{},
		intakes:   map[string]*intake{},
		promised:  map[string]*promises{},
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

// SetOpening tells the scheduler to how many agents links are being opened, besides those that it knows: a
// job that they have room for is not rejected in the few milliseconds which that takes.
func (s *Scheduler) SetOpening(agents int) { s.opening = agents }

// SetPartial tells the scheduler whether there are agents that it does not know: a job that fits on none of
// those that it knows may then fit elsewhere.
func (s *Scheduler) SetPartial(partial bool) { s.partial = partial }

// TakeUnfit tells whether a job was refused since the last call because it fits on no known backend server.
func (s *Scheduler) TakeUnfit() bool {
	unfit := s.unfit
	s.unfit = false
	return unfit
}

// Warming tells whether agents are known that may still connect after the entry's own start.
func (s *Scheduler) Warming(now time.Time) bool {
	if !now.Before(s.expected.until) {
		return false
	}
	known := 0
	for _, v := range s.fleet {
		if v.live && v.reported && v.state.State != run.Absent {
			known++
		}
	}
	return known < s.expected.agents
}

// Servers returns the number of backend servers that take work.
func (s *Scheduler) Servers() int {
	n := 0
	for _, v := range s.fleet {
		if v.takes(s.out) {
			n++
		}
	}
	return n
}

// Stats returns what the scheduler holds.
func (s *Scheduler) Stats() Stats {
	st := Stats{Jobs: len(s.jobs)}
	st.Servers = s.Servers()
	for _, v := range s.fleet {
		st.Runs += len(v.runs)
	}
	for _, j := range s.inOrder() {
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
	for _, j := range s.inOrder() {
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

// Submit takes a job in, or rejects it at once: then the outcome is final and nothing has run.
func (s *Scheduler) Submit(now time.Time, in Job) (Outcome, bool) {
	if code := s.refuse(now, in); code != 0 {
		return Outcome{Job: in.ID, Code: code, Effect: result.NotRun, RetryAfter: retryLater}, false
	}
	j := newJob(in)
	j.key = s.keyOf(j)
	if wait, ok := s.admissible(now, j); !ok {
		return s.turnAway(now, j, wait), false
	}
	s.admitted(now, j)
	s.arrivals++
	j.number = s.arrivals
	s.jobs[j.ID] = j
	s.enqueue(now, j)
	s.dispatchJob(now, j)
	return Outcome{}, true
}

// retryLater is the advice when the entry cannot tell when there will be room.
const retryLater = time.Second

func (s *Scheduler) refuse(now time.Time, in Job) result.Code {
	if s.leaving {
		return result.Draining
	}
	known := false
	for _, v := range s.fleet {
		if !v.takes(s.out) || v.state.Service != in.Queue.Service {
			continue
		}
		known = true
	}
	if !known && s.Warming(now) {
		return 0
	}
	if !known {
		return result.NotReady
	}
	for _, step := range in.Steps {
		if s.everFits(in.Queue.Service, step) {
			continue
		}
		if s.partial {
			s.unfit = true
			return result.NotReady
		}
		return result.CannotRun
	}
	return 0
}

func (s *Scheduler) everFits(service string, step Step) bool {
	for _, v := range s.fleet {
		if v.state.Service == service && step.Demand.Fits(v.state.Room) && v.state.HasLabel(step.Label) {
			return true
		}
	}
	return false
}

// inOrder returns the jobs in the order of their arrival.
func (s *Scheduler) inOrder() []*job {
	list := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		list = append(list, j)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].number < list[b].number })
	return list
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
	o.Aim = j.aim()
	if o.Code != 0 {
		o.Effect = result.NotRun
		if j.mayHaveRun() {
			o.Effect = result.Run
		}
	}
	s.outcomes = append(s.outcomes, o)
	s.drop(j)
}
