package recovery

import (
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/dispatch/submission"
	"poplargw.example/dispatch/table"
)

// scope is the set of keys that one or several changes of the table moved to this entry.
type scope struct {
	all  bool
	self string
	// before holds the tables from which keys moved.
	before  []*peerv1.EntryTable
	orphans map[submission.Key]struct{}
	// unknownBefore is zero when every process with records has answered.
	unknownBefore time.Time
}

func (c *scope) empty() bool { return !c.all && len(c.before) == 0 && len(c.orphans) == 0 }

func (c *scope) covers(k submission.Key) bool {
	if c.all {
		return true
	}
	if _, ok := c.orphans[k]; ok {
		return true
	}
	for _, t := range c.before {
		if m := table.Home(t, k); m == nil || m.GetId() != c.self {
			return true
		}
	}
	return false
}

func (c *scope) merge(o *scope) {
	c.all = c.all || o.all
	c.before = append(c.before, o.before...)
	if c.orphans == nil {
		c.orphans = make(map[submission.Key]struct{})
	}
	for k := range o.orphans {
		c.orphans[k] = struct{}{}
	}
}

// claim is a running claim. Agents are asked once all members have answered.
type claim struct {
	scope *scope
	// waiting holds the members that have not answered.
	waiting map[string]struct{}
	// since is the time at which the last member answered; zero before.
	since  time.Time
	agents map[string]*agentClaim
}

type agentClaim struct {
	answered    bool
	unreachable bool
	started     time.Time
}

// begin opens a claim, or opens it anew for a newer table: every process has to answer
// for that table, since only the answer makes it refuse the older one.
func (s *State) begin(sc *scope) {
	sc.self = s.o.Self
	if s.open != nil {
		sc.merge(s.open.scope)
	}
	s.round++
	c := &claim{scope: sc, waiting: make(map[string]struct{}), agents: make(map[string]*agentClaim)}
	for _, m := range s.table.GetMembers() {
		if m.GetId() != s.o.Self {
			c.waiting[m.GetId()] = struct{}{}
		}
	}
	s.open = c
}

// EntryAnswered notes the keys that a member keeps and whether its list of agents was
// complete. own tells which keys this entry holds itself.
func (s *State) EntryAnswered(round uint64, m Member, held []submission.Key, complete bool, own func(submission.Key) bool) {
	if s.open == nil || round != s.round {
		return
	}
	for _, k := range held {
		if !own(k) {
			s.holders[k] = m
		}
	}
	s.complete = s.complete || complete
	delete(s.open.waiting, m.ID)
}

// Waiting tells whether a member has not answered yet.
func (s *State) Waiting() bool { return s.open != nil && len(s.open.waiting) > 0 }

// Ask adds agents to the claim and returns those that were not asked before. It returns
// nothing while a member has not answered.
//
// The permits of an unreachable agent are counted from the last member's answer, not
// from the table change: a removed entry stays fresh by heartbeats as long as a majority
// of its table does not know the change.
func (s *State) Ask(now time.Time, agents []string) []string {
	if s.open == nil || s.Waiting() {
		return nil
	}
	if s.open.since.IsZero() {
		s.open.since = now
	}
	var added []string
	for _, a := range agents {
		if s.open.agents[a] == nil {
			s.open.agents[a] = &agentClaim{}
			added = append(added, a)
		}
	}
	return added
}

// GiveUpAt returns the time until which an unreachable agent is asked again.
func (s *State) GiveUpAt() time.Time {
	if s.open == nil || s.open.since.IsZero() {
		return time.Time{}
	}
	return s.open.since.Add(s.o.Permit)
}

// Record is one start record of an agent.
type Record struct {
	Key  submission.Key
	Task uint32
	Hash [32]byte
}

// AgentAnswered notes the start records of an agent.
func (s *State) AgentAnswered(round uint64, agent string, started time.Time, records []Record, own func(submission.Key) bool) {
	if s.open == nil || round != s.round || s.open.agents[agent] == nil {
		return
	}
	a := s.open.agents[agent]
	a.answered, a.started = true, started
	for _, r := range records {
		if !own(r.Key) {
			s.addRecord(agent, r)
		}
	}
}

func (s *State) addRecord(agent string, r Record) {
	k := s.records[r.Key]
	if k == nil {
		k = &Records{Hash: r.Hash, Agents: make(map[uint32]string)}
		s.records[r.Key] = k
	}
	if k.Hash != r.Hash {
		k.Conflict = true
		return
	}
	k.Agents[r.Task] = agent
}

// AgentUnreachable notes that an agent did not answer until GiveUpAt.
func (s *State) AgentUnreachable(round uint64, agent string) {
	if s.open == nil || round != s.round || s.open.agents[agent] == nil {
		return
	}
	if a := s.open.agents[agent]; !a.answered {
		a.unreachable = true
	}
}

// Settle ends the claim when everything has been answered, and tells whether it did.
func (s *State) Settle(now time.Time) bool {
	c := s.open
	if c == nil || len(c.waiting) > 0 || c.since.IsZero() {
		return false
	}
	for _, a := range c.agents {
		if !a.answered && !a.unreachable {
			return false
		}
	}
	c.scope.unknownBefore = s.unknownBefore(now)
	s.open = nil
	if !c.scope.unknownBefore.IsZero() {
		s.scopes = append(s.scopes, c.scope)
	}
	return true
}

func (s *State) unknownBefore(now time.Time) time.Time {
	var u time.Time
	raise := func(t time.Time) {
		if t.After(u) {
			u = t
		}
	}
	oldest := now.Add(-s.o.Window.Length - 2*s.o.Window.Skew)
	for _, a := range s.open.agents {
		if a.unreachable {
			raise(s.open.since.Add(s.o.Permit))
		} else if a.started.After(oldest) {
			raise(a.started)
		}
	}
	if !s.Complete(now) {
		raise(s.o.Started.Add(s.o.Silence))
		raise(s.memberSince.Add(s.o.Silence))
		raise(s.open.since.Add(s.o.Permit))
	}
	return u
}

// Complete tells whether the list of agents of this entry holds every agent that can
// have a start record within the window, departed ones included: this entry has been a
// member for the whole window, got the list of such a member, or was the first entry.
func (s *State) Complete(now time.Time) bool {
	if !s.member {
		return false
	}
	return s.complete || now.Sub(s.memberSince) > s.o.Window.Length+2*s.o.Window.Skew
}
