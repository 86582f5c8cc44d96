package runagent

import (
	"context"
	"slices"
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
	"poplargw.example/daemon/link"
	"poplargw.example/dispatch/owner"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
	"poplargw.example/dispatch/runtable"
)

// session is the state of the link to one entry. Its fields are guarded by Agent.mu.
type session struct {
	// entry is the ID and the incarnation of the entry, separated by a slash.
	entry string
	conn  *link.Conn
	seq   uint64 // number of the newest frame to the entry
	// lastSeq is the number of the newest frame from the entry; the next frame to it acknowledges it.
	lastSeq uint64
	// eventSeq is the number of the newest frame to the entry with events, confirmedSeq that of the newest
	// frame that the entry has confirmed.
	eventSeq, confirmedSeq uint64
	lastSent               time.Time          // time of the newest frame to the entry
	lastReceived           time.Time          // time of the newest frame from the entry
	claims                 []*peerv1.RunClaim // claims of the entry that have no response yet
	sentServer             run.Server         // as last sent to the entry
	sentCrash              uint64             // number of the newest crash sent to the entry
	confined               []string           // kinds of request that the entry confines
	answers                []owner.Answer     // answers to requests for jobs, not yet sent
	cancels                []string           // jobs of the entry that were cancelled at another one, not yet sent
	cancelAnswers          []*peerv1.CancelAnswer
	// listed are the agents that have told the entry that their runs are listed, sentListed those that it was sent last.
	listed, sentListed []*peerv1.ListedAgent
}

// minResponseInterval is the time after a frame to the entry during which a frame with orders gets no
// response unless an order is refused: the entry subtracts its orders from the capacity that it knows, and
// the agent's next frame contains the rest.
const minResponseInterval = 40 * time.Millisecond

// serve handles one link, which must begin with a hello, until it ends.
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
	a.addSession(s)
	a.handleFrame(ctx, s, &first)
	err := a.receiveLoop(ctx, s)
	a.removeSession(s, err)
}

// addSession registers a session and closes the link of the entry's previous one.
func (a *Agent) addSession(s *session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if previous := a.sessions[s.entry]; previous != nil {
		previous.conn.Close()
	}
	a.sessions[s.entry] = s
	a.Log.Info(event.LinkOpened, event.Fields{"entry": s.entry, "peer": s.conn.Remote()})
}

// removeSession removes a session whose link ended with err, unless a newer one has replaced it.
func (a *Agent) removeSession(s *session, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sessions[s.entry] == s {
		delete(a.sessions, s.entry)
		a.table.DropRequest(s.entry)
		a.speeds.Set(s.entry, 0)
	}
	a.Log.Info(event.LinkLost, event.Fields{"entry": s.entry, "reason": err.Error()})
}

// receiveLoop handles the frames of an entry and returns the error that ended the link.
func (a *Agent) receiveLoop(ctx context.Context, s *session) error {
	for {
		var f peerv1.EntryFrame
		if err := s.conn.Receive(&f); err != nil {
			return err
		}
		a.handleFrame(ctx, s, &f)
	}
}

// entryTimeout is how long after its newest frame an entry counts as active. Entries send a frame at least
// every 120 ms.
const entryTimeout = 500 * time.Millisecond

// hasUnconfirmedEvents reports whether the entry is active and has not confirmed all events of its runs.
// The caller must hold Agent.mu.
func (s *session) hasUnconfirmedEvents(now time.Time) bool {
	return s.confirmedSeq < s.eventSeq && now.Sub(s.lastReceived) <= entryTimeout
}

// activeEntries returns the number of entries that share the backend server. It counts recent frames, not
// open connections: a connection may stay open long after its entry has lost power. The caller must hold
// a.mu.
func (a *Agent) activeEntries(now time.Time) int {
	n := 0
	for _, s := range a.sessions {
		if now.Sub(s.lastReceived) <= entryTimeout {
			n++
		}
	}
	return n
}

// handleFrame processes one frame from an entry. It responds to a frame without orders, so that the entry
// learns the agent's clock and state, and to a frame with orders if one was refused or the last response
// is older than minResponseInterval.
func (a *Agent) handleFrame(ctx context.Context, s *session, f *peerv1.EntryFrame) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sessions[s.entry] != s {
		return
	}
	now := boottime.Now()
	token := a.tokenTime(now, f.GetTokenMs())
	s.lastSeq = f.GetSeq()
	s.lastReceived = now
	s.confined = f.GetConfined()
	s.confirmedSeq = max(s.confirmedSeq, min(f.GetAck(), s.seq))
	a.table.Request(now, s.entry, now.Add(link.SlackFromProto(f.GetSlackMs())), link.DemandFromProto(f.GetWant()))
	a.table.Confirmed(s.entry, token)
	a.handleCancels(now, s, f.GetCancels())
	a.handleOwnership(now, s, f)
	s.recordListed(f.GetListedAgents())
	a.speeds.Set(s.entry, link.SlowdownFromProto(f.GetSlowdownPermille()))
	if out := f.GetOut(); out != nil {
		a.table.SetDomainsOut(out.GetRevision(), out.GetDomains())
	}
	s.claims = append(s.claims, f.GetClaims()...)
	s.respondToClaims(a, now)
	var refusals []run.Event
	for _, o := range f.GetOrders() {
		if e, ok := a.handleOrder(ctx, s, now, token, o); !ok {
			refusals = append(refusals, e)
		}
	}
	for _, r := range f.GetStops() {
		if ref := link.RefFromProto(r); a.table.Stop(now, ref) {
			a.stopRun(ctx, ref)
		}
	}
	updates := map[string][]run.Event{}
	if len(f.GetOrders()) == 0 || len(refusals) > 0 || len(s.answers)+len(s.cancelAnswers) > 0 || now.Sub(s.lastSent) >= minResponseInterval {
		updates[s.entry] = refusals
	}
	a.sendUpdates(now, updates)
}

// tokenTime returns the time, on the agent's clock, at which it sent the message that a start token names. A token of
// the future is none of this process: it confirms nothing, as if the entry had received no message. It would
// otherwise keep the runs of its entry until then, however long that is silent.
func (a *Agent) tokenTime(now time.Time, ms uint64) time.Time {
	if ms > uint64(now.Sub(a.startedAt).Milliseconds()) {
		return a.startedAt
	}
	return a.startedAt.Add(time.Duration(ms) * time.Millisecond)
}

// handleOrder starts a run and returns true, or returns the event that refuses the order and false. The
// caller must hold a.mu.
func (a *Agent) handleOrder(ctx context.Context, s *session, now, token time.Time, o *peerv1.RunOrder) (run.Event, bool) {
	ref := link.RefFromProto(o.GetRef())
	code := a.table.Order(now, runtable.Order{
		Ref: ref, Owner: s.entry, Demand: link.DemandFromProto(o.GetDemand()), Instance: o.GetServer(), Token: token,
		MaxPerServer: int(o.GetMaxPerServer()), Label: o.GetLabel(), Kind: o.GetKind(),
	})
	if code != 0 {
		a.counters.countRefusedOrder(code)
		if code != result.NoFreeSlot {
			a.Log.InfoLimited(event.OrderRefused, event.Fields{
				"task": ref.Task, "run": ref.Run, "entry": s.entry, "code": uint32(code), "token_age_ms": now.Sub(token).Milliseconds(),
			})
		}
		return run.Event{Ref: ref, Kind: run.NotRun, Reason: code}, false
	}
	a.counters.orders.Inc()
	a.Log.Trace(event.OrderAccepted, event.Fields{
		"task": ref.Task, "run": ref.Run, "entry": s.entry, "peer": s.conn.Remote(), "frame": s.lastSeq, "expiry_ms": a.table.Expiry(ref),
	})
	a.specs[ref] = startSpec{text: o.GetSpec(), checkpoint: o.GetCheckpoint(), instance: o.GetServer()}
	go a.startRun(ctx, ref)
	return run.Event{}, true
}

// respondToClaims sends the entry the state of those runs that it claimed of which the table can tell. The
// others stay in s.claims. The caller must hold a.mu.
func (s *session) respondToClaims(a *Agent, now time.Time) {
	var events []run.Event
	var waiting []*peerv1.RunClaim
	for _, c := range s.claims {
		ref := link.RefFromProto(c.GetRef())
		if !a.table.CanAnswerClaim(now, ref) {
			waiting = append(waiting, c)
			continue
		}
		ordered := now.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond)
		e := a.table.Claim(s.entry, ref, link.DemandFromProto(c.GetDemand()), now, ordered)
		a.Log.Trace(event.ClaimAnswered, event.Fields{
			"task": ref.Task, "run": ref.Run, "entry": s.entry, "peer": s.conn.Remote(), "age_ms": c.GetAgeMs(), "kind": e.Kind.String(), "code": uint32(e.Reason),
		})
		events = append(events, e)
	}
	s.claims = waiting
	if len(events) == 0 {
		return
	}
	a.Log.Info(event.RunsClaimed, event.Fields{"entry": s.entry, "runs": len(events), "waiting": len(waiting)})
	s.send(a, events)
}

// send sends the entry a frame with the agent's clock and state, the progress of the entry's runs, and the
// events. The caller must hold a.mu.
func (s *session) send(a *Agent, events []run.Event) {
	s.seq++
	now := boottime.Now()
	s.lastSent = now
	f := &peerv1.AgentFrame{
		Seq: s.seq, Ack: s.lastSeq, ClockMs: uint64(now.Sub(a.startedAt).Milliseconds()),
		Free: link.DemandToProto(a.table.FreeFor(now, s.entry)), Entries: uint32(a.activeEntries(now)),
		SlowdownPermille: link.SlowdownToProto(a.speeds.Others(s.entry)),
	}
	if server := a.table.Server(now); s.seq == 1 || !server.Equal(&s.sentServer) {
		f.Server = link.ServerToProto(server)
		s.sentServer = server
	}
	if s.seq == 1 {
		f.Hello = &peerv1.LinkHello{Id: a.ID, Incarnation: a.Incarnation}
	}
	for _, e := range events {
		f.Events = append(f.Events, link.EventToProto(e))
		s.eventSeq = s.seq
	}
	for _, p := range a.table.Progress(now, s.entry) {
		f.Progress = append(f.Progress, link.ProgressToProto(p.Ref, p.Percent, p.Age))
	}
	for _, c := range a.table.Crashes(now, s.sentCrash) {
		f.Crashes = append(f.Crashes, link.CrashToProto(c.Crash, now.Sub(c.At)))
		s.sentCrash = c.Number
	}
	f.Confined = a.confinedByOthers(now, s)
	f.ReportsCrashes = true
	f.RecordsOwners = true
	f.RunsListed = a.table.RunsListed(now)
	f.ListedAgents = a.listedFor(s)
	f.Usage = link.UsageToProto(a.table.Usage(now))
	for _, answer := range s.answers {
		f.Answers = append(f.Answers, link.AnswerToProto(answer))
	}
	f.Cancels, f.CancelAnswers = s.cancels, s.cancelAnswers
	s.answers, s.cancels, s.cancelAnswers = nil, nil, nil
	s.conn.Send(f)
}

// confinedByOthers returns the kinds of request that active entries other than that of the session confine. The
// caller must hold Agent.mu.
func (a *Agent) confinedByOthers(now time.Time, s *session) []string {
	var kinds []string
	for _, o := range a.sessions {
		if o != s && now.Sub(o.lastReceived) <= entryTimeout {
			kinds = append(kinds, o.confined...)
		}
	}
	slices.Sort(kinds)
	return slices.Compact(kinds)
}
