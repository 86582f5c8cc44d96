package agent

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/api/gen/poplargw/peer/v1/peerv1connect"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/submission"
	"poplargw.example/dispatch/table"
)

const (
	// reportEvery is the longest time between two reports to one entry.
	reportEvery = time.Second
	// reportLimit is how long a report may go unanswered before the connection is replaced.
	reportLimit = time.Second
	// retryAfter is the pause after a report failed twice, and while no entry has an
	// entry table yet: the agent grants no start without one.
	retryAfter = 250 * time.Millisecond
	// coalesce is how long a change waits for others, so that one report carries them all.
	coalesce = 2 * time.Millisecond
	// slotReportsPerSecond bounds the reports of slot changes to all entries together.
	// At about 400 bytes each they stay within the control budget of 19 KB/s.
	slotReportsPerSecond = 30
	// slotReportBurst is how many slot changes are reported to one entry without a pause.
	slotReportBurst = 10
)

// reporter reports to one entry. The fields other than the channels are guarded by Agent.mu.
type reporter struct {
	address string
	client  peerv1connect.EntryPeerClient
	// urgent asks for a report at once, slots for one within the rate of slot changes.
	urgent, slots chan struct{}
	stop          context.CancelFunc
	// member is nil while no entry table names the address.
	member    *peerv1.EntryMember
	reachable bool
	reported  bool
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// notifyAll has every entry receive a report at once. It must be called under the lock.
func (a *Agent) notifyAll() {
	for _, r := range a.reporters {
		wake(r.urgent)
	}
}

// notifyOthers reports a slot change to all entries but the home of the key,
// which learns it from the reply to its Start. It must be called under the lock.
func (a *Agent) notifyOthers(k submission.Key) {
	home := table.Home(a.fence.Table(), k).GetId()
	for _, r := range a.reporters {
		if r.member.GetId() != home {
			wake(r.slots)
		}
	}
}

// followMembers keeps one reporter for each entry that should hear of this agent.
func (a *Agent) followMembers(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	for {
		a.matchReporters(ctx, g)
		select {
		case <-ctx.Done():
			return g.Wait()
		case <-a.members:
		case <-tick.C:
		}
	}
}

// matchReporters starts and stops reporters. The addresses of the settings are
// used until a table is known, and again while no entry answers, since all
// members of the known table may have been replaced.
func (a *Agent) matchReporters(ctx context.Context, g *errgroup.Group) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.fence.Table()
	wanted := make(map[string]*peerv1.EntryMember)
	if t == nil || !a.inContact() {
		for _, address := range a.o.Settings.Transport.Entries {
			wanted[address] = nil
		}
	}
	for _, m := range t.GetMembers() {
		wanted[m.GetAddress()] = m
	}
	for address, r := range a.reporters {
		if _, ok := wanted[address]; !ok {
			r.stop()
			delete(a.reporters, address)
		}
	}
	for address, m := range wanted {
		a.matchReporter(ctx, g, address, m)
	}
}

func (a *Agent) matchReporter(ctx context.Context, g *errgroup.Group, address string, m *peerv1.EntryMember) {
	r := a.reporters[address]
	if r == nil {
		own, stop := context.WithCancel(ctx)
		r = &reporter{
			address: address,
			client:  peerv1connect.NewEntryPeerClient(a.o.Client.HTTP(address), "https://"+address, clientOptions()...),
			urgent:  make(chan struct{}, 1),
			slots:   make(chan struct{}, 1),
			stop:    stop,
			member:  m,
		}
		a.reporters[address] = r
		g.Go(func() error { return a.reportTo(own, r) })
		return
	}
	if r.member.GetIncarnation() != m.GetIncarnation() && m != nil && !a.fence.AcknowledgedBy(m.GetIncarnation()) {
		wake(r.urgent)
	}
	r.member = m
}

// reportTo sends reports to one entry until ctx ends.
func (a *Agent) reportTo(ctx context.Context, r *reporter) error {
	due := time.NewTimer(0)
	defer due.Stop()
	budget := newBudget(slotReportBurst)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-due.C:
		case <-r.urgent:
			pause(ctx, coalesce, nil)
		case <-r.slots:
			// An urgent change ends the wait for the slot rate.
			pause(ctx, max(coalesce, budget.take(time.Now(), a.slotRate())), r.urgent)
		}
		drain(r.urgent)
		drain(r.slots)
		next := reportEvery
		if !a.reportWithRetry(ctx, r) || !a.hasTable() {
			next = retryAfter
		}
		due.Reset(next)
	}
}

func (a *Agent) hasTable() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fence.Table() != nil
}

func drain(c chan struct{}) {
	select {
	case <-c:
	default:
	}
}

// pause waits for d, the end of ctx, or a wake-up.
func pause(ctx context.Context, d time.Duration, early <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-early:
	}
}

// slotRate is the number of slot-change reports each second to one entry.
func (a *Agent) slotRate() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slotReportsPerSecond / float64(max(1, len(a.reporters)))
}

// budget is a token bucket.
type budget struct {
	burst, left float64
	filled      time.Time
}

func newBudget(burst float64) budget { return budget{burst: burst, left: burst} }

// take uses one unit and returns how long to wait for it.
func (b *budget) take(now time.Time, perSecond float64) time.Duration {
	if !b.filled.IsZero() {
		b.left = min(b.burst, b.left+now.Sub(b.filled).Seconds()*perSecond)
	}
	b.filled = now
	b.left--
	if b.left >= 0 {
		return 0
	}
	return time.Duration(-b.left / perSecond * float64(time.Second))
}

// reportWithRetry sends a report, and once more when it failed. Without any answer
// the second goes over a fresh connection from a new local port: a middlebox may
// have lost the flow.
func (a *Agent) reportWithRetry(ctx context.Context, r *reporter) bool {
	err := a.report(ctx, r)
	if err != nil && ctx.Err() == nil {
		if !connect.IsWireError(err) {
			a.o.Client.Reset(r.address)
		}
		err = a.report(ctx, r)
	}
	if ctx.Err() != nil {
		return false
	}
	a.noteContact(r, err)
	return err == nil
}

func (a *Agent) report(ctx context.Context, r *reporter) error {
	limited, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	a.m.reports.Inc()
	m, member := a.snapshot(r)
	res, err := r.client.Report(limited, connect.NewRequest(m))
	if err != nil {
		a.m.reportFailures.Inc()
		return err
	}
	a.acknowledged(r, member, res.Msg)
	return nil
}

func (a *Agent) noteContact(r *reporter, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ok := err == nil
	if r.reported && r.reachable == ok {
		return
	}
	r.reported, r.reachable = true, ok
	if ok {
		a.o.Log.Info(event.EntryReachable, event.Fields{"entry": r.member.GetId(), "address": r.address})
		return
	}
	a.o.Log.Warn(event.EntryUnreachable, event.Fields{"entry": r.member.GetId(), "address": r.address, "error": err.Error()})
}

// snapshot returns the present state as a report, and the member it is meant for.
func (a *Agent) snapshot(r *reporter) (*peerv1.ReportRequest, *peerv1.EntryMember) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.sequence++
	s := &peerv1.AgentState{
		Agent:         a.o.Settings.Node.ID,
		Incarnation:   a.incarnation,
		StartedUnixMs: a.started.UnixMilli(),
		Address:       a.o.Settings.Listen.PeerAddress(),
		Domain:        a.o.Settings.Node.Domain,
		Region:        a.o.Settings.Node.Region,
		Draining:      a.fence.Draining(),
		Sequence:      a.sequence,
	}
	for _, v := range a.fence.Servers(now) {
		s.Servers = append(s.Servers, &peerv1.ServerReport{Server: v.Server, Service: v.Service, Kinds: v.Kinds, Slots: v.Slots,
			FreeSlots: v.FreeSlots, Connections: v.Connections, Leaving: v.Leaving, Instance: v.Instance})
	}
	return &peerv1.ReportRequest{Versions: a.versions(), State: s, Token: a.token(now)}, r.member
}

// acknowledged takes over the answer to a report that was meant for member.
func (a *Agent) acknowledged(r *reporter, member *peerv1.EntryMember, m *peerv1.ReportResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answered, a.lastAnswer = true, a.now().Mono
	older := a.fence.Table().GetVersion()
	a.fence.Adopt(m.GetTable())
	// An address from the settings belongs to the member that the table now names there.
	if member == nil {
		for _, v := range a.fence.Table().GetMembers() {
			if v.GetAddress() == r.address {
				member = v
			}
		}
	}
	a.fence.Acknowledge(member.GetIncarnation())
	a.tableChanged(older)
	if m.GetVersions().GetConfig() > a.fence.ConfigVersion() {
		select {
		case a.fetch <- newer{address: r.address, config: m.GetVersions().GetConfig()}:
		default:
		}
	}
}

// tableChanged makes the reporters follow a newer entry table. It must be called under the lock.
func (a *Agent) tableChanged(older uint64) {
	t := a.fence.Table()
	if t.GetVersion() == older {
		return
	}
	a.o.Log.Info(event.AgentTableAdopted, event.Fields{"version": t.GetVersion(), "members": len(t.GetMembers())})
	wake(a.members)
}

// newer names an entry and the configuration version that it has.
type newer struct {
	address string
	config  uint64
}

func (a *Agent) configVersion() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fence.ConfigVersion()
}

// fetchRecords gets the configuration from entries that have a newer one.
func (a *Agent) fetchRecords(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case n := <-a.fetch:
			// All entries announce a version within one reporting interval; one fetch serves them all.
			if n.config > a.configVersion() {
				a.fetchFrom(ctx, n.address)
			}
		}
	}
}

func (a *Agent) fetchFrom(ctx context.Context, address string) {
	limited, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	a.m.fetches.Inc()
	c := peerv1connect.NewEntryPeerClient(a.o.Client.HTTP(address), "https://"+address, clientOptions()...)
	res, err := c.Fetch(limited, connect.NewRequest(&peerv1.FetchRequest{}))
	if err != nil {
		if ctx.Err() == nil {
			a.o.Log.Warn(event.AgentFetchFailed, event.Fields{"address": address, "error": err.Error()})
		}
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fence.Configure(res.Msg.GetConfig()) {
		a.o.Log.Info(event.AgentConfigured, event.Fields{"version": a.fence.ConfigVersion()})
		a.notifyAll()
	}
	older := a.fence.Table().GetVersion()
	a.fence.Adopt(res.Msg.GetTable())
	a.tableChanged(older)
}
