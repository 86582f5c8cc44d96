package runentry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
	"poplargw.example/daemon/link"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/run"
)

const (
	// minHeartbeatInterval and maxHeartbeatInterval bound the time between frames to an agent that has
	// runs of this entry. An agent stops the runs of an entry that has been silent for 300 ms (see
	// runtable.Limits.OwnerSilence), and detecting a stalled run takes two or three progress readings.
	minHeartbeatInterval = 50 * time.Millisecond
	maxHeartbeatInterval = 90 * time.Millisecond
	// heartbeatRate is the target number of frames without orders per second that an entry sends to all
	// busy agents together, as far as the interval bounds allow. A frame and its response take 20 to
	// 30 us of CPU time, and a small VM has a fifth of a core.
	heartbeatRate = 500
	// demandUpdateInterval is the minimum time between two frames that only tell an agent whether tasks
	// are waiting. Agents hold an offer of capacity for about that long.
	demandUpdateInterval = 15 * time.Millisecond
	// idleHeartbeatInterval is the time between frames to an agent without runs of this entry. It is
	// shorter than the lifetime of a start token.
	idleHeartbeatInterval = 120 * time.Millisecond
	// MaxSilence is the longest time between two messages of an entry over a link, as long as it has processor time: messages
	// are sent with a tick.
	MaxSilence = idleHeartbeatInterval + tickInterval
	// dialTimeout bounds one attempt to open a link.
	dialTimeout = 250 * time.Millisecond
	// minRedialDelay and maxRedialDelay bound the delay between attempts, which doubles each time.
	minRedialDelay = 30 * time.Millisecond
	maxRedialDelay = 400 * time.Millisecond
	// busyRedialDelay is the upper bound for an agent that has runs of this entry. A restarted agent stops
	// runs that are unclaimed for 100 ms (see runtable.Limits.ClaimWindow), and jitter adds a half.
	busyRedialDelay = 60 * time.Millisecond
)

// agent is the state of the link to one agent. Its fields are guarded by Entry.mu.
type agent struct {
	id, addr string
	conn     *link.Conn
	// lastSeq is the number of the newest frame from the agent; the next frame to it acknowledges it.
	lastSeq uint64
	// tokenMS is the agent's newest clock reading in milliseconds, which orders return as a start token.
	tokenMS          uint64
	lastSent         time.Time
	outOfServiceSent bool
	demandSent       bool // the newest frame said that tasks are waiting
	listed           bool
	unlistedAt       time.Time          // when it was removed from the list of agents
	cancel           context.CancelFunc // nil until dialing starts
	// probeSent is when the frame numbered probeSeq was sent, or zero when no probe is outstanding.
	// minRTT is the shortest round-trip time of a probe so far.
	probeSent time.Time
	probeSeq  uint64
	minRTT    time.Duration
	server    run.Server // as last reported by the agent
	// incarnation identifies the agent's process, as it said in the first frame of the newest link.
	incarnation string
}

// maintainLink keeps a link to the agent until ctx ends. It redials immediately when a link ends, and with
// backoff when dialing fails or no frame has arrived: what listens at the address may be no agent, and close each
// connection at once.
func (e *Entry) maintainLink(ctx context.Context, a *agent) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		conn, err := link.Dial(ctx, a.addr, e.LinkTLS, dialTimeout)
		if err == nil && e.serveLink(ctx, a, conn) {
			delay = minRedialDelay
			continue
		}
		boottime.Sleep(ctx, jitter(delay))
		delay = nextRedialDelay(delay, e.isBusy(a.id))
	}
}

// nextRedialDelay returns the delay that follows the given one. busy is the result of Entry.isBusy.
func nextRedialDelay(delay time.Duration, busy bool) time.Duration {
	if busy {
		return min(2*delay, busyRedialDelay)
	}
	return min(2*delay, maxRedialDelay)
}

// isBusy reports whether the agent may have runs of this entry or record it as the owner of jobs.
func (e *Entry) isBusy(agent string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.scheduler.HasRuns(agent) || e.scheduler.HasOwnerships(agent)
}

// serveLink registers a new connection and handles its frames until it ends. It reports whether a frame has
// arrived.
func (e *Entry) serveLink(ctx context.Context, a *agent, conn *link.Conn) bool {
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	defer conn.Close()
	if !e.openLink(a, conn) {
		return false
	}
	for received := false; ; received = true {
		var f peerv1.AgentFrame
		if err := conn.Receive(&f); err != nil {
			e.handleLinkLost(a, conn, err)
			return received
		}
		e.handleFrame(a, &f)
	}
}

// openLink registers a connection as the agent's link. It returns false if the agent has been removed
// from the partners in the meantime.
func (e *Entry) openLink(a *agent, conn *link.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.agents[a.id] != a {
		return false
	}
	a.conn = conn
	a.lastSeq, a.tokenMS, a.outOfServiceSent = 0, 0, false
	a.probeSent = time.Time{}
	now := boottime.Now()
	e.dropJobsAfterPause(now)
	e.scheduler.AgentConnected(now, a.id)
	e.flush()
	e.Log.Info(event.LinkOpened, event.Fields{"agent": a.id, "address": a.addr, "local": conn.Local()})
	return true
}

// handleLinkLost records the end of a link, unless a newer link to the same agent is in use.
func (e *Entry) handleLinkLost(a *agent, conn *link.Conn, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.conn == conn {
		a.conn = nil
	}
	// The agent may have been removed and added again since, with a new link.
	if e.agents[a.id] == a && a.conn == nil {
		e.scheduler.AgentDisconnected(boottime.Now(), a.id)
	}
	e.Log.Info(event.LinkLost, event.Fields{"agent": a.id, "reason": err.Error()})
}

// handleFrame processes one frame from an agent.
func (e *Entry) handleFrame(a *agent, f *peerv1.AgentFrame) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.agents[a.id] != a {
		return
	}
	now := boottime.Now()
	e.dropJobsAfterPause(now)
	a.lastSeq = f.GetSeq()
	a.tokenMS = max(a.tokenMS, f.GetClockMs())
	e.scheduler.RecordMessage(now, a.id)
	e.observeResponse(a, now, f.GetAck())
	e.applyFrame(a, now, f)
	e.flush()
	if e.mustUpdateDemand(a, now) {
		e.sendHeartbeat(a)
	}
}

// mustUpdateDemand reports whether the agent has to be told now that tasks have begun or ceased to wait: it reserves
// capacity for entries with waiting tasks. The caller must hold e.mu.
func (e *Entry) mustUpdateDemand(a *agent, now time.Time) bool {
	return now.Sub(a.lastSent) >= demandUpdateInterval && a.demandSent != e.scheduler.HasWaiting(now, a.id)
}

// applyFrame passes the content of a frame to the scheduler. The caller must hold e.mu.
func (e *Entry) applyFrame(a *agent, now time.Time, f *peerv1.AgentFrame) {
	for _, p := range f.GetProgress() {
		ref, percent, age := link.ProgressFromProto(p)
		e.scheduler.Progress(now, a.id, ref, percent, age)
	}
	// Crashes come before the ends of the runs that they took with them.
	for _, c := range f.GetCrashes() {
		crash, ago := link.CrashFromProto(c)
		e.scheduler.ServerCrashed(now, a.id, crash, ago)
	}
	for _, v := range f.GetAnswers() {
		e.scheduler.JobAnswered(now, a.id, link.AnswerFromProto(v))
	}
	for _, id := range f.GetCancels() {
		e.scheduler.Cancel(id)
	}
	for _, v := range f.GetCancelAnswers() {
		e.scheduler.CancelAnswered(a.id, v.GetJob(), link.CancelAnswerFromProto(v))
	}
	e.settleCancels(now)
	for _, v := range f.GetEvents() {
		e.scheduler.Event(now, a.id, link.EventFromProto(v))
	}
	if s := f.GetServer(); s != nil {
		a.server = link.ServerFromProto(s)
	}
	if f.GetHello() != nil {
		a.incarnation = f.GetHello().GetIncarnation()
	}
	report := link.ReportFromProto(f, a.server)
	report.Incarnation = a.incarnation
	e.scheduler.Report(now, a.id, report)
}

// sendBatch sends a batch to the agent as one frame, and drops it if there is no link. The caller must
// hold e.mu.
func (e *Entry) sendBatch(a *agent, b jobs.Batch) {
	if a.conn == nil {
		return
	}
	a.lastSent = boottime.Now()
	f := link.BatchToProto(b)
	f.Ack, f.TokenMs = a.lastSeq, a.tokenMS
	f.SlowdownPermille = link.SlowdownToProto(e.scheduler.MeasuredSlowdown(a.id))
	f.Confined = e.scheduler.ConfinedKinds(a.id)
	e.addDemand(a, f)
	if b.Seq == 1 {
		f.Hello = &peerv1.LinkHello{Id: e.ID, Incarnation: e.Incarnation}
	}
	if !a.outOfServiceSent {
		a.outOfServiceSent = true
		f.Out = &peerv1.DomainsOut{Revision: e.outOfService.revision, Domains: e.outOfService.domains}
	}
	if slices.Contains(e.registrars, a.id) {
		f.ListedAgents = link.ListedToProto(e.scheduler.ListedAgents(a.lastSent))
	}
	if len(b.Orders) == 0 {
		a.startProbe(a.lastSent, b.Seq)
	}
	a.conn.Send(f)
}

// addDemand adds the demand of the waiting tasks to a frame that is sent at a.lastSent. The caller must hold e.mu.
func (e *Entry) addDemand(a *agent, f *peerv1.EntryFrame) {
	want := e.scheduler.WaitingDemand(a.lastSent, a.id)
	a.demandSent = want.Demand.CPU > 0
	if a.demandSent {
		f.Want, f.SlackMs = link.DemandToProto(want.Demand), want.Urgency.Sub(a.lastSent).Milliseconds()
	}
}

// busyHeartbeatInterval returns the time between frames to a busy agent for the given number of agents.
func busyHeartbeatInterval(agents int) time.Duration {
	return min(maxHeartbeatInterval, max(minHeartbeatInterval, time.Duration(agents)*time.Second/heartbeatRate))
}

// sendHeartbeats sends a frame without orders to each agent whose heartbeat is due. The caller must hold
// e.mu.
func (e *Entry) sendHeartbeats(now time.Time) {
	busyInterval := busyHeartbeatInterval(len(e.agents))
	for id, a := range e.agents {
		interval := idleHeartbeatInterval
		if e.scheduler.HasRuns(id) {
			interval = busyInterval
		}
		if now.Sub(a.lastSent) >= interval {
			e.sendHeartbeat(a)
		}
	}
}

// sendHeartbeatToAll sends a frame without orders to every agent. The caller must hold e.mu.
func (e *Entry) sendHeartbeatToAll() {
	for _, a := range e.agents {
		e.sendHeartbeat(a)
	}
}

// sendHeartbeat sends a frame without orders to the agent. The caller must hold e.mu.
func (e *Entry) sendHeartbeat(a *agent) {
	if b, ok := e.scheduler.NextFrame(a.id); ok {
		e.sendBatch(a, b)
	}
}

// jitter returns a random duration from d/2 to 3d/2, so that processes do not retry in step.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
