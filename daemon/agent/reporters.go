package agent

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/api/gen/poplargw/peer/v1/peerv1connect"
	"poplargw.example/dispatch/submission"
	"poplargw.example/dispatch/table"
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

// clearSignal discards the pending value of c, if any.
func clearSignal(c chan struct{}) {
	select {
	case <-c:
	default:
	}
}
