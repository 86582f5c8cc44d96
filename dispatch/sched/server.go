package sched

import (
	"hash/fnv"
	"slices"
	"time"

	"poplargw.example/dispatch/estimate"
	"poplargw.example/dispatch/health"
)

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
	svc.servers = removeUnordered(svc.servers, v.serviceIndex, func(o *server, i int) { o.serviceIndex = i })
	v.agent.servers = slices.DeleteFunc(v.agent.servers, func(o *server) bool { return o == v })
	svc.health.Remove(v.health)
	svc.removedServers[v.Name] = removedServer{health: v.health, removedAt: v.agent.lastContact}
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
