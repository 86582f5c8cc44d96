package runentry

import (
	"context"
	"math/rand/v2"
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/event"
	"poplargw.example/daemon/link"
	"poplargw.example/daemon/steady"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/run"
)

const (
	// leastBeat and mostBeat bound the time between frames to an agent that has runs of this entry. The
	// agent stops the runs of an entry that it does not hear from for 300 ms, see
	// runtable.Limits.OwnerSilence, and a stall shows in two or three readings of progress.
	leastBeat = 50 * time.Millisecond
	mostBeat  = 90 * time.Millisecond
	// beatRate is the number of frames a second, without orders, that an entry sends to busy agents
	// while that keeps the time between two within its bounds. A frame and its answer take 20 to 30 us,
	// and a small VM has a fifth of a core.
	beatRate = 500
	// wantGap is the least time between two frames that only tell an agent whether tasks wait: offers of
	// room are held for about that long.
	wantGap = 15 * time.Millisecond
	// idleBeat is the same without runs. It is below the age at which start tokens expire.
	idleBeat = 120 * time.Millisecond
	// dialLimit bounds one attempt to open a link.
	dialLimit = 250 * time.Millisecond
	// redialFirst and redialLast bound the pause between attempts, which doubles.
	redialFirst = 30 * time.Millisecond
	redialLast  = 400 * time.Millisecond
)

// agent is the link to one agent. Its fields are guarded by the entry's lock.
type agent struct {
	id, addr string
	conn     *link.Conn
	ack      uint64
	token    uint64
	sent     time.Time
	outSent  bool
	wanting  bool // the agent was told that tasks wait
	listed   bool
	unlisted time.Time          // when it left the list
	cancel   context.CancelFunc // nil until its link is dialled
	// probed is when the frame probeSeq was sent, zero when its answer has come; shortest is the
	// shortest time of such an answer.
	probed   time.Time
	probeSeq uint64
	shortest time.Duration
	server   run.Server // as the agent last described it
}

// keep dials the agent again and again.
func (e *Entry) keep(ctx context.Context, a *agent) {
	pause := redialFirst
	for ctx.Err() == nil {
		conn, err := link.Dial(ctx, a.addr, e.Links, dialLimit)
		if err != nil {
			steady.Sleep(ctx, jitter(pause))
			pause = min(2*pause, redialLast)
			continue
		}
		pause = redialFirst
		e.use(ctx, a, conn)
	}
}

// use serves a link until it ends.
func (e *Entry) use(ctx context.Context, a *agent, conn *link.Conn) {
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	defer conn.Close()
	if !e.open(a, conn) {
		return
	}
	for {
		var f peerv1.AgentFrame
		if err := conn.Receive(&f); err != nil {
			e.lost(a, conn, err)
			return
		}
		e.take(a, &f)
	}
}

// open puts a link into use, unless its agent was let go meanwhile.
func (e *Entry) open(a *agent, conn *link.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.agents[a.id] != a {
		return false
	}
	a.conn = conn
	a.ack, a.token, a.outSent = 0, 0, false
	a.probed = time.Time{}
	e.scheduler.AgentUp(steady.Now(), a.id)
	e.flush()
	e.Log.Info(event.LinkOpened, event.Fields{"agent": a.id, "address": a.addr})
	return true
}

func (e *Entry) lost(a *agent, conn *link.Conn, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.conn == conn {
		a.conn = nil
	}
	// An agent that was let go may have been taken again, with a link of its own.
	if e.agents[a.id] == a && a.conn == nil {
		e.scheduler.AgentDown(a.id)
	}
	e.Log.Info(event.LinkLost, event.Fields{"agent": a.id, "reason": err.Error()})
}

// take handles one frame of an agent.
func (e *Entry) take(a *agent, f *peerv1.AgentFrame) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.agents[a.id] != a {
		return
	}
	now := steady.Now()
	a.ack = f.GetSeq()
	a.token = max(a.token, f.GetClockMs())
	e.scheduler.Heard(now, a.id)
	e.observeAnswer(a, now, f.GetAck())
	for _, p := range f.GetProgress() {
		age := time.Duration(p.GetAgeMs()) * time.Millisecond
		e.scheduler.Progress(now, a.id, link.RefIn(p.GetRef()), int(p.GetPercent()), age)
	}
	for _, v := range f.GetEvents() {
		e.scheduler.Event(now, a.id, link.EventIn(v))
	}
	if s := f.GetServer(); s != nil {
		a.server = link.ServerIn(s)
	}
	e.scheduler.Report(now, a.id, jobs.Report{
		Server: a.server, Free: link.DemandIn(f.GetFree()), Ack: f.GetAck(), Entries: int(f.GetEntries()),
	})
	e.flush()
	// An agent holds room for an entry that wants some; it is told at once when that has changed.
	if now.Sub(a.sent) >= wantGap && a.wanting != e.scheduler.HasWaiting(now, a.id) {
		e.beatOne(a)
	}
}

// send writes a batch as a frame. The caller holds the lock.
func (e *Entry) send(a *agent, b jobs.Batch) {
	if a.conn == nil {
		return
	}
	a.sent = steady.Now()
	f := link.BatchOut(b)
	f.Ack, f.TokenMs = a.ack, a.token
	want := e.scheduler.Want(a.sent, a.id)
	a.wanting = want.Demand.CPU > 0
	if a.wanting {
		f.Want, f.SlackMs = link.DemandOut(want.Demand), want.Urgency.Sub(a.sent).Milliseconds()
	}
	if b.Seq == 1 {
		f.Hello = &peerv1.LinkHello{Id: e.ID, Incarnation: e.Incarnation}
	}
	if !a.outSent {
		a.outSent = true
		f.Out = &peerv1.DomainsOut{Revision: e.out.revision, Domains: e.out.domains}
	}
	if len(b.Orders) == 0 {
		a.probe(a.sent, b.Seq)
	}
	a.conn.Send(f)
}

// busyBeat is the time between frames to a busy agent when there are so many agents.
func busyBeat(agents int) time.Duration {
	return min(mostBeat, max(leastBeat, time.Duration(agents)*time.Second/beatRate))
}

// beat sends an empty frame to each agent that has not had one for a while. The caller holds the lock.
func (e *Entry) beat(now time.Time) {
	busy := busyBeat(len(e.agents))
	for id, a := range e.agents {
		every := idleBeat
		if e.scheduler.Busy(id) {
			every = busy
		}
		if now.Sub(a.sent) >= every {
			e.beatOne(a)
		}
	}
}

func (e *Entry) beatAll() {
	for _, a := range e.agents {
		e.beatOne(a)
	}
}

func (e *Entry) beatOne(a *agent) {
	if b, ok := e.scheduler.Beat(a.id); ok {
		e.send(a, b)
	}
}

// jitter spreads attempts of several processes over the pause.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
