package sched

import (
	"math/rand/v2"
	"time"

	"poplargw.example/dispatch/estimate"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/submission"
)

// Default values of Options.
const (
	DefaultQueueTasks   = 10000
	DefaultAgentSilence = 3 * time.Second
)

// sweepInterval is the interval between two calls of sweep.
const sweepInterval = time.Minute

// Options configures a Scheduler.
type Options struct {
	// Domain and Region are the location of this entry. Servers there are preferred.
	Domain, Region string
	// QueueTasks is the maximum number of queued tasks. 0 means DefaultQueueTasks.
	QueueTasks int
	// RetryBudget is the number of times that a task is placed again after a refusal. 0
	// means never.
	RetryBudget int
	// AgentSilence is the time without a message after which an agent gets no new tasks.
	// 0 means DefaultAgentSilence.
	AgentSilence time.Duration
	// Picker chooses the server of a task. nil means ExpectedCompletion.
	Picker Picker
}

// Scheduler holds the queued and running jobs of one home entry and its view of the
// agents and backend servers. Use New to create one.
type Scheduler struct {
	opts         Options
	fresh        bool
	entryCount   int       // number of entries that serve submissions
	entryIndex   int       // position of this entry among them
	epoch        time.Time // time of the first event; the order of queues is relative to it
	lastSequence uint64
	lastAttempt  uint32
	rng          *rand.Rand

	services    map[string]*service
	serviceList []*service // in order of creation, so that decisions are reproducible
	teams       map[string]*team
	outDomains  map[string]bool // failure domains that operators have taken out
	outServers  map[string]bool // servers that operators have taken out
	estimates   *estimate.Table[kindKey]
	// waitEnabled lets a task wait briefly for a faster server. It is set only for
	// ExpectedCompletion; the other policies never wait.
	waitEnabled bool
	lastSweep   time.Time

	agents         map[string]*agent
	agentList      []*agent
	jobs           map[submission.Key]*job
	attempts       map[StartRef]*attempt
	orphanedStarts map[submission.Key]int // number of unanswered starts of finished jobs
	deadlines      deadlineHeap
	delayed        delayHeap
	queued         int // number of queued tasks

	dirtyServices    []*service // to be dispatched at the end of the event
	actions          []Action   // emitted during the event
	candidates       []Candidate
	candidateServers []*server
	counters         counters
}

// New returns a scheduler that has no configuration and is not fresh. It refuses every job
// until Configure is called and starts no task until SetFresh is called.
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
	_, waitEnabled := o.Picker.(ExpectedCompletion)
	return &Scheduler{
		opts:           o,
		entryCount:     1,
		rng:            rand.New(rand.NewPCG(1, 2)),
		services:       map[string]*service{},
		teams:          map[string]*team{},
		outDomains:     map[string]bool{},
		outServers:     map[string]bool{},
		estimates:      estimate.New[kindKey](),
		waitEnabled:    waitEnabled,
		agents:         map[string]*agent{},
		jobs:           map[submission.Key]*job{},
		attempts:       map[StartRef]*attempt{},
		orphanedStarts: map[submission.Key]int{},
		counters:       counters{startRefusals: map[result.Code]uint64{}, jobRefusals: map[result.Code]uint64{}},
	}
}

// beginEvent starts the handling of an event.
func (s *Scheduler) beginEvent(now time.Time) {
	if s.epoch.IsZero() {
		s.epoch, s.lastSweep = now, now
	}
}

// endEvent places tasks of the services that the event has marked dirty and returns all
// actions of the event.
func (s *Scheduler) endEvent(now time.Time) []Action {
	for i := 0; i < len(s.dirtyServices); i++ {
		svc := s.dirtyServices[i]
		svc.dirty = false
		s.dispatch(now, svc)
	}
	s.dirtyServices = s.dirtyServices[:0]
	out := s.actions
	s.actions = nil
	return out
}

// markDirty makes endEvent place tasks of a service.
func (s *Scheduler) markDirty(svc *service) {
	if !svc.dirty {
		svc.dirty = true
		s.dirtyServices = append(s.dirtyServices, svc)
	}
}

func (s *Scheduler) markAllDirty() {
	for _, svc := range s.serviceList {
		s.markDirty(svc)
	}
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// SetFresh sets whether this entry is fresh, which means that it may start tasks. While it
// is not, only attach-only starts are emitted.
func (s *Scheduler) SetFresh(now time.Time, fresh bool) []Action {
	s.beginEvent(now)
	if fresh && !s.fresh {
		s.markAllDirty()
	}
	s.fresh = fresh
	return s.endEvent(now)
}

// Tick ends jobs that can no longer meet their deadline, places delayed tasks again and
// stops the use of silent agents. The caller must call it about every 10 ms while it has
// jobs, and several times a second otherwise.
func (s *Scheduler) Tick(now time.Time) []Action {
	s.beginEvent(now)
	s.endExpiredJobs(now)
	s.releaseDelayed(now)
	s.checkSilentAgents(now)
	if now.Sub(s.lastSweep) >= sweepInterval {
		s.lastSweep = now
		s.sweep(now)
	}
	for _, svc := range s.serviceList {
		svc.updateLoad(now)
		if svc.queued > 0 && len(svc.available) > 0 {
			s.markDirty(svc)
		}
	}
	return s.endEvent(now)
}

// sweep discards the health of servers that were removed at least retentionTime ago, and
// the run times of servers that have had none for as long.
func (s *Scheduler) sweep(now time.Time) {
	s.estimates.Sweep(now)
	for _, svc := range s.serviceList {
		for name, d := range svc.removedServers {
			if now.Sub(d.removedAt) >= retentionTime {
				delete(svc.removedServers, name)
			}
		}
	}
}

// Drop discards all jobs and unanswered starts without emitting actions and returns the
// keys of the jobs. Later replies to the starts are ignored.
func (s *Scheduler) Drop(now time.Time) []submission.Key {
	s.beginEvent(now)
	keys := make([]submission.Key, 0, len(s.jobs))
	for k, j := range s.jobs {
		keys = append(keys, k)
		s.removeJob(j)
	}
	for _, a := range s.attempts {
		s.releaseAttempt(a)
	}
	clear(s.attempts)
	clear(s.orphanedStarts)
	s.delayed, s.dirtyServices = nil, s.dirtyServices[:0]
	for _, svc := range s.serviceList {
		svc.dirty = false
	}
	return keys
}
