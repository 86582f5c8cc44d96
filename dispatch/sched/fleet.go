package sched

import (
	"hash/fnv"
	"slices"
	"time"

	"poplargw.example/dispatch/estimate"
	"poplargw.example/dispatch/health"
)

// inFlightAge is the age below which an unanswered start may or may not be included in a
// slot count that arrives: a few round trips of at most 3 ms each and the delay of a busy
// process.
const inFlightAge = 20 * time.Millisecond

// retentionTime is how long the state of a silent agent and the health of a removed
// server are kept.
const retentionTime = 10 * time.Minute

// maxPastIncarnations is the number of earlier incarnations of an agent that are
// remembered to detect late messages. A message is late by seconds at most, and an agent
// rarely restarts that often in this time.
const maxPastIncarnations = 8

// Times for which a server gets no start after a refusal, by the cause of the refusal.
const (
	blockConnection = 20 * time.Millisecond  // no free connection; ending tasks return connections
	blockUnready    = 100 * time.Millisecond // late start, missing acknowledgement or transport failure
	blockClosed     = time.Second            // unknown, leaving or out server, or draining agent; the next report or configuration confirms it
)

// agent is the latest known state of an agent.
type agent struct {
	name             string
	incarnation      string
	pastIncarnations []string // earlier incarnations, oldest first; their late reports are ignored
	reportSequence   uint64   // sequence of the newest report
	countSequence    uint64   // sequence of the newest slot count
	domain           string
	region           string
	draining         bool
	lost             bool
	lastContact      time.Time // time of the last report or slot count
	servers          []*server
	generation       uint64 // number of reports
}

// server is the state of one backend server as this entry knows it.
type server struct {
	Server
	placement    Placement
	agent        *agent
	service      *service
	serviceIndex int // position in service.servers
	estimates    map[string]*estimate.ServerEstimate
	health       *health.Server
	// free is the estimated number of free slots. reportedFree is the last count by the
	// agent, countNumber the number of counts received, and startedSinceCount the number
	// of slots of unanswered starts that were emitted after the last count.
	free              int
	reportedFree      int
	countNumber       uint64
	startedSinceCount int
	recentStarts      []*attempt // unanswered starts in order of emission, pruned by age
	unanswered        []*attempt // in order of emission; may include answered ones, see pruneAnswered
	held              int        // slots of this entry's unanswered starts
	outstanding       int        // number of this entry's unanswered starts
	blockedUntil      time.Time  // end of the pause of starts after a refusal
	reservation       *reservation
	freshSlots        int       // slots that came free at freedAt or shortly before
	returnedSlots     int       // those of freshSlots that this entry's tasks held
	freedAt           time.Time // when free last increased
	drawWindow        uint64    // window of drawResult, see windowDraw
	drawFreedAt       time.Time // freedAt of drawResult
	drawResult        int
	wasOut            bool      // isOut at the last call of updateAvailability
	wasInService      bool      // inService at the last call of updateAvailability
	nameHash          uint32    // rotates the shares of the entries, see serverShare
	countedAt         time.Time // time of the last count
	availableIndex    int       // position in service.available; -1 if not available
	removed           bool
	generation        uint64 // agent.generation of the last report that listed the server
}

// attempt is a StartTask that has not been answered yet.
type attempt struct {
	ref         StartRef
	job         *job
	placement   Placement
	kind        *kind
	server      *server // nil if attachOnly
	team        *team
	incarnation string
	slots       int
	countNumber uint64 // server.countNumber at the time of emission
	emittedAt   time.Time
	attachOnly  bool
	answered    bool
}

// AgentReport replaces the state of an agent by a newer report. Late reports are ignored.
func (s *Scheduler) AgentReport(now time.Time, r AgentReport) []Action {
	s.beginEvent(now)
	a := s.agents[r.Agent]
	if a == nil {
		a = &agent{name: r.Agent}
		s.agents[r.Agent] = a
		s.agentList = append(s.agentList, a)
	}
	switch {
	case a.incarnation != r.Incarnation:
		if slices.Contains(a.pastIncarnations, r.Incarnation) {
			return nil
		}
		s.removeServers(a)
		a.pastIncarnations = append(a.pastIncarnations[max(0, len(a.pastIncarnations)+1-maxPastIncarnations):], a.incarnation)
		a.incarnation, a.reportSequence, a.countSequence = r.Incarnation, 0, 0
	case r.Sequence < a.reportSequence:
		return nil
	}
	a.reportSequence, a.domain, a.region, a.draining = r.Sequence, r.Domain, r.Region, r.Draining
	a.lost, a.lastContact = false, now
	s.updateServers(now, a, r)
	return s.endEvent(now)
}

// updateServers adds, updates and removes the servers of an agent to match its report.
func (s *Scheduler) updateServers(now time.Time, a *agent, r AgentReport) {
	a.generation++
	newest := r.Sequence >= a.countSequence
	a.countSequence = max(a.countSequence, r.Sequence)
	for _, in := range r.Servers {
		v := a.server(in.Name)
		if v != nil && v.Service != in.Service {
			s.removeServer(v)
			v = nil
		}
		if v == nil {
			v = s.addServer(a, in)
		}
		v.generation = a.generation
		s.updateServer(now, v, in, newest)
	}
	for i := len(a.servers) - 1; i >= 0; i-- {
		if a.servers[i].generation != a.generation {
			s.removeServer(a.servers[i])
		}
	}
}

func (a *agent) server(name string) *server {
	for _, v := range a.servers {
		if v.Name == name {
			return v
		}
	}
	return nil
}

// addServer adds a server to its agent and service. If its name belongs to a removed server
// whose health is still kept, it takes over that health.
func (s *Scheduler) addServer(a *agent, in Server) *server {
	svc := s.ensureService(in.Service)
	v := &server{
		Server:    Server{Name: in.Name, Instance: in.Instance, Service: in.Service},
		placement: Placement{Agent: a.name, Server: in.Name}, agent: a, service: svc, availableIndex: -1, serviceIndex: len(svc.servers),
	}
	h := fnv.New32a()
	h.Write([]byte(in.Name))
	v.nameHash = h.Sum32()
	svc.servers = append(svc.servers, v)
	a.servers = append(a.servers, v)
	if d, ok := svc.removedServers[in.Name]; ok {
		v.health = d.health
		svc.health.Restore(v.health)
		delete(svc.removedServers, in.Name)
	} else {
		v.health = svc.health.Add()
	}
	return v
}

// removedServer keeps the health of a server that is no longer announced.
type removedServer struct {
	health    *health.Server
	removedAt time.Time
}

// removeServer takes a server out of its agent and service. Its health is kept for
// retentionTime.
func (s *Scheduler) removeServer(v *server) {
	v.removed = true
	s.updateAvailability(v)
	s.endServerReservation(v)
	svc := v.service
	s.setSlots(v, 0, 0)
	last := svc.servers[len(svc.servers)-1]
	svc.servers[v.serviceIndex], last.serviceIndex = last, v.serviceIndex
	svc.servers = slices.Delete(svc.servers, len(svc.servers)-1, len(svc.servers))
	v.agent.servers = slices.DeleteFunc(v.agent.servers, func(o *server) bool { return o == v })
	svc.health.Remove(v.health)
	svc.removedServers[v.Name] = removedServer{health: v.health, removedAt: v.agent.lastContact}
}

func (s *Scheduler) removeServers(a *agent) {
	for len(a.servers) > 0 {
		s.removeServer(a.servers[len(a.servers)-1])
	}
}

// updateServer applies the reported state of a server. Its slot count is applied only if
// newest is set, since a reply may have carried a newer one.
func (s *Scheduler) updateServer(now time.Time, v *server, in Server, newest bool) {
	if v.Instance != in.Instance {
		v.health.Restarted()
	}
	if v.estimates == nil || !slices.Equal(v.Kinds, in.Kinds) {
		v.estimates = make(map[string]*estimate.ServerEstimate, len(in.Kinds))
		for _, k := range in.Kinds {
			v.estimates[k] = s.estimates.Kind(kindKey{in.Service, k}).ForServer(v.Name)
		}
	}
	s.setSlots(v, in.Slots, v.free)
	v.Server = in
	if before := v.free; newest {
		s.applySlotCount(now, v, in.FreeSlots)
		if v.countNumber > 1 {
			v.recordFreed(now, before, 0)
		}
	}
	s.updateAvailability(v)
	s.markDirty(v.service)
}

// AgentLost stops the placement of tasks at an agent until its next report. Its
// unanswered starts stay outstanding; their outcome still arrives through StartReply.
func (s *Scheduler) AgentLost(now time.Time, name string) []Action {
	s.beginEvent(now)
	if a := s.agents[name]; a != nil {
		a.lost = true
		s.updateAgentAvailability(a)
	}
	return s.endEvent(now)
}

// checkSilentAgents stops the placement of tasks at silent agents and forgets those that
// have been silent for retentionTime.
func (s *Scheduler) checkSilentAgents(now time.Time) {
	for i := len(s.agentList) - 1; i >= 0; i-- {
		a := s.agentList[i]
		silence := now.Sub(a.lastContact)
		if !a.lost && silence >= s.opts.AgentSilence {
			a.lost = true
			s.updateAgentAvailability(a)
		}
		if silence >= retentionTime {
			s.removeServers(a)
			delete(s.agents, a.name)
			s.agentList = slices.Delete(s.agentList, i, i+1)
		}
	}
}

func (s *Scheduler) updateAgentAvailability(a *agent) {
	for _, v := range a.servers {
		s.updateAvailability(v)
	}
}

// isOut reports whether operators have taken the server or its failure domain out of
// service.
func (s *Scheduler) isOut(v *server) bool {
	return s.outServers[v.Name] || s.outDomains[v.agent.domain]
}

// inService reports whether the server may get new tasks if it has free slots.
func (s *Scheduler) inService(v *server) bool {
	return !v.removed && !v.Leaving && !v.agent.draining && !v.agent.lost && !s.isOut(v)
}

// updateAvailability adds the server to the available servers of its service, or removes
// it, according to its state. A server that operators return to service warms up.
func (s *Scheduler) updateAvailability(v *server) {
	in := s.inService(v)
	if in != v.wasInService {
		v.wasInService = in
		v.service.capacity = -1
	}
	if out := s.isOut(v); out != v.wasOut {
		v.wasOut = out
		if !out {
			v.health.WarmUp()
		}
	}
	if !in {
		s.endServerReservation(v)
	}
	svc, available := v.service, in && v.free > 0
	switch {
	case available && v.availableIndex < 0:
		v.availableIndex = len(svc.available)
		svc.available = append(svc.available, v)
	case !available && v.availableIndex >= 0:
		last := len(svc.available) - 1
		svc.available[v.availableIndex] = svc.available[last]
		svc.available[v.availableIndex].availableIndex = v.availableIndex
		svc.available[last] = nil
		svc.available = svc.available[:last]
		v.availableIndex = -1
	}
}
