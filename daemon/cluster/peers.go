package cluster

import (
	"context"
	"time"

	"connectrpc.com/connect"
	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/api/gen/poplargw/peer/v1/peerv1connect"
	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/member"
	"poplargw.example/dispatch/table"
)

const (
	// heartbeatInterval allows for three heartbeats within the freshness limit of 2 s.
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout is short enough that after a lost heartbeat, another one over a new connection
	// still ends within the freshness limit.
	heartbeatTimeout = 800 * time.Millisecond
	// recordTimeout bounds Publish and Fetch, whose messages can contain 1 MB.
	recordTimeout = 2 * time.Second
)

// peer returns the client for the entry at addr.
func (c *Cluster) peer(addr string) peerv1connect.EntryPeerClient {
	return peerv1connect.NewEntryPeerClient(c.opts.Client.HTTP(addr), "https://"+addr)
}

// runHeartbeats sends heartbeats to every other member until ctx ends.
func (c *Cluster) runHeartbeats(ctx context.Context) error {
	return runEvery(ctx, heartbeatInterval, func() {
		for _, m := range c.otherMembers() {
			if !c.heartbeatLimiter.tryAcquire(m.GetId()) {
				continue
			}
			c.goBackground(func(ctx context.Context) {
				defer c.heartbeatLimiter.release(m.GetId())
				c.sendHeartbeat(ctx, m)
			})
		}
	})
}

// sendHeartbeat sends one heartbeat to m and processes the response.
func (c *Cluster) sendHeartbeat(ctx context.Context, m *peerv1.EntryMember) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	begin := time.Now()
	resp, err := c.peer(m.GetAddress()).Heartbeat(ctx, connect.NewRequest(&peerv1.HeartbeatRequest{
		Versions: c.Versions(), Entry: c.opts.Settings.Node.ID, Incarnation: c.opts.Incarnation,
	}))
	if err != nil {
		c.handleUnanswered(m, err)
		return
	}
	c.metrics.heartbeatsAnswered.Inc()
	c.handleHeartbeatResponse(m, begin, resp.Msg)
}

// handleHeartbeatResponse records the answer to a heartbeat that was sent to m at begin. It ignores
// the answer of another entry at the same address.
func (c *Cluster) handleHeartbeatResponse(m *peerv1.EntryMember, begin time.Time, r *peerv1.HeartbeatResponse) {
	if r.GetEntry() != m.GetId() {
		return
	}
	c.mutate(func(st *member.State, now time.Time) {
		st.RecordAnswer(member.Answer{
			Peer: r.GetEntry(), Incarnation: r.GetIncarnation(), Begin: begin, Synced: r.GetSynced(),
			Config: r.GetVersions().GetConfig(), Table: r.GetVersions().GetTable(),
		}, now)
	})
	c.Observe(r.GetVersions(), m.GetAddress())
}

// handleUnanswered handles a failed call to m. A connection can go silent permanently while new ones
// work, so after a call without an answer the next one uses a new connection.
func (c *Cluster) handleUnanswered(m *peerv1.EntryMember, err error) {
	c.metrics.heartbeatsMissed.Inc()
	code := connect.CodeOf(err)
	if code != connect.CodeDeadlineExceeded && code != connect.CodeUnavailable || c.ctx.Err() != nil {
		return
	}
	if c.resets.allow(m.GetAddress(), time.Now()) {
		c.opts.Client.Reset(m.GetAddress())
		c.opts.Log.Warn(event.HeartbeatMissed, event.Fields{"entry": m.GetId(), "address": m.GetAddress(), "error": err.Error()})
	}
}

// Heartbeat handles a heartbeat from another entry. The error is always nil.
func (c *Cluster) Heartbeat(_ context.Context, r *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
	c.mutate(func(st *member.State, now time.Time) { st.Contact(r.GetEntry(), r.GetIncarnation(), now) })
	if m := table.Member(c.Table(), r.GetEntry()); m != nil {
		c.Observe(r.GetVersions(), m.GetAddress())
	}
	s := c.snapshot.Load()
	return &peerv1.HeartbeatResponse{
		Versions: s.versions, Entry: c.opts.Settings.Node.ID, Incarnation: c.opts.Incarnation, Synced: s.synced,
	}, nil
}

// Publish adopts newer records from another entry. It fails with FAILED_PRECONDITION if a record has
// the version of the known one but different content.
func (c *Cluster) Publish(_ context.Context, r *peerv1.PublishRequest) (*peerv1.PublishResponse, error) {
	known := c.snapshot.Load()
	if isFork(known.config, r.GetConfig()) || isFork(known.table, r.GetTable()) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errForked)
	}
	c.Adopt(r.GetConfig(), r.GetTable())
	s := c.snapshot.Load()
	return &peerv1.PublishResponse{Versions: s.versions, Synced: s.synced}, nil
}

// Fetch returns the newest records. The entry package adds the agents to the response. The error is
// always nil.
func (c *Cluster) Fetch(context.Context, *peerv1.FetchRequest) (*peerv1.FetchResponse, error) {
	s := c.snapshot.Load()
	return &peerv1.FetchResponse{Config: s.config, Table: s.table, Synced: s.synced}, nil
}

// Observe implements View.
func (c *Cluster) Observe(v *peerv1.Versions, from string) {
	own := c.Versions()
	if from == "" || v.GetConfig() <= own.GetConfig() && v.GetTable() <= own.GetTable() {
		return
	}
	if !c.fetchLimiter.tryAcquire(from) {
		return
	}
	c.goBackground(func(ctx context.Context) {
		defer c.fetchLimiter.release(from)
		c.fetch(ctx, from)
	})
}

// fetch fetches the records of the entry at the address from, and adopts newer ones.
func (c *Cluster) fetch(ctx context.Context, from string) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	resp, err := c.peer(from).Fetch(ctx, connect.NewRequest(&peerv1.FetchRequest{}))
	before := c.snapshot.Load()
	if err == nil {
		c.Adopt(resp.Msg.GetConfig(), resp.Msg.GetTable())
	}
	if now := c.snapshot.Load(); now.config == before.config && now.table == before.table {
		// Every message of the peer contains the newer version; do not fetch again at once.
		boottime.Sleep(ctx, retryDelay)
	}
}

// publish sends the newest records to a member, followed by a heartbeat that asks for its versions.
func (c *Cluster) publish(ctx context.Context, m *peerv1.EntryMember) {
	callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	s := c.snapshot.Load()
	_, err := c.peer(m.GetAddress()).Publish(callCtx, connect.NewRequest(&peerv1.PublishRequest{Config: s.config, Table: s.table}))
	if err != nil {
		c.handleUnanswered(m, err)
		return
	}
	// Only the response to a heartbeat contains the incarnation, which the majority count needs.
	c.sendHeartbeat(ctx, m)
}

// publishAll sends the newest records to all other members in the background.
func (c *Cluster) publishAll() {
	for _, m := range c.otherMembers() {
		c.goBackground(func(ctx context.Context) { c.publish(ctx, m) })
	}
}
