package sched

import (
	"math/rand/v2"
	"time"

	"poplargw.example/dispatch/estimate"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/submission"
)

// Defaults of Options.
const (
	DefaultQueueTasks   = 10000
	DefaultAgentSilence = 3 * time.Second
)

// sweepEvery is the interval at which what belongs to departed servers is forgotten.
const sweepEvery = time.Minute

// Options configure a Scheduler.
type Options struct {
	// Domain and Region are the location of this entry; servers there are preferred.
	Domain, Region string
	// QueueTasks is the largest number of queued tasks; 0 means DefaultQueueTasks.
	QueueTasks int
	// RetryBudget is how often one task is placed again after a refusal; 0 means never.
	RetryBudget int
	// AgentSilence is the time without a message after which an agent gets no new
	// tasks; 0 means DefaultAgentSilence.
	AgentSilence time.Duration
	// Picker chooses the server of a task; nil means ExpectedCompletion.
	Picker Picker
}

// Scheduler is the queue and the view of the fleet of one home entry.
type Scheduler struct {
	opts     Options
	active   bool
	entries  int
	index    int // position of this entry among them
	base     time.Time
	sequence uint64
	attempt  uint32
	rng      *rand.Rand

	services    map[string]*service
	serviceList []*service // in order of creation, so that decisions are reproducible
	teams       map[string]*team
	domains     map[string]bool // failure domains out
	outNames    map[string]bool // servers out
	estimates   *estimate.Table[kindName]
	// holdSlow makes a task wait shortly for a faster server; the baselines never wait.
	holdSlow bool
	swept    time.Time

	agents    map[string]*agent
	agentList []*agent
	jobs      map[submission.Key]*job
	attempts  map[StartRef]*attempt
	orphans   map[submission.Key]int // unanswered starts of finished jobs
	deadlines deadlineHeap
	delayed   delayHeap
	queued    int

	dirty      []*service
	actions    []Action
	candidates []Candidate
	servers    []*server
	counters   counters
}

// New returns an inactive scheduler without configuration. It refuses every job
// until Configure is called.
func New(o Options) *Scheduler {
	if o.QueueTasks == 0 {
		o.QueueTasks = DefaultQueueTasks
	}
	if o.AgentSilence == 0 {
		o.AgentSilence = DefaultAgentSilence
	}
	if o.Picker == nil {
		o.Picker = ExpectedCompletion{}
	}
	_, hold := o.Picker.(ExpectedCompletion)
	return &Scheduler{
		opts:      o,
		entries:   1,
		rng:       rand.New(rand.NewPCG(1, 2)),
		services:  map[string]*service{},
		teams:     map[string]*team{},
		domains:   map[string]bool{},
		outNames:  map[string]bool{},
		estimates: estimate.New[kindName](),
		holdSlow:  hold,
		agents:    map[string]*agent{},
		jobs:      map[submission.Key]*job{},
		attempts:  map[StartRef]*attempt{},
		orphans:   map[submission.Key]int{},
		counters:  counters{refusals: map[result.Code]uint64{}, refused: map[result.Code]uint64{}},
	}
}

// begin starts the handling of one event.
func (s *Scheduler) begin(now time.Time) {
	if s.base.IsZero() {
		s.base, s.swept = now, now
	}
}

// end places tasks of the services that the event touched and returns all actions.
func (s *Scheduler) end(now time.Time) []Action {
	for i := 0; i < len(s.dirty); i++ {
		sv := s.dirty[i]
		sv.dirty = false
		s.dispatch(now, sv)
	}
	s.dirty = s.dirty[:0]
	out := s.actions
	s.actions = nil
	return out
}

func (s *Scheduler) touch(sv *service) {
	if !sv.dirty {
		sv.dirty = true
		s.dirty = append(s.dirty, sv)
	}
}

func (s *Scheduler) touchAll() {
	for _, sv := range s.serviceList {
		s.touch(sv)
	}
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// SetActive tells whether this entry is fresh. While it is not, only attach-only
// starts are emitted.
func (s *Scheduler) SetActive(now time.Time, active bool) []Action {
	s.begin(now)
	if active && !s.active {
		s.touchAll()
	}
	s.active = active
	return s.end(now)
}

// Submit queues a job. A refusal is a FinishJob with effect NotRun, unless the job
// has tasks that an agent has already started. A key that is already queued or
// running is ignored.
func (s *Scheduler) Submit(now time.Time, j Job) []Action {
	s.begin(now)
	if _, ok := s.jobs[j.Key]; ok {
		return nil
	}
	if f := s.refuse(now, &j); f != nil {
		s.counters.refused[f.Code]++
		s.emit(FinishJob{Key: j.Key, Outcome: Outcome{Failure: f}})
		return s.end(now)
	}
	s.accept(now, j)
	return s.end(now)
}

func (s *Scheduler) accept(now time.Time, in Job) {
	s.sequence++
	sv := s.services[in.Service]
	j := &job{
		Job: in, service: sv, team: s.teams[in.Team], arrived: now, sequence: s.sequence,
		remaining: len(in.Tasks), tasks: make([]task, len(in.Tasks)), results: make([][]byte, len(in.Tasks)),
		size: sizeOf(len(in.Tasks)), deadlineIndex: -1,
	}
	s.jobs[in.Key] = j
	if len(in.Tasks) == 0 {
		s.complete(j)
		return
	}
	for i := len(in.Tasks) - 1; i >= 0; i-- {
		if in.Tasks[i].Prior == nil {
			s.push(j, uint32(i))
		}
	}
	for i := range in.Tasks {
		if in.Tasks[i].Prior != nil {
			j.mayHaveRun = true
			s.attach(now, j, uint32(i))
		}
	}
	for _, l := range j.lanes {
		s.enqueue(l)
	}
	s.schedule(j)
	s.touch(sv)
}

// Cancel ends a job. Queued tasks never start; notStarted is their number. The work
// does not depend on the number of queued tasks.
func (s *Scheduler) Cancel(now time.Time, k submission.Key) (notStarted int, actions []Action) {
	s.begin(now)
	j := s.jobs[k]
	if j == nil {
		return 0, nil
	}
	n := j.notStarted()
	s.fail(now, j, result.Failure{Code: result.Cancelled, Message: "the job was cancelled"})
	return n, s.end(now)
}

// Tick ends jobs whose deadline has passed, releases delayed tasks and stops the use
// of silent agents. It is called about every 10 ms.
func (s *Scheduler) Tick(now time.Time) []Action {
	s.begin(now)
	s.expire(now)
	s.release(now)
	s.checkAgents(now)
	if now.Sub(s.swept) >= sweepEvery {
		s.swept = now
		s.sweep(now)
	}
	for _, sv := range s.serviceList {
		sv.measureLoad(now)
		if sv.queued > 0 && len(sv.open) > 0 {
			s.touch(sv)
		}
	}
	return s.end(now)
}

// sweep forgets what has been learned of servers that are long gone.
func (s *Scheduler) sweep(now time.Time) {
	s.estimates.Sweep(now)
	for _, sv := range s.serviceList {
		for name, d := range sv.departed {
			if now.Sub(d.at) >= forgetAgent {
				delete(sv.departed, name)
			}
		}
	}
}

// Drop forgets all jobs and unanswered starts without actions and returns the keys
// of the jobs. Later replies to the starts are ignored.
func (s *Scheduler) Drop(now time.Time) []submission.Key {
	s.begin(now)
	keys := make([]submission.Key, 0, len(s.jobs))
	for k, j := range s.jobs {
		keys = append(keys, k)
		s.remove(j)
	}
	for _, a := range s.attempts {
		s.settle(a)
	}
	clear(s.attempts)
	clear(s.orphans)
	s.delayed, s.dirty = nil, s.dirty[:0]
	for _, sv := range s.serviceList {
		sv.dirty = false
	}
	return keys
}

// complete ends a job whose tasks all have results.
func (s *Scheduler) complete(j *job) {
	s.remove(j)
	s.emit(FinishJob{Key: j.Key, Outcome: Outcome{Results: j.results}})
}

// fail ends a job with the failure f, whose effect is set to what is known of the job.
// Nothing has been lost with effect NotRun, so the caller is told when to come back.
func (s *Scheduler) fail(now time.Time, j *job, f result.Failure) {
	f.Effect = j.effect()
	if f.Effect == result.NotRun && f.RetryAfter == 0 && comesBack(f.Code) {
		f.RetryAfter = s.retryAfter(j.service)
	}
	s.remove(j)
	s.emit(FinishJob{Key: j.Key, Outcome: Outcome{Failure: &f}})
}

// remove takes a job out of all structures. Its unanswered starts stay recorded.
func (s *Scheduler) remove(j *job) {
	j.done = true
	for _, l := range j.lanes {
		s.dequeue(l)
		l.waiting = nil
	}
	s.unschedule(j)
	delete(s.jobs, j.Key)
	if j.outstanding > 0 {
		s.orphans[j.Key] += j.outstanding
	}
	s.touch(j.service)
}
