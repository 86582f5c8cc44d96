package cluster

import (
	"context"
	"time"

	"connectrpc.com/connect"
	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/api/gen/poplargw/peer/v1/peerv1connect"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/member"
	"poplargw.example/dispatch/table"
)

const (
	// heartbeatEvery leaves room for three heartbeats within the freshness bound of 2 s.
	heartbeatEvery = 500 * time.Millisecond
	// heartbeatLimit lets a heartbeat over a fresh connection still end within the bound after one was lost.
	heartbeatLimit = 800 * time.Millisecond
	// recordLimit bounds Publish and Fetch, which can carry 1 MB.
	recordLimit = 2 * time.Second
)

func (c *Cluster) peer(addr string) peerv1connect.EntryPeerClient {
	return peerv1connect.NewEntryPeerClient(c.o.Client.HTTP(addr), "https://"+addr)
}

// heartbeats sends heartbeats to every other member until ctx ends.
func (c *Cluster) heartbeats(ctx context.Context) error {
	return every(ctx, heartbeatEvery, func() {
		for _, m := range c.others() {
			if !c.beats.begin(m.GetId()) {
				continue
			}
			c.background(func(ctx context.Context) {
				defer c.beats.end(m.GetId())
				c.beat(ctx, m)
			})
		}
	})
}

// beat sends one heartbeat and notes the answer.
func (c *Cluster) beat(ctx context.Context, m *peerv1.EntryMember) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatLimit)
	defer cancel()
	begin := time.Now()
	resp, err := c.peer(m.GetAddress()).Heartbeat(ctx, connect.NewRequest(&peerv1.HeartbeatRequest{
		Versions: c.Versions(), Entry: c.o.Settings.Node.ID, Incarnation: c.o.Incarnation,
	}))
	if err != nil {
		c.missed(m, err)
		return
	}
	c.metrics.beatsOK.Inc()
	c.answered(m, begin, resp.Msg)
}

func (c *Cluster) answered(m *peerv1.EntryMember, begin time.Time, r *peerv1.HeartbeatResponse) {
	if r.GetEntry() != m.GetId() {
		return
	}
	c.mutate(func(st *member.State, now time.Time) {
		st.Heard(member.Answer{
			Peer: r.GetEntry(), Incarnation: r.GetIncarnation(), Begin: begin, Synced: r.GetSynced(),
			Config: r.GetVersions().GetConfig(), Table: r.GetVersions().GetTable(),
		}, now)
	})
	c.Observe(r.GetVersions(), m.GetAddress())
}

// missed handles a heartbeat without answer. Connections can go silent for good while
// new ones work, so the next call uses a new one.
func (c *Cluster) missed(m *peerv1.EntryMember, err error) {
	c.metrics.beatsMissed.Inc()
	code := connect.CodeOf(err)
	if code != connect.CodeDeadlineExceeded && code != connect.CodeUnavailable || c.ctx.Err() != nil {
		return
	}
	if c.resets.allow(m.GetAddress(), time.Now()) {
		c.o.Client.Reset(m.GetAddress())
		c.o.Log.Warn(event.HeartbeatMissed, event.Fields{"entry": m.GetId(), "address": m.GetAddress(), "error": err.Error()})
	}
}

// Heartbeat answers a heartbeat of another entry.
func (c *Cluster) Heartbeat(_ context.Context, r *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
	c.mutate(func(st *member.State, now time.Time) { st.Contact(r.GetEntry(), r.GetIncarnation(), now) })
	if m := table.Member(c.Table(), r.GetEntry()); m != nil {
		c.Observe(r.GetVersions(), m.GetAddress())
	}
	s := c.snap.Load()
	return &peerv1.HeartbeatResponse{
		Versions: s.versions, Entry: c.o.Settings.Node.ID, Incarnation: c.o.Incarnation, Synced: s.synced,
	}, nil
}

// Publish takes over newer records from another entry.
func (c *Cluster) Publish(_ context.Context, r *peerv1.PublishRequest) (*peerv1.PublishResponse, error) {
	known := c.snap.Load()
	if fork(known.config, r.GetConfig()) || fork(known.table, r.GetTable()) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errDiffers)
	}
	c.Adopt(r.GetConfig(), r.GetTable())
	s := c.snap.Load()
	return &peerv1.PublishResponse{Versions: s.versions, Synced: s.synced}, nil
}

// Fetch returns the newest records. The agents are added by the entry package.
func (c *Cluster) Fetch(context.Context, *peerv1.FetchRequest) (*peerv1.FetchResponse, error) {
	s := c.snap.Load()
	return &peerv1.FetchResponse{Config: s.config, Table: s.table, Synced: s.synced}, nil
}

// Observe implements View.
func (c *Cluster) Observe(v *peerv1.Versions, from string) {
	own := c.Versions()
	if from == "" || v.GetConfig() <= own.GetConfig() && v.GetTable() <= own.GetTable() {
		return
	}
	if !c.fetches.begin(from) {
		return
	}
	c.background(func(ctx context.Context) {
		defer c.fetches.end(from)
		c.fetch(ctx, from)
	})
}

func (c *Cluster) fetch(ctx context.Context, from string) {
	ctx, cancel := context.WithTimeout(ctx, recordLimit)
	defer cancel()
	resp, err := c.peer(from).Fetch(ctx, connect.NewRequest(&peerv1.FetchRequest{}))
	before := c.snap.Load()
	if err == nil {
		c.Adopt(resp.Msg.GetConfig(), resp.Msg.GetTable())
	}
	if now := c.snap.Load(); now.config == before.config && now.table == before.table {
		// Every message of the peer shows the newer version again; do not ask again at once.
		pause(ctx, retryPause)
	}
}

// publish sends the newest records to a member and asks what it knows then.
func (c *Cluster) publish(ctx context.Context, m *peerv1.EntryMember) {
	limit, cancel := context.WithTimeout(ctx, recordLimit)
	defer cancel()
	s := c.snap.Load()
	_, err := c.peer(m.GetAddress()).Publish(limit, connect.NewRequest(&peerv1.PublishRequest{Config: s.config, Table: s.table}))
	if err != nil {
		c.missed(m, err)
		return
	}
	// The answer to a heartbeat names the incarnation, which a majority depends on.
	c.beat(ctx, m)
}

// publishAll sends the newest records to all other members in the background.
func (c *Cluster) publishAll() {
	for _, m := range c.others() {
		c.background(func(ctx context.Context) { c.publish(ctx, m) })
	}
}
