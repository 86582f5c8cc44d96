package agent

import (
	"context"

	"connectrpc.com/connect"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/api/gen/poplargw/peer/v1/peerv1connect"
	"poplargw.example/daemon/event"
)

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
