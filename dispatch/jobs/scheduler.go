package jobs

import (
	"sort"
	"time"

	"poplargw.example/dispatch/estimate"
	"poplargw.example/dispatch/health"
	"poplargw.example/dispatch/interference"
	"poplargw.example/dispatch/run"
)

// Scheduler holds the jobs of one entry and the backend servers that it knows. Create it with New.
type Scheduler struct {
	limits       Limits
	servers      map[string]*server
	fleet        []*server // the values of servers, ordered by agent so that iteration is deterministic
	jobs         map[string]*job
	arrivals     uint64                   // number of jobs admitted so far
	onTime       []*job                   // queue of the jobs that can still meet their objective, by queueKey
	late         []*job                   // queue of the others, by queueKey; placed after onTime
	outOfService map[string]bool          // failure domains that are out of service
	speeds       *estimate.Table[string]  // by service and instance
	groups       map[string]*health.Group // by service
	// suspended holds the health of suspended backend servers whose agents were removed, by instance.
	suspended      map[string]*health.Server
	outcomes       []Outcome
	decisions      []Decision
	dirty          map[string]*server // servers with a batch to send, by agent
	leaving        bool               // the entry stops
	leavesAt       time.Time          // when it has to stop, while leaving is set
	admissionRates map[loadKey]*admissionRate
	localDemands   map[dataKey]*localDemand
	retrySchedules map[loadKey]*retrySchedule
	crashes        *crashLog
	bulkheads      *bulkheads
	expected       expectation
	opening        int                         // number of agents to which links are being opened
	partial        bool                        // some agents have no link and none is being opened
	jobRefused     bool                        // a job was refused because it fits on no known backend server
	slowdowns      map[string]serviceSlowdowns // by service
	declaredErrors map[string]*declaredError   // by service
	tails          map[string]*runTimeTail     // by service
	registrars     []string                    // agents that may record owners of jobs
	ownerships     map[string]*ownership       // by job
	missing        map[string]time.Time        // agents that were removed because of their silence, with their newest message
	cancels        map[string]*cancel          // by job
	cancelOrder    []*cancel                   // the values of cancels, oldest first
	// linkChanges counts the changes of which agents are reachable as registrars.
	linkChanges uint64
	// registrarListed holds when each registrar was first listed, connectedSince since when the entry has had a link.
	registrarListed map[string]time.Time
	connectedSince  time.Time
	registrarSeen   time.Time // when a registrar was reachable last, as far as observeRegistrars was called
	// firstListed is when the entry had its first list of registrars, registrarLost when it lost its newest link to each.
	firstListed   time.Time
	registrarLost map[string]time.Time
	// everRegistrar holds the agents that have been listed as registrars. Others record owners as well, but no entry asks them.
	everRegistrar map[string]bool
	// lostLinks are those that were lost within Limits.OwnerLostAfter; formerLost is the result of lastFormerLost at formerLostAt,
	// when linkChanges and startChanges together were formerLostChanges.
	lostLinks                []lostLink
	formerLost, formerLostAt time.Time
	formerLostChanges        uint64
	// runsEndedFor is the newest start of a registrar for which it was shown that all runs from before the loss of its records
	// have ended; zero if that was not shown since the newest loss.
	runsEndedFor time.Time
	// knownAgents are those that the store lists. listedElsewhere holds the incarnations of those that have told other entries
	// that their runs are listed, by agent; allListed is the result of allRunsListed at listedAt.
	knownAgents     []string
	listedElsewhere map[string]string
	listedAt        time.Time
	listedChanges   uint64 // value of linkChanges and startChanges together at that time
	allListed       bool
	recordWaits     []RecordWait // of jobs that wait no longer, not yet taken
	// startChanges counts the changes of the known starts of agents, oldest is the earliest of these starts.
	startChanges uint64
	oldest       linkedStart
	lastRequest  uint64                         // number of the newest request for a job
	interference map[string]*interference.Model // by service
	singleServer [1]*server                     // argument of dispatchTo, kept to avoid an allocation
	// queueLoads holds the load of each queue, reserves the capacity that is kept free for the more urgent ones.
	queueLoads map[queueName]*queueLoad
	reserves   map[reserveKey]reserve
}

// expectation is the number of agents that are expected to connect, until a time after the start of the
// entry.
type expectation struct {
	agents int
	until  time.Time
}

// New returns a scheduler without backend servers.
func New(limits Limits) *Scheduler {
	return &Scheduler{
		limits:         limits,
		servers:        map[string]*server{},
		jobs:           map[string]*job{},
		outOfService:   map[string]bool{},
		speeds:         estimate.New[string](),
		groups:         map[string]*health.Group{},
		suspended:      map[string]*health.Server{},
		slowdowns:      map[string]serviceSlowdowns{},
		declaredErrors: map[string]*declaredError{},
		tails:          map[string]*runTimeTail{},
		dirty:          map[string]*server{},
		admissionRates: map[loadKey]*admissionRate{},
		localDemands:   map[dataKey]*localDemand{},
		retrySchedules: map[loadKey]*retrySchedule{},
		crashes:        newCrashLog(),
		bulkheads:      newBulkheads(),
		ownerships:     map[string]*ownership{},
		missing:        map[string]time.Time{},
		cancels:        map[string]*cancel{},
		queueLoads:     map[queueName]*queueLoad{},
		reserves:       map[reserveKey]reserve{},
		registrarLost:  map[string]time.Time{},
		everRegistrar:  map[string]bool{},

		listedElsewhere: map[string]string{},
		interference:    map[string]*interference.Model{},
	}
}

// Leave records that the entry is stopping and has to answer its callers until the given time. From then on it takes only
// jobs whose results are of no use to their callers after that time.
func (s *Scheduler) Leave(until time.Time) { s.leaving, s.leavesAt = true, until }

// SetDomainsOut replaces the set of failure domains that are out of service.
func (s *Scheduler) SetDomainsOut(domains []string) {
	s.outOfService = make(map[string]bool, len(domains))
	for _, d := range domains {
		s.outOfService[d] = true
	}
}

// warmUp is how long after its start an entry counts on known agents without a link. When all processes
// start at once, most links are open after 0.2 s, and backend servers announce themselves within 1.5 s.
const warmUp = 1500 * time.Millisecond

// SetExpectedAgents sets the number of known agents. The first call starts the warm-up period.
func (s *Scheduler) SetExpectedAgents(now time.Time, agents int) {
	if s.expected.until.IsZero() {
		s.expected.until = now.Add(warmUp)
	}
	s.expected.agents = agents
}

// SetOpening sets the number of further agents to which links are being opened. Their capacity counts
// in admission, so that jobs are not rejected in the few milliseconds before the links are open.
func (s *Scheduler) SetOpening(agents int) { s.opening = agents }

// SetPartial sets whether there are agents that have no link to the entry and to which none is being
// opened. A job that fits on no known backend server may then fit on one of theirs.
func (s *Scheduler) SetPartial(partial bool) { s.partial = partial }

// TakeJobRefused reports whether a job was refused since the last call because it fits on no known
// backend server.
func (s *Scheduler) TakeJobRefused() bool {
	refused := s.jobRefused
	s.jobRefused = false
	return refused
}

// WarmingUp reports whether the entry is in its warm-up period and some known agents have not connected
// yet.
func (s *Scheduler) WarmingUp(now time.Time) bool {
	if !now.Before(s.expected.until) {
		return false
	}
	known := 0
	for _, v := range s.fleet {
		if v.linked && v.reported && v.state.State != run.Absent {
			known++
		}
	}
	return known < s.expected.agents
}

// Servers returns the number of backend servers that accept tasks.
func (s *Scheduler) Servers() int {
	n := 0
	for _, v := range s.fleet {
		if v.acceptsTasks(s.outOfService) {
			n++
		}
	}
	return n
}

// Stats returns the numbers of jobs, tasks, runs and servers that the scheduler holds.
func (s *Scheduler) Stats() Stats {
	st := Stats{Jobs: len(s.jobs)}
	st.Servers = s.Servers()
	for _, r := range s.reserves {
		st.ReservedPermille = max(st.ReservedPermille, int(1000*min(maxReservedFraction, r.fraction)))
	}
	for _, v := range s.servers {
		st.Runs += len(v.runs)
		for _, a := range v.runs {
			if a.localityFactor > 1 {
				st.FarRuns++
			}
		}
	}
	for _, d := range s.localDemands {
		st.PlacesKept += d.kept * d.near.servers
	}
	for _, j := range s.jobsByArrival() {
		if j.startedAt.IsZero() {
			st.Unstarted++
		}
		for _, t := range j.tasks {
			if t.state == taskWaiting {
				st.WaitingTasks++
			}
		}
	}
	return st
}

// Waiting returns the number of jobs of the queue of which no task has started.
func (s *Scheduler) Waiting(queue string) int {
	n := 0
	for _, j := range s.jobsByArrival() {
		if j.Queue.Name == queue && j.startedAt.IsZero() {
			n++
		}
	}
	return n
}

// Has reports whether the scheduler holds the job, and whether one of its tasks has started.
func (s *Scheduler) Has(id string) (held, started bool) {
	j := s.jobs[id]
	return j != nil, j != nil && !j.startedAt.IsZero()
}

// jobsByArrival returns the jobs in the order of their arrival.
func (s *Scheduler) jobsByArrival() []*job {
	list := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		list = append(list, j)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].arrivalNumber < list[b].arrivalNumber })
	return list
}
