package recovery

import (
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/dispatch/submission"
	"poplargw.example/dispatch/table"
)

// keySet is the set of keys that a claim covers: those that one or more changes of the
// table moved to this entry, and those whose holder is no longer in the table.
type keySet struct {
	// all is set if the set holds every key.
	all bool
	// self is the ID of this entry.
	self string
	// prevTables are earlier tables. The set holds the keys whose home in one of them is not this entry.
	prevTables []*peerv1.EntryTable
	// orphaned are keys whose holder is no longer in the table.
	orphaned map[submission.Key]struct{}
	// unknownBefore is set when the claim ends: keys of the set that were first sent before it
	// may have start records that this entry does not know. It is zero if there are none.
	unknownBefore time.Time
}

// empty reports whether the set holds no key.
func (ks *keySet) empty() bool { return !ks.all && len(ks.prevTables) == 0 && len(ks.orphaned) == 0 }

// contains reports whether the key is in the set.
func (ks *keySet) contains(k submission.Key) bool {
	if ks.all {
		return true
	}
	if _, ok := ks.orphaned[k]; ok {
		return true
	}
	for _, t := range ks.prevTables {
		if m := table.Home(t, k); m == nil || m.GetId() != ks.self {
			return true
		}
	}
	return false
}

// merge adds the keys of the other set.
func (ks *keySet) merge(o *keySet) {
	ks.all = ks.all || o.all
	ks.prevTables = append(ks.prevTables, o.prevTables...)
	if ks.orphaned == nil {
		ks.orphaned = make(map[submission.Key]struct{})
	}
	for k := range o.orphaned {
		ks.orphaned[k] = struct{}{}
	}
}

// claim is a running claim: this entry asks the other members for the keys that they hold,
// and, once all of them have answered, the agents for their start records.
type claim struct {
	// keys is the set of keys that are not served until the claim ends.
	keys *keySet
	// waiting holds the IDs of the members that have not answered.
	waiting map[string]struct{}
	// membersAnswered is the time of the first Ask after the last member answered; zero before.
	membersAnswered time.Time
	agents          map[string]*agentClaim
}

// agentClaim is the part of a claim that concerns one agent.
type agentClaim struct {
	answered    bool
	unreachable bool
	// started is the start time of the agent's process; it has no start records from before.
	started time.Time
}

// beginClaim starts a claim. It replaces a running one, whose keys it takes over: each
// process has to answer again for the newer table, because only by answering does it begin to
// refuse starts by older tables.
func (s *State) beginClaim(ks *keySet) {
	ks.self = s.opts.Self
	if s.claim != nil {
		ks.merge(s.claim.keys)
	}
	s.round++
	c := &claim{keys: ks, waiting: make(map[string]struct{}), agents: make(map[string]*agentClaim)}
	for _, m := range s.table.GetMembers() {
		if m.GetId() != s.opts.Self {
			c.waiting[m.GetId()] = struct{}{}
		}
	}
	s.claim = c
}

// EntryAnswered notes the answer of another member to the claim: the keys that it holds and
// whether its list of agents is complete. heldHere reports whether this entry holds a key
// itself. Answers to earlier rounds are ignored.
func (s *State) EntryAnswered(round uint64, m Member, held []submission.Key, complete bool, heldHere func(submission.Key) bool) {
	if s.claim == nil || round != s.round {
		return
	}
	for _, k := range held {
		if !heldHere(k) {
			s.holders[k] = m
		}
	}
	s.complete = s.complete || complete
	delete(s.claim.waiting, m.ID)
}

// AwaitingMembers reports whether a claim is running and a member has not answered it yet.
func (s *State) AwaitingMembers() bool { return s.claim != nil && len(s.claim.waiting) > 0 }

// Ask adds agents to the claim and returns those that have to be asked because they were
// not in it before. It returns nil while a member has not answered.
//
// The first call after the last member's answer starts the time after which unreachable
// agents are given up, see GiveUpAt. It does not start at the table change: until a
// majority of its table knows the change, a removed entry stays fresh by heartbeats and
// can start tasks.
func (s *State) Ask(now time.Time, agents []string) []string {
	if s.claim == nil || s.AwaitingMembers() {
		return nil
	}
	if s.claim.membersAnswered.IsZero() {
		s.claim.membersAnswered = now
	}
	var added []string
	for _, a := range agents {
		if s.claim.agents[a] == nil {
			s.claim.agents[a] = &agentClaim{}
			added = append(added, a)
		}
	}
	return added
}

// GiveUpAt returns the time until which an unreachable agent is asked again. It is zero
// before the first Ask that follows the last member's answer.
func (s *State) GiveUpAt() time.Time {
	if s.claim == nil || s.claim.membersAnswered.IsZero() {
		return time.Time{}
	}
	return s.claim.membersAnswered.Add(s.opts.StartGrace)
}

// Record is one start record of an agent.
type Record struct {
	Key submission.Key
	// Task is the index of the task in the submission.
	Task uint32
	// Hash is the hash of the whole submission.
	Hash [32]byte
}

// AgentAnswered notes the answer of an agent to the claim: the start time of its process and
// its start records. Records of keys that this entry holds itself, by heldHere, are skipped.
// Answers to earlier rounds and of agents that were not asked are ignored.
func (s *State) AgentAnswered(round uint64, agent string, started time.Time, records []Record, heldHere func(submission.Key) bool) {
	if s.claim == nil || round != s.round || s.claim.agents[agent] == nil {
		return
	}
	a := s.claim.agents[agent]
	a.answered, a.started = true, started
	for _, r := range records {
		if !heldHere(r.Key) {
			s.addRecord(agent, r)
		}
	}
}

// addRecord adds a start record to those of its key, or marks a conflict if its hash differs.
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
	if s.claim == nil || round != s.round || s.claim.agents[agent] == nil {
		return
	}
	if a := s.claim.agents[agent]; !a.answered {
		a.unreachable = true
	}
}

// Settle ends the claim if all members have answered, Ask was called since, and every asked
// agent has answered or is unreachable. It reports whether it ended the claim.
func (s *State) Settle(now time.Time) bool {
	c := s.claim
	if c == nil || len(c.waiting) > 0 || c.membersAnswered.IsZero() {
		return false
	}
	for _, a := range c.agents {
		if !a.answered && !a.unreachable {
			return false
		}
	}
	c.keys.unknownBefore = s.unknownBefore(now)
	s.claim = nil
	if !c.keys.unknownBefore.IsZero() {
		s.unknownSets = append(s.unknownSets, c.keys)
	}
	return true
}

// unknownBefore returns the time before which a start may be unknown to the claim, or the zero
// time if every process with start records has answered. A start may be unknown up to GiveUpAt
// if an agent is unreachable, up to the start of its process if an agent was restarted within
// the window, and, with an incomplete list of agents, until every agent has had time to report.
func (s *State) unknownBefore(now time.Time) time.Time {
	var u time.Time
	raise := func(t time.Time) {
		if t.After(u) {
			u = t
		}
	}
	oldest := now.Add(-s.opts.Window.Length - 2*s.opts.Window.Skew)
	for _, a := range s.claim.agents {
		if a.unreachable {
			raise(s.claim.membersAnswered.Add(s.opts.StartGrace))
		} else if a.started.After(oldest) {
			raise(a.started)
		}
	}
	if !s.Complete(now) {
		raise(s.opts.Started.Add(s.opts.ReportInterval))
		raise(s.memberSince.Add(s.opts.ReportInterval))
		raise(s.claim.membersAnswered.Add(s.opts.StartGrace))
	}
	return u
}

// Complete reports whether this entry's list of agents holds every agent that can have a
// start record within the window, including agents that no longer run. That is so if this entry has
// been a member for the whole window, got the list of such a member, or was the first entry of
// the system.
func (s *State) Complete(now time.Time) bool {
	if !s.member {
		return false
	}
	return s.complete || now.Sub(s.memberSince) > s.opts.Window.Length+2*s.opts.Window.Skew
}
