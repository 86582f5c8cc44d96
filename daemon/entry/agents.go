package entry

import (
	"sync/atomic"
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/dispatch/sched"
)

// agentSession is the state of one incarnation of an agent that the home loop shares with
// the start calls. It is safe for concurrent use.
type agentSession struct {
	agent       string
	incarnation string
	address     string
	token       atomic.Pointer[peerv1.Token]
	// lastContact is the time of the newest message of the agent, in Unix nanoseconds.
	lastContact atomic.Int64
	// replaced is closed when another incarnation of the agent has reported.
	replaced chan struct{}
}

// storeToken stores t if it is the newest token of this incarnation, and sets lastContact to
// the present time. It ignores tokens of other incarnations.
func (s *agentSession) storeToken(t *peerv1.Token) {
	if t == nil || t.GetIncarnation() != s.incarnation {
		return
	}
	s.lastContact.Store(time.Now().UnixNano())
	for {
		old := s.token.Load()
		if old.GetIssuedNs() >= t.GetIssuedNs() && old != nil {
			return
		}
		if s.token.CompareAndSwap(old, t) {
			return
		}
	}
}

// knownAgent is what the home knows about an agent.
type knownAgent struct {
	state   *peerv1.AgentState
	session *agentSession
	// lastReport is the time of the newest report, or of merge until the agent has reported.
	lastReport time.Time
	// config is the configuration version that the agent reported.
	config uint64
	// lost is set while the agent is silent.
	lost bool
	// reported is set once the agent itself has reported. An agent that is known only from
	// another entry is asked in claims but gets no new tasks.
	reported bool
}

// agentDirectory holds the agents that reported to this entry, or that it learned of from
// another entry, within the retention time. Agents that have left since are included. Only
// the home loop may use it.
type agentDirectory struct {
	// silence is the time without a report after which an agent counts as lost.
	silence time.Duration
	// retention is the time without a report after which an agent is forgotten.
	retention time.Duration
	agents    map[string]*knownAgent
}

func newAgentDirectory(silence, retention time.Duration) *agentDirectory {
	return &agentDirectory{silence: silence, retention: retention, agents: make(map[string]*knownAgent)}
}

// report stores a report that an agent sent itself. It returns false and changes nothing
// when the report is outdated.
func (d *agentDirectory) report(now time.Time, r *peerv1.ReportRequest) bool {
	s := r.GetState()
	a := d.agents[s.GetAgent()]
	if a != nil && d.outdated(now, a, s) {
		return false
	}
	if a == nil || a.session.incarnation != s.GetIncarnation() {
		if a != nil {
			close(a.session.replaced)
		}
		a = &knownAgent{session: newAgentSession(s)}
		d.agents[s.GetAgent()] = a
	}
	a.state, a.lastReport, a.config, a.lost, a.reported = s, now, r.GetVersions().GetConfig(), false, true
	a.session.storeToken(r.GetToken())
	return true
}

// outdated reports whether a report is older than what is known about the agent. Of two
// incarnations, the one with the later start time is the newer one. A report with an
// earlier start time still counts as newer when the known incarnation is silent, since the
// clock of a VM may have been set back before the agent restarted.
func (d *agentDirectory) outdated(now time.Time, a *knownAgent, s *peerv1.AgentState) bool {
	if a.session.incarnation == s.GetIncarnation() {
		return a.reported && s.GetSequence() < a.state.GetSequence()
	}
	return s.GetStartedUnixMs() < a.state.GetStartedUnixMs() && now.Sub(a.lastReport) < d.silence
}

func newAgentSession(s *peerv1.AgentState) *agentSession {
	return &agentSession{
		agent: s.GetAgent(), incarnation: s.GetIncarnation(), address: s.GetAddress(),
		replaced: make(chan struct{}),
	}
}

// merge adds the agents that another entry knows and this one does not. They count as lost
// until they report to this entry.
func (d *agentDirectory) merge(now time.Time, states []*peerv1.AgentState) {
	for _, s := range states {
		if s.GetAgent() == "" || d.agents[s.GetAgent()] != nil {
			continue
		}
		d.agents[s.GetAgent()] = &knownAgent{state: s, session: newAgentSession(s), lastReport: now, lost: true}
	}
}

// markSilent marks the agents that have become silent since the last call as lost and
// returns their names.
func (d *agentDirectory) markSilent(now time.Time) []string {
	var out []string
	for id, a := range d.agents {
		if !a.lost && now.Sub(a.lastReport) >= d.silence {
			a.lost = true
			out = append(out, id)
		}
	}
	return out
}

// expire removes the agents that have been silent for longer than the retention time.
func (d *agentDirectory) expire(now time.Time) {
	for id, a := range d.agents {
		if now.Sub(a.lastReport) > d.retention {
			delete(d.agents, id)
		}
	}
}

func (d *agentDirectory) ids() []string {
	out := make([]string, 0, len(d.agents))
	for id := range d.agents {
		out = append(out, id)
	}
	return out
}

func (d *agentDirectory) states() []*peerv1.AgentState {
	out := make([]*peerv1.AgentState, 0, len(d.agents))
	for _, a := range d.agents {
		out = append(out, a.state)
	}
	return out
}

// reportMsg carries an agent's report to the home loop. out is closed once the report has
// been processed.
type reportMsg struct {
	request *peerv1.ReportRequest
	out     chan<- struct{}
}

func (m reportMsg) apply(h *home, now time.Time) {
	defer close(m.out)
	if !h.directory.report(now, m.request) {
		return
	}
	h.perform(now, h.sched.AgentReport(now, agentReport(m.request.GetState())))
}

// agentReport converts the state of an agent for the scheduler.
func agentReport(s *peerv1.AgentState) sched.AgentReport {
	r := sched.AgentReport{
		Agent: s.GetAgent(), Incarnation: s.GetIncarnation(), Sequence: s.GetSequence(),
		Domain: s.GetDomain(), Region: s.GetRegion(), Draining: s.GetDraining(),
		Servers: make([]sched.Server, len(s.GetServers())),
	}
	for i, v := range s.GetServers() {
		r.Servers[i] = sched.Server{
			Name: v.GetServer(), Instance: v.GetInstance(), Service: v.GetService(), Kinds: v.GetKinds(),
			Slots: int(v.GetSlots()), FreeSlots: int(v.GetFreeSlots()), Leaving: v.GetLeaving(),
		}
	}
	return r
}

// agentsMsg asks the home loop for the known agents. The answer is nil unless the list is
// complete: an entry that joined recently cannot know every agent that holds start records.
type agentsMsg struct {
	out chan<- []*peerv1.AgentState
}

func (m agentsMsg) apply(h *home, now time.Time) {
	if !h.rec.Complete(now) {
		m.out <- nil
		return
	}
	m.out <- h.directory.states()
}

// isReplaced reports whether another incarnation of the agent has reported.
func (s *agentSession) isReplaced() bool {
	select {
	case <-s.replaced:
		return true
	default:
		return false
	}
}
