package entry

import (
	"sync/atomic"
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/dispatch/sched"
)

// agentCell is the part of an agent's state that start calls read and write. It stands
// for one incarnation of the agent.
type agentCell struct {
	agent       string
	incarnation string
	address     string
	token       atomic.Pointer[peerv1.Token]
	// heard is the time of the newest message of the agent, in Unix nanoseconds.
	heard atomic.Int64
	// replaced is closed when a newer incarnation has reported.
	replaced chan struct{}
}

// renew keeps the newest token of the incarnation.
func (c *agentCell) renew(t *peerv1.Token) {
	if t == nil || t.GetIncarnation() != c.incarnation {
		return
	}
	c.heard.Store(time.Now().UnixNano())
	for {
		old := c.token.Load()
		if old.GetIssuedNs() >= t.GetIssuedNs() && old != nil {
			return
		}
		if c.token.CompareAndSwap(old, t) {
			return
		}
	}
}

// agentEntry is what the home knows of an agent.
type agentEntry struct {
	state *peerv1.AgentState
	cell  *agentCell
	heard time.Time
	// config is the configuration version that the agent reported.
	config uint64
	lost   bool
	// reported is set once the agent itself has reported; others are only claimed from.
	reported bool
}

// directory holds the agents that were heard of within the submission window, departed
// ones included. It belongs to the home loop.
type directory struct {
	silence time.Duration
	window  time.Duration
	agents  map[string]*agentEntry
}

func newDirectory(silence, window time.Duration) *directory {
	return &directory{silence: silence, window: window, agents: make(map[string]*agentEntry)}
}

// report takes over an agent's own report. It returns false for an outdated one.
func (d *directory) report(now time.Time, r *peerv1.ReportRequest) bool {
	s := r.GetState()
	a := d.agents[s.GetAgent()]
	if a != nil && d.outdated(now, a, s) {
		return false
	}
	if a == nil || a.cell.incarnation != s.GetIncarnation() {
		if a != nil {
			close(a.cell.replaced)
		}
		a = &agentEntry{cell: newCell(s)}
		d.agents[s.GetAgent()] = a
	}
	a.state, a.heard, a.config, a.lost, a.reported = s, now, r.GetVersions().GetConfig(), false, true
	a.cell.renew(r.GetToken())
	return true
}

// outdated tells whether a report is older than what is known of the agent. Of two
// incarnations the one that started later is the newer one, unless the other is silent:
// the clock of a VM may have been set back before the restart.
func (d *directory) outdated(now time.Time, a *agentEntry, s *peerv1.AgentState) bool {
	if a.cell.incarnation == s.GetIncarnation() {
		return a.reported && s.GetSequence() < a.state.GetSequence()
	}
	return s.GetStartedUnixMs() < a.state.GetStartedUnixMs() && now.Sub(a.heard) < d.silence
}

func newCell(s *peerv1.AgentState) *agentCell {
	return &agentCell{
		agent: s.GetAgent(), incarnation: s.GetIncarnation(), address: s.GetAddress(),
		replaced: make(chan struct{}),
	}
}

// merge adds agents that another entry knows and this one does not.
func (d *directory) merge(now time.Time, states []*peerv1.AgentState) {
	for _, s := range states {
		if s.GetAgent() == "" || d.agents[s.GetAgent()] != nil {
			continue
		}
		d.agents[s.GetAgent()] = &agentEntry{state: s, cell: newCell(s), heard: now, lost: true}
	}
}

// silent returns the agents that have become silent since the last call.
func (d *directory) silent(now time.Time) []string {
	var out []string
	for id, a := range d.agents {
		if !a.lost && now.Sub(a.heard) >= d.silence {
			a.lost = true
			out = append(out, id)
		}
	}
	return out
}

func (d *directory) expire(now time.Time) {
	for id, a := range d.agents {
		if now.Sub(a.heard) > d.window {
			delete(d.agents, id)
		}
	}
}

func (d *directory) ids() []string {
	out := make([]string, 0, len(d.agents))
	for id := range d.agents {
		out = append(out, id)
	}
	return out
}

func (d *directory) states() []*peerv1.AgentState {
	out := make([]*peerv1.AgentState, 0, len(d.agents))
	for _, a := range d.agents {
		out = append(out, a.state)
	}
	return out
}

// reportMsg is an agent's report. out is closed once it is part of the directory.
type reportMsg struct {
	request *peerv1.ReportRequest
	out     chan<- struct{}
}

func (m reportMsg) apply(h *home, now time.Time) {
	defer close(m.out)
	if !h.dir.report(now, m.request) {
		return
	}
	h.do(now, h.sched.AgentReport(now, agentReport(m.request.GetState())))
}

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

// agentsMsg asks for the directory. The list is empty unless it is complete: an entry
// that joined a moment ago cannot tell which agents held records before.
type agentsMsg struct {
	out chan<- []*peerv1.AgentState
}

func (m agentsMsg) apply(h *home, now time.Time) {
	if !h.rec.Complete(now) {
		m.out <- nil
		return
	}
	m.out <- h.dir.states()
}

func (c *agentCell) isReplaced() bool {
	select {
	case <-c.replaced:
		return true
	default:
		return false
	}
}
