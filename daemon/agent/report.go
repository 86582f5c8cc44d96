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
	// reportInterval is the longest time between two reports to one entry.
	reportInterval = time.Second
	// reportTimeout is how long a report may go unanswered before the connection is replaced.
	reportTimeout = time.Second
	// retryDelay is the time to the next report after one failed twice, and while
	// the agent has no entry table, without which it grants no start.
	retryDelay = 250 * time.Millisecond
	// coalesceDelay is how long a change waits for others, so that one report carries them all.
	coalesceDelay = 2 * time.Millisecond
	// slotReportsPerSecond limits the reports of slot changes, over all entries together.
	// At about 400 bytes each they stay within the control-traffic budget of 19 KB/s.
	slotReportsPerSecond = 30
	// slotReportBurst is the number of slot changes reported to one entry before the rate limit applies.
	slotReportBurst = 10
)

// reporter sends the reports to one entry. Agent.mu guards the fields other than the channels.
type reporter struct {
	address string
	client  peerv1connect.EntryPeerClient
	// urgent requests a report at once, slotsChanged one within the rate limit of slot changes.
	urgent, slotsChanged chan struct{}
	stop                 context.CancelFunc
	// member is nil while the entry table does not contain the address.
	member    *peerv1.EntryMember
	reachable bool
	// reachableKnown is set once reachable holds the result of a report.
	reachableKnown bool
}

// signal sends on c unless a value is already pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// notifyAll requests an immediate report to every entry. The caller must hold a.mu.
func (a *Agent) notifyAll() {
	for _, r := range a.reporters {
		signal(r.urgent)
	}
}

// notifyAllButHome requests a report of a slot change to all entries except the home
// of the key, which learns of it from the reply to its Start. The caller must hold a.mu.
func (a *Agent) notifyAllButHome(k submission.Key) {
	home := table.Home(a.fence.Table(), k).GetId()
	for _, r := range a.reporters {
		if r.member.GetId() != home {
			signal(r.slotsChanged)
		}
	}
}

// manageReporters keeps one reporter running for each entry that must receive
// reports, until ctx ends and all reporters have returned.
func (a *Agent) manageReporters(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		a.reconcileReporters(ctx, g)
		select {
		case <-ctx.Done():
			return g.Wait()
		case <-a.membersChanged:
		case <-tick.C:
		}
	}
}

// reconcileReporters starts and stops reporters so that they match the members of
// the entry table. The addresses in the settings are used until a table is known,
// and also while no entry answers, since all members of the known table may have
// been replaced.
func (a *Agent) reconcileReporters(ctx context.Context, g *errgroup.Group) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.fence.Table()
	wanted := make(map[string]*peerv1.EntryMember)
	if t == nil || !a.inContact() {
		for _, address := range a.opts.Settings.Transport.Entries {
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
		a.reconcileReporter(ctx, g, address, m)
	}
}

// reconcileReporter starts the reporter for an address or updates its member. m is
// nil for an address from the settings. The caller must hold a.mu.
func (a *Agent) reconcileReporter(ctx context.Context, g *errgroup.Group, address string, m *peerv1.EntryMember) {
	r := a.reporters[address]
	if r == nil {
		reporterCtx, stop := context.WithCancel(ctx)
		r = &reporter{
			address:      address,
			client:       peerv1connect.NewEntryPeerClient(a.opts.Client.HTTP(address), "https://"+address, clientOptions()...),
			urgent:       make(chan struct{}, 1),
			slotsChanged: make(chan struct{}, 1),
			stop:         stop,
			member:       m,
		}
		a.reporters[address] = r
		g.Go(func() error { return a.reportTo(reporterCtx, r) })
		return
	}
	if r.member.GetIncarnation() != m.GetIncarnation() && m != nil && !a.fence.AcknowledgedBy(m.GetIncarnation()) {
		signal(r.urgent)
	}
	r.member = m
}

// reportTo sends reports to one entry until ctx ends.
func (a *Agent) reportTo(ctx context.Context, r *reporter) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	bucket := newTokenBucket(slotReportBurst)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-r.urgent:
			pause(ctx, coalesceDelay, nil)
		case <-r.slotsChanged:
			// An urgent change ends the wait for the rate limit.
			pause(ctx, max(coalesceDelay, bucket.take(time.Now(), a.slotReportRate())), r.urgent)
		}
		clearSignal(r.urgent)
		clearSignal(r.slotsChanged)
		next := reportInterval
		if !a.reportWithRetry(ctx, r) || !a.hasTable() {
			next = retryDelay
		}
		timer.Reset(next)
	}
}

// hasTable reports whether the agent has an entry table.
func (a *Agent) hasTable() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fence.Table() != nil
}

// clearSignal discards the pending value of c, if any.
func clearSignal(c chan struct{}) {
	select {
	case <-c:
	default:
	}
}

// pause waits until d has passed, ctx ends, or wakeUp receives a value.
func pause(ctx context.Context, d time.Duration, wakeUp <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-wakeUp:
	}
}

// slotReportRate returns how many slot-change reports one entry may get per second.
func (a *Agent) slotReportRate() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slotReportsPerSecond / float64(max(1, len(a.reporters)))
}

// tokenBucket is a rate limiter. Tokens may become negative: each call of take
// reserves one, and the caller waits until it is available.
type tokenBucket struct {
	burst, tokens float64
	refilled      time.Time
}

func newTokenBucket(burst float64) tokenBucket { return tokenBucket{burst: burst, tokens: burst} }

// take reserves one token at the given refill rate and returns how long to wait for it.
func (b *tokenBucket) take(now time.Time, perSecond float64) time.Duration {
	if !b.refilled.IsZero() {
		b.tokens = min(b.burst, b.tokens+now.Sub(b.refilled).Seconds()*perSecond)
	}
	b.refilled = now
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / perSecond * float64(time.Second))
}

// reportWithRetry sends a report and repeats it once after a failure. If there was
// no answer at all, the second attempt uses a new connection from a new local port,
// since a middlebox may have lost the flow. It reports whether an attempt succeeded.
func (a *Agent) reportWithRetry(ctx context.Context, r *reporter) bool {
	err := a.report(ctx, r)
	if err != nil && ctx.Err() == nil {
		if !connect.IsWireError(err) {
			a.opts.Client.Reset(r.address)
		}
		err = a.report(ctx, r)
	}
	if ctx.Err() != nil {
		return false
	}
	a.recordContact(r, err)
	return err == nil
}

// report sends one report and processes the response.
func (a *Agent) report(ctx context.Context, r *reporter) error {
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	a.counters.reports.Inc()
	m, member := a.newReport(r)
	res, err := r.client.Report(callCtx, connect.NewRequest(m))
	if err != nil {
		a.counters.reportFailures.Inc()
		return err
	}
	a.handleResponse(r, member, res.Msg)
	return nil
}

// recordContact stores whether the entry is reachable and logs a change of that.
func (a *Agent) recordContact(r *reporter, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ok := err == nil
	if r.reachableKnown && r.reachable == ok {
		return
	}
	r.reachableKnown, r.reachable = true, ok
	if ok {
		a.opts.Log.Info(event.EntryReachable, event.Fields{"entry": r.member.GetId(), "address": r.address})
		return
	}
	a.opts.Log.Warn(event.EntryUnreachable, event.Fields{"entry": r.member.GetId(), "address": r.address, "error": err.Error()})
}

// newReport returns a report of the current state and the member it is addressed to.
func (a *Agent) newReport(r *reporter) (*peerv1.ReportRequest, *peerv1.EntryMember) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.sequence++
	s := &peerv1.AgentState{
		Agent:         a.opts.Settings.Node.ID,
		Incarnation:   a.incarnation,
		StartedUnixMs: a.started.UnixMilli(),
		Address:       a.opts.Settings.Listen.PeerAddress(),
		Domain:        a.opts.Settings.Node.Domain,
		Region:        a.opts.Settings.Node.Region,
		Draining:      a.fence.Draining(),
		Sequence:      a.sequence,
	}
	for _, v := range a.fence.Servers(now) {
		s.Servers = append(s.Servers, &peerv1.ServerReport{Server: v.Server, Service: v.Service, Kinds: v.Kinds, Slots: v.Slots,
			FreeSlots: v.FreeSlots, Connections: v.Connections, Leaving: v.Leaving, Instance: v.Instance})
	}
	return &peerv1.ReportRequest{Versions: a.versions(), State: s, Token: a.token(now)}, r.member
}

// handleResponse processes the response to a report that was addressed to member:
// it adopts a newer entry table, notes the acknowledgment, and requests a fetch of a
// newer configuration.
func (a *Agent) handleResponse(r *reporter, member *peerv1.EntryMember, m *peerv1.ReportResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answered, a.lastAnswer = true, a.now().Mono
	previousVersion := a.fence.Table().GetVersion()
	a.fence.AdoptTable(m.GetTable())
	// An address from the settings belongs to the member that the table now has at this address.
	if member == nil {
		for _, v := range a.fence.Table().GetMembers() {
			if v.GetAddress() == r.address {
				member = v
			}
		}
	}
	a.fence.Acknowledge(member.GetIncarnation())
	a.onTableChange(previousVersion)
	if m.GetVersions().GetConfig() > a.fence.ConfigVersion() {
		select {
		case a.fetchRequests <- fetchRequest{address: r.address, config: m.GetVersions().GetConfig()}:
		default:
		}
	}
}

// onTableChange makes manageReporters apply the entry table if it differs from
// previousVersion. The caller must hold a.mu.
func (a *Agent) onTableChange(previousVersion uint64) {
	t := a.fence.Table()
	if t.GetVersion() == previousVersion {
		return
	}
	a.opts.Log.Info(event.AgentTableAdopted, event.Fields{"version": t.GetVersion(), "members": len(t.GetMembers())})
	signal(a.membersChanged)
}

// fetchRequest is the address of an entry and the configuration version that it has.
type fetchRequest struct {
	address string
	config  uint64
}

// configVersion returns the version of the configuration in force, 0 without one.
func (a *Agent) configVersion() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fence.ConfigVersion()
}

// fetchNewerRecords fetches the records of the entries that fetchRequests names, until ctx ends. It
// skips a request whose configuration version the agent already has.
func (a *Agent) fetchNewerRecords(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case req := <-a.fetchRequests:
			// All entries announce a new version within one report interval; one fetch is enough.
			if req.config > a.configVersion() {
				a.fetchFrom(ctx, req.address)
			}
		}
	}
}

// fetchFrom fetches the configuration and the entry table from an entry and adopts
// them if they are newer.
func (a *Agent) fetchFrom(ctx context.Context, address string) {
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	a.counters.fetches.Inc()
	c := peerv1connect.NewEntryPeerClient(a.opts.Client.HTTP(address), "https://"+address, clientOptions()...)
	res, err := c.Fetch(callCtx, connect.NewRequest(&peerv1.FetchRequest{}))
	if err != nil {
		if ctx.Err() == nil {
			a.opts.Log.Warn(event.AgentFetchFailed, event.Fields{"address": address, "error": err.Error()})
		}
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fence.Configure(res.Msg.GetConfig()) {
		a.opts.Log.Info(event.AgentConfigured, event.Fields{"version": a.fence.ConfigVersion()})
		a.notifyAll()
	}
	previousVersion := a.fence.Table().GetVersion()
	a.fence.AdoptTable(res.Msg.GetTable())
	a.onTableChange(previousVersion)
}
