package runagent

import (
	"context"
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/event"
	"poplargw.example/daemon/link"
	"poplargw.example/daemon/steady"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
	"poplargw.example/dispatch/runtable"
)

// session is the link to one entry. Its fields are guarded by the agent's lock.
type session struct {
	entry  string
	conn   *link.Conn
	seq    uint64
	ack    uint64
	sent   time.Time // of the newest frame to the entry
	heard  time.Time // of the newest frame from the entry
	claims []*peerv1.RunClaim
	server run.Server // as the entry was told
}

// answerWithin is how long after a frame to the entry one that carries orders needs no answer of its
// own: the entry counts them against the room that it knows, and the next frame tells the rest.
const answerWithin = 40 * time.Millisecond

// serve handles one link until it ends.
func (a *Agent) serve(ctx context.Context, conn *link.Conn) {
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	defer conn.Close()
	var first peerv1.EntryFrame
	if err := conn.Receive(&first); err != nil || first.GetHello() == nil {
		a.Log.Warn(event.LinkLost, event.Fields{"peer": conn.Remote(), "reason": "no hello"})
		return
	}
	s := &session{entry: first.GetHello().GetId() + "/" + first.GetHello().GetIncarnation(), conn: conn}
	a.open(s)
	a.take(ctx, s, &first)
	err := a.receive(ctx, s)
	a.close(s, err)
}

func (a *Agent) open(s *session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if old := a.sessions[s.entry]; old != nil {
		old.conn.Close()
	}
	a.sessions[s.entry] = s
	a.Log.Info(event.LinkOpened, event.Fields{"entry": s.entry, "peer": s.conn.Remote()})
}

func (a *Agent) close(s *session, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sessions[s.entry] == s {
		delete(a.sessions, s.entry)
		a.table.Unlinked(s.entry)
	}
	a.Log.Info(event.LinkLost, event.Fields{"entry": s.entry, "reason": err.Error()})
}

func (a *Agent) receive(ctx context.Context, s *session) error {
	for {
		var f peerv1.EntryFrame
		if err := s.conn.Receive(&f); err != nil {
			return err
		}
		a.take(ctx, s, &f)
	}
}

// entryLife is how long an entry counts as one that shares the backend server after its newest frame;
// entries send one every 120 ms at least.
const entryLife = 500 * time.Millisecond

// entries is the number of entries that share the backend server. A connection may stay open for long
// after its entry has lost its power.
func (a *Agent) entries(now time.Time) int {
	n := 0
	for _, s := range a.sessions {
		if now.Sub(s.heard) <= entryLife {
			n++
		}
	}
	return n
}

// take handles one frame. It answers those without orders, so that the entry learns of the agent's
// clock and state, and others when there is something to tell or the last answer is old.
func (a *Agent) take(ctx context.Context, s *session, f *peerv1.EntryFrame) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sessions[s.entry] != s {
		return
	}
	now := steady.Now()
	token := a.began.Add(time.Duration(f.GetTokenMs()) * time.Millisecond)
	s.ack = f.GetSeq()
	s.heard = now
	a.table.Want(now, s.entry, now.Add(time.Duration(f.GetSlackMs())*time.Millisecond), link.DemandIn(f.GetWant()))
	a.table.Heard(s.entry, token)
	if out := f.GetOut(); out != nil {
		a.table.SetOut(out.GetRevision(), out.GetDomains())
	}
	s.claims = append(s.claims, f.GetClaims()...)
	s.answerClaims(a, now)
	var refused []run.Event
	for _, o := range f.GetOrders() {
		if e, ok := a.order(ctx, s, now, token, o); !ok {
			refused = append(refused, e)
		}
	}
	for _, r := range f.GetStops() {
		if ref := link.RefIn(r); a.table.Stop(ref) {
			a.stop(ctx, ref)
		}
	}
	tell := map[string][]run.Event{}
	if len(f.GetOrders()) == 0 || len(refused) > 0 || now.Sub(s.sent) >= answerWithin {
		tell[s.entry] = refused
	}
	a.tell(now, tell)
}

// order starts a run, or returns the event that refuses it.
func (a *Agent) order(ctx context.Context, s *session, now, token time.Time, o *peerv1.RunOrder) (run.Event, bool) {
	ref := link.RefIn(o.GetRef())
	code := a.table.Order(now, runtable.Order{
		Ref: ref, Owner: s.entry, Demand: link.DemandIn(o.GetDemand()), Instance: o.GetServer(), Token: token,
		MaxPerServer: int(o.GetMaxPerServer()), Label: o.GetLabel(),
	})
	if code != 0 {
		a.counters.refused(code)
		if code != result.NoFreeSlot {
			a.Log.Sample(event.OrderRefused, event.Fields{
				"task": ref.Task, "run": ref.Run, "entry": s.entry, "code": uint32(code), "token_age_ms": now.Sub(token).Milliseconds(),
			})
		}
		return run.Event{Ref: ref, Kind: run.NotRun, Reason: code}, false
	}
	a.counters.orders.Inc()
	a.specs[ref] = spec{text: o.GetSpec(), checkpoint: o.GetCheckpoint(), instance: o.GetServer()}
	go a.start(ctx, ref)
	return run.Event{}, true
}

// answerClaims tells the entry what has become of runs that it asked for.
func (s *session) answerClaims(a *Agent, now time.Time) {
	if len(s.claims) == 0 || !a.table.Settled(now) {
		return
	}
	var events []run.Event
	for _, c := range s.claims {
		ordered := now.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond)
		events = append(events, a.table.Claim(s.entry, link.RefIn(c.GetRef()), link.DemandIn(c.GetDemand()), now, ordered))
	}
	a.Log.Info(event.RunsClaimed, event.Fields{"entry": s.entry, "runs": len(events)})
	s.claims = nil
	s.send(a, events)
}

// send tells the entry the agent's clock and state, how its runs proceed, and the events. The caller
// holds the agent's lock.
func (s *session) send(a *Agent, events []run.Event) {
	s.seq++
	now := steady.Now()
	s.sent = now
	f := &peerv1.AgentFrame{
		Seq: s.seq, Ack: s.ack, ClockMs: uint64(now.Sub(a.began).Milliseconds()),
		Free: link.DemandOut(a.table.FreeFor(now, s.entry)), Entries: uint32(a.entries(now)),
	}
	if server := a.table.Server(now); s.seq == 1 || !server.Equal(&s.server) {
		f.Server = link.ServerOut(server)
		s.server = server
	}
	if s.seq == 1 {
		f.Hello = &peerv1.LinkHello{Id: a.ID, Incarnation: a.Incarnation}
	}
	for _, e := range events {
		f.Events = append(f.Events, link.EventOut(e))
	}
	for _, p := range a.table.Progress(now, s.entry) {
		f.Progress = append(f.Progress, &peerv1.RunProgress{Ref: link.RefOut(p.Ref), Percent: uint32(p.Percent), AgeMs: uint32(p.Age.Milliseconds())})
	}
	s.conn.Send(f)
}
