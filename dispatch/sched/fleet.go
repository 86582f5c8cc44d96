package sched

import (
	"hash/fnv"
	"slices"
	"time"

	"poplargw.example/dispatch/estimate"
	"poplargw.example/dispatch/health"
)

// inFlight is the age below which an unanswered start may or may not be included in
// the slot count of a message that arrives: a few round trips (at most 3 ms each)
// and the delay of a busy process.
const inFlight = 20 * time.Millisecond

// forgetAgent is how long a silent agent and the health of a departed server are kept.
const forgetAgent = 10 * time.Minute

// pastIncarnations is the number of earlier incarnations of an agent that are
// remembered. A message is late by seconds at most, in which an agent restarts rarely.
const pastIncarnations = 8

// Times for which a server gets no start after a refusal.
const (
	blockConnection = 20 * time.Millisecond  // connections are returned by ending tasks
	blockUnready    = 100 * time.Millisecond // transport failures, acknowledgements and late starts
	blockClosed     = time.Second            // the next report or configuration confirms it
)

// agent is the newest known state of an agent.
type agent struct {
	name        string
	incarnation string
	past        []string // the last incarnations before; their late reports are ignored
	reported    uint64   // sequence of the newest report
	counted     uint64   // sequence of the newest slot count
	domain      string
	region      string
	draining    bool
	lost        bool
	heard       time.Time
	servers     []*server
	generation  uint64
}

// server is the view of one backend server.
type server struct {
	Server
	at       Placement
	agent    *agent
	service  *service
	position int // in service.servers
	cells    map[string]*estimate.Cell
	health   *health.Server
	// free estimates the slots that this entry can use; counted is the agent's last
	// count, counts the number of counts so far, and since the slots of unanswered
	// starts emitted after the last count.
	free       int
	counted    int
	counts     uint64
	since      int
	recent     []*attempt // unanswered starts in order of emission, pruned by age
	unanswered []*attempt // in order of emission; answered ones are dropped at the front
	held       int        // slots of this entry's unanswered starts
	tasks      int        // unanswered starts of this entry
	blocked    time.Time  // no starts before this time, after a refusal
	reserved   *reservation
	fresh      int // slots that came free at freedAt or shortly before
	returned   int // those of them that this entry's tasks held
	freedAt    time.Time
	window     uint64 // draw of this window after drawnFor, see draw
	drawnFor   time.Time
	drawn      int
	wasOut     bool
	wasIn      bool      // result of the last inService
	hash       uint32    // of the name
	countedAt  time.Time // of the last count
	index      int       // position in service.open; -1 when closed
	gone       bool
	generation uint64
}

// attempt is an unanswered StartTask.
type attempt struct {
	ref         StartRef
	job         *job
	to          Placement
	kind        *kind
	server      *server // nil for an attachment
	team        *team
	incarnation string
	slots       int
	count       uint64 // server.counts at the time of emission
	at          time.Time
	attach      bool
	answered    bool
}

// AgentReport replaces the state of an agent.
func (s *Scheduler) AgentReport(now time.Time, r AgentReport) []Action {
	s.begin(now)
	a := s.agents[r.Agent]
	if a == nil {
		a = &agent{name: r.Agent}
		s.agents[r.Agent] = a
		s.agentList = append(s.agentList, a)
	}
	switch {
	case a.incarnation != r.Incarnation:
		if slices.Contains(a.past, r.Incarnation) {
			return nil
		}
		s.removeServers(a)
		a.past = append(a.past[max(0, len(a.past)+1-pastIncarnations):], a.incarnation)
		a.incarnation, a.reported, a.counted = r.Incarnation, 0, 0
	case r.Sequence < a.reported:
		return nil
	}
	a.reported, a.domain, a.region, a.draining = r.Sequence, r.Domain, r.Region, r.Draining
	a.lost, a.heard = false, now
	s.updateServers(now, a, r)
	return s.end(now)
}

func (s *Scheduler) updateServers(now time.Time, a *agent, r AgentReport) {
	a.generation++
	newest := r.Sequence >= a.counted
	a.counted = max(a.counted, r.Sequence)
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

func (s *Scheduler) addServer(a *agent, in Server) *server {
	sv := s.service(in.Service)
	v := &server{
		Server: Server{Name: in.Name, Instance: in.Instance, Service: in.Service},
		at:     Placement{Agent: a.name, Server: in.Name}, agent: a, service: sv, index: -1, position: len(sv.servers),
	}
	h := fnv.New32a()
	h.Write([]byte(in.Name))
	v.hash = h.Sum32()
	sv.servers = append(sv.servers, v)
	a.servers = append(a.servers, v)
	if d, ok := sv.departed[in.Name]; ok {
		v.health = d.health
		sv.health.Restore(v.health)
		delete(sv.departed, in.Name)
	} else {
		v.health = sv.health.Add()
	}
	return v
}

// departure keeps the health of a server that is no longer announced.
type departure struct {
	health *health.Server
	at     time.Time
}

func (s *Scheduler) removeServer(v *server) {
	v.gone = true
	s.refresh(v)
	s.unreserve(v)
	sv := v.service
	s.setSlots(v, 0, 0)
	last := sv.servers[len(sv.servers)-1]
	sv.servers[v.position], last.position = last, v.position
	sv.servers = slices.Delete(sv.servers, len(sv.servers)-1, len(sv.servers))
	v.agent.servers = slices.DeleteFunc(v.agent.servers, func(o *server) bool { return o == v })
	sv.health.Remove(v.health)
	sv.departed[v.Name] = departure{health: v.health, at: v.agent.heard}
}

func (s *Scheduler) removeServers(a *agent) {
	for len(a.servers) > 0 {
		s.removeServer(a.servers[len(a.servers)-1])
	}
}

func (s *Scheduler) updateServer(now time.Time, v *server, in Server, newest bool) {
	if v.Instance != in.Instance {
		v.health.Restarted()
	}
	if v.cells == nil || !slices.Equal(v.Kinds, in.Kinds) {
		v.cells = make(map[string]*estimate.Cell, len(in.Kinds))
		for _, k := range in.Kinds {
			v.cells[k] = s.estimates.Kind(kindName{in.Service, k}).Cell(v.Name)
		}
	}
	s.setSlots(v, in.Slots, v.free)
	v.Server = in
	if before := v.free; newest {
		s.count(now, v, in.FreeSlots)
		if v.counts > 1 {
			v.freed(now, before, 0)
		}
	}
	s.refresh(v)
	s.touch(v.service)
}

// AgentLost stops the placement of tasks at an agent until its next report.
// Unanswered starts stay outstanding; the transport reports their outcome.
func (s *Scheduler) AgentLost(now time.Time, name string) []Action {
	s.begin(now)
	if a := s.agents[name]; a != nil {
		a.lost = true
		s.refreshAgent(a)
	}
	return s.end(now)
}

// checkAgents stops the use of silent agents and forgets those that are long gone.
func (s *Scheduler) checkAgents(now time.Time) {
	for i := len(s.agentList) - 1; i >= 0; i-- {
		a := s.agentList[i]
		silence := now.Sub(a.heard)
		if !a.lost && silence >= s.opts.AgentSilence {
			a.lost = true
			s.refreshAgent(a)
		}
		if silence >= forgetAgent {
			s.removeServers(a)
			delete(s.agents, a.name)
			s.agentList = slices.Delete(s.agentList, i, i+1)
		}
	}
}

func (s *Scheduler) refreshAgent(a *agent) {
	for _, v := range a.servers {
		s.refresh(v)
	}
}

// out tells whether operators have taken the server or its failure domain out.
func (s *Scheduler) out(v *server) bool {
	return s.outNames[v.Name] || s.domains[v.agent.domain]
}

// inService tells whether the server may get new tasks when it has room.
func (s *Scheduler) inService(v *server) bool {
	return !v.gone && !v.Leaving && !v.agent.draining && !v.agent.lost && !s.out(v)
}

// refresh puts the server into the list of open servers of its service or takes it
// out. A server that was out warms up.
func (s *Scheduler) refresh(v *server) {
	in := s.inService(v)
	if in != v.wasIn {
		v.wasIn = in
		v.service.capacity = -1
	}
	if out := s.out(v); out != v.wasOut {
		v.wasOut = out
		if !out {
			v.health.WarmUp()
		}
	}
	if !in {
		s.unreserve(v)
	}
	sv, open := v.service, in && v.free > 0
	switch {
	case open && v.index < 0:
		v.index = len(sv.open)
		sv.open = append(sv.open, v)
	case !open && v.index >= 0:
		last := len(sv.open) - 1
		sv.open[v.index] = sv.open[last]
		sv.open[v.index].index = v.index
		sv.open[last] = nil
		sv.open = sv.open[:last]
		v.index = -1
	}
}
