package agent

import (
	"context"
	"time"

	"connectrpc.com/connect"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/event"
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
