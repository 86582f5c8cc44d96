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
	name      string
	declared  bool
	kinds     map[string]*kind
	list      []*kind
	classes   map[classKey]*class
	waiting   []*class // classes with queued tasks
	servers   []*server
	open      []*server // servers in service with free slots
	health    health.Group
	departed  map[string]departure
	slots     int // of all servers
	free      int // of all servers
	capacity  int // slots of the servers in service; -1 when not computed
	largest   int // largest number of slots of a server; -1 when not computed
	queued    int
	held      int       // slots of this entry's unanswered starts
	startedAt time.Time // of the last start
	load      float64   // smoothed share of slots in use, of loadAt
	loadAt    time.Time
	reachedAt time.Time // when held last reached this entry's part
	dirty     bool
	round     uint64
	longest   *kind // running kind with the longest typical run time
}

type kind struct {
	name        string
	service     *service
	priority    int
	urgent      bool
	slots       int
	timeLimit   time.Duration
	running     int
	blocked     uint64 // round of the service in which no server had room
	times       *estimate.Kind
	reserveAt   time.Time // no search for a reservation before this time
	reservation *reservation
}

type kindName struct{ service, kind string }

type team = quota.Team

func (s *Scheduler) service(name string) *service {
	sv := s.services[name]
	if sv == nil {
		sv = &service{
			name: name, kinds: map[string]*kind{}, classes: map[classKey]*class{},
			departed: map[string]departure{}, capacity: -1, largest: -1,
		}
		s.services[name] = sv
		s.serviceList = append(s.serviceList, sv)
	}
	return sv
}

// Configure puts a new configuration in force. Jobs of services, kinds or teams that
// are no longer declared end at once.
func (s *Scheduler) Configure(now time.Time, c *poplargwv1.Config) []Action {
	s.begin(now)
	s.configureServices(c.GetServices())
	s.configureTeams(c.GetTeams())
	clear(s.domains)
	for _, d := range c.GetDomains() {
		s.domains[d.GetName()] = d.GetOut()
	}
	clear(s.outNames)
	for _, v := range c.GetServers() {
		s.outNames[v.GetServer()] = v.GetOut()
	}
	for _, a := range s.agentList {
		s.refreshAgent(a)
	}
	s.requeue(now)
	s.touchAll()
	return s.end(now)
}

func (s *Scheduler) configureServices(list []*poplargwv1.Service) {
	old := make(map[*service]map[string]*kind, len(s.serviceList))
	for _, sv := range s.serviceList {
		old[sv] = sv.kinds
		sv.declared, sv.kinds, sv.list, sv.longest = false, map[string]*kind{}, nil, nil
	}
	for _, p := range list {
		sv := s.service(p.GetName())
		sv.declared = true
		for _, pk := range p.GetKinds() {
			s.configureKind(sv, old[sv][pk.GetName()], pk)
		}
	}
	for _, kinds := range old {
		for _, k := range kinds {
			s.endReservation(k)
		}
	}
}

func (s *Scheduler) configureKind(sv *service, k *kind, p *poplargwv1.Kind) {
	if k == nil {
		k = &kind{name: p.GetName(), service: sv, times: s.estimates.Kind(kindName{sv.name, p.GetName()})}
	}
	k.priority = min(int(p.GetPriority()), maxPriority)
	k.urgent = p.GetUrgent()
	k.slots = max(int(p.GetSlots()), 1)
	k.timeLimit = p.GetTimeLimit().AsDuration()
	if sv.kinds[k.name] == nil {
		sv.list = append(sv.list, k)
	}
	sv.kinds[k.name] = k
}

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

// requeue sorts all queued jobs by the new configuration and ends those that it no
// longer allows. It is the only operation that visits the whole queue.
func (s *Scheduler) requeue(now time.Time) {
	jobs := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, j := range jobs {
		if f := s.undeclared(&j.Job); f != nil {
			s.fail(now, j, *f)
			continue
		}
		j.team = s.teams[j.Team]
		for _, l := range j.lanes {
			s.dequeue(l)
			l.class = s.class(l.class.kind, j.team, j.Team)
			s.enqueue(l)
		}
	}
}

// undeclared returns the failure of a job whose service, kind or team is not declared.
func (s *Scheduler) undeclared(j *Job) *result.Failure {
	sv := s.services[j.Service]
	if sv == nil || !sv.declared {
		return refusal(result.UnknownService, "service %q is not declared", j.Service)
	}
	for i := range j.Tasks {
		if sv.kinds[j.Tasks[i].Kind] == nil {
			return refusal(result.UnknownKind, "service %q has no kind %q", j.Service, j.Tasks[i].Kind)
		}
	}
	if len(s.teams) > 0 && s.teams[j.Team] == nil {
		return refusal(result.UnknownTeam, "team %q is not declared", j.Team)
	}
	return nil
}

// SetEntries tells the number of entries that serve submissions, and the position of this
// one among them, from 0, in an order that is the same at all of them. Each entry grants its
// part of the quotas and of the fair shares.
func (s *Scheduler) SetEntries(n, self int) {
	s.entries = max(n, 1)
	s.index = self
}
