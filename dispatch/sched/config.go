package sched

import (
	"cmp"
	"slices"
	"time"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/estimate"
	"poplargw.example/dispatch/health"
	"poplargw.example/dispatch/quota"
	"poplargw.example/dispatch/result"
)

// service is a declared service, or one that an agent announced before it was declared.
type service struct {
	name           string
	declared       bool
	kinds          map[string]*kind
	kindList       []*kind
	classes        map[classKey]*class
	waitingClasses []*class // classes with queued tasks
	servers        []*server
	available      []*server // servers in service that have free slots
	health         health.Group
	removedServers map[string]removedServer
	slots          int // total of all servers
	free           int // total of all servers
	capacity       int // slots of the servers in service; -1 if not computed
	largestServer  int // largest number of slots of any server; -1 if not computed
	queued         int
	held           int       // slots of this entry's unanswered starts
	lastStart      time.Time // time of the last start of a task
	load           float64   // smoothed share of slots in use, as of loadMeasuredAt
	loadMeasuredAt time.Time
	shareReachedAt time.Time // when held last reached serviceShare
	dirty          bool      // listed in Scheduler.dirtyServices
	dispatchRound  uint64    // number of calls of dispatch
	longestKind    *kind     // running kind with the longest typical run time; nil if none
}

// kind is a declared kind of task of a service.
type kind struct {
	name             string
	service          *service
	priority         int
	urgent           bool
	slots            int
	timeLimit        time.Duration
	running          int
	blockedRound     uint64 // last dispatchRound in which chooseServer found no server for the kind
	runTimes         *estimate.Kind
	reserveNotBefore time.Time // earliest time of the next search for a reservation
	reservation      *reservation
}

// kindKey identifies a kind by service and name.
type kindKey struct{ service, kind string }

// team holds the quota of a team and the slots that it holds at this entry.
type team = quota.Team

// ensureService returns the service with the given name and creates it if needed.
func (s *Scheduler) ensureService(name string) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{
			name: name, kinds: map[string]*kind{}, classes: map[classKey]*class{},
			removedServers: map[string]removedServer{}, capacity: -1, largestServer: -1,
		}
		s.services[name] = svc
		s.serviceList = append(s.serviceList, svc)
	}
	return svc
}

// Configure applies a new configuration. Jobs whose service, kind or team is no longer
// declared end at once.
func (s *Scheduler) Configure(now time.Time, c *poplargwv1.Config) []Action {
	s.beginEvent(now)
	s.configureServices(c.GetServices())
	s.configureTeams(c.GetTeams())
	clear(s.outDomains)
	for _, d := range c.GetDomains() {
		s.outDomains[d.GetName()] = d.GetOut()
	}
	clear(s.outServers)
	for _, v := range c.GetServers() {
		s.outServers[v.GetServer()] = v.GetOut()
	}
	for _, a := range s.agentList {
		s.updateAgentAvailability(a)
	}
	s.requeue(now)
	s.markAllDirty()
	return s.endEvent(now)
}

// configureServices replaces the declared services and kinds and ends all reservations. A
// kind that is declared again keeps its run times and its count of running tasks.
func (s *Scheduler) configureServices(list []*poplargwv1.Service) {
	old := make(map[*service]map[string]*kind, len(s.serviceList))
	for _, svc := range s.serviceList {
		old[svc] = svc.kinds
		svc.declared, svc.kinds, svc.kindList, svc.longestKind = false, map[string]*kind{}, nil, nil
	}
	for _, p := range list {
		svc := s.ensureService(p.GetName())
		svc.declared = true
		for _, pk := range p.GetKinds() {
			s.configureKind(svc, old[svc][pk.GetName()], pk)
		}
	}
	for _, kinds := range old {
		for _, k := range kinds {
			s.endReservation(k)
		}
	}
}

// configureKind declares a kind of a service. k is its state in the previous configuration,
// or nil if it is new.
func (s *Scheduler) configureKind(svc *service, k *kind, p *poplargwv1.Kind) {
	if k == nil {
		k = &kind{name: p.GetName(), service: svc, runTimes: s.estimates.Kind(kindKey{svc.name, p.GetName()})}
	}
	k.priority = min(int(p.GetPriority()), maxPriority)
	k.urgent = p.GetUrgent()
	k.slots = max(int(p.GetSlots()), 1)
	k.timeLimit = p.GetTimeLimit().AsDuration()
	if svc.kinds[k.name] == nil {
		svc.kindList = append(svc.kindList, k)
	}
	svc.kinds[k.name] = k
}

// configureTeams replaces the teams. A team that is declared again keeps its count of slots
// in use.
func (s *Scheduler) configureTeams(list []*poplargwv1.Team) {
	old := s.teams
	s.teams = make(map[string]*team, len(list))
	for _, p := range list {
		t := old[p.GetName()]
		if t == nil {
			t = &team{}
		}
		t.Quota = int(p.GetQuotaSlots())
		s.teams[p.GetName()] = t
	}
}

// requeue assigns all task queues to the classes of the new configuration and ends the
// jobs that it no longer allows. Apart from Drop, it is the only operation that visits all
// jobs.
func (s *Scheduler) requeue(now time.Time) {
	jobs := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, j := range jobs {
		if f := s.checkDeclared(&j.Job); f != nil {
			s.failJob(now, j, *f)
			continue
		}
		j.team = s.teams[j.Team]
		for _, q := range j.queues {
			s.dequeue(q)
			q.class = s.ensureClass(q.class.kind, j.team, j.Team)
			s.enqueue(q)
		}
	}
}

// checkDeclared returns a failure if the service, a kind or the team of a job is not
// declared, otherwise nil.
func (s *Scheduler) checkDeclared(j *Job) *result.Failure {
	svc := s.services[j.Service]
	if svc == nil || !svc.declared {
		return refusal(result.UnknownService, "service %q is not declared", j.Service)
	}
	for i := range j.Tasks {
		if svc.kinds[j.Tasks[i].Kind] == nil {
			return refusal(result.UnknownKind, "service %q has no kind %q", j.Service, j.Tasks[i].Kind)
		}
	}
	if len(s.teams) > 0 && s.teams[j.Team] == nil {
		return refusal(result.UnknownTeam, "team %q is not declared", j.Team)
	}
	return nil
}

// SetEntries sets the number of entries that serve submissions and the zero-based
// position of this entry among them. All entries must use the same order. Each entry
// grants its share of the quotas, of the servers and of the fair shares.
func (s *Scheduler) SetEntries(n, self int) {
	s.entryCount = max(n, 1)
	s.entryIndex = self
}
