package cluster

import (
	"context"
	"errors"
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/member"
	"poplargw.example/store"
)

// retryPause is the pause before a change of the table or the configuration is tried again.
const retryPause = 100 * time.Millisecond

// edit returns the next table, or nil if there is nothing to change.
type edit func(*member.State, time.Time) *peerv1.EntryTable

// membership joins the table, removes silent members and logs changes of freshness.
func (c *Cluster) membership(ctx context.Context) error {
	var wasFresh bool
	var delayed error
	return every(ctx, tickEvery, func() {
		c.mutate(func(st *member.State, now time.Time) { st.Tick(now) })
		if fresh := c.Fresh(time.Now()); fresh != wasFresh {
			c.logFresh(fresh)
			wasFresh = fresh
		}
		delayed = c.tryJoin(ctx, delayed)
		c.tryRemove(ctx)
	})
}

func (c *Cluster) logFresh(fresh bool) {
	if fresh {
		c.o.Log.Info(event.FreshAgain, nil)
		return
	}
	c.o.Log.Warn(event.NotFresh, nil)
}

// tryJoin joins the table if it may. It returns why it does not, for the log.
func (c *Cluster) tryJoin(ctx context.Context, logged error) error {
	var reason error
	var leaving bool
	c.inspect(func(st *member.State, now time.Time) { reason, leaving = st.MayJoin(now), c.leaving })
	if leaving || errors.Is(reason, member.ErrJoined) {
		return nil
	}
	if reason == nil {
		c.reportFailure(c.changeTable(ctx, c.joinEdit))
		return nil
	}
	if !errors.Is(logged, reason) {
		id := event.JoinDelayed
		if errors.Is(reason, member.ErrReplaced) {
			id = event.EntryIDTaken
		}
		c.o.Log.Warn(id, event.Fields{"reason": reason.Error()})
	}
	return reason
}

func (c *Cluster) joinEdit(st *member.State, now time.Time) *peerv1.EntryTable {
	if c.leaving || st.MayJoin(now) != nil {
		return nil
	}
	s := c.o.Settings
	return member.Join(st.Table(), &peerv1.EntryMember{
		Id: s.Node.ID, Incarnation: c.o.Incarnation, Address: s.Listen.PeerAddress(), Domain: s.Node.Domain, Region: s.Node.Region,
		Operators: s.Listen.OperatorAddress(),
	})
}

func (c *Cluster) tryRemove(ctx context.Context) {
	var m *peerv1.EntryMember
	c.inspect(func(st *member.State, now time.Time) { m = st.Remove(now) })
	if m == nil {
		return
	}
	err := c.changeTable(ctx, func(st *member.State, now time.Time) *peerv1.EntryTable {
		// The member may have answered, or the table changed, since the decision.
		if r := st.Remove(now); r.GetId() != m.GetId() || r.GetIncarnation() != m.GetIncarnation() {
			return nil
		}
		return member.Without(st.Table(), m.GetId(), m.GetIncarnation())
	})
	if err == nil {
		c.o.Log.Warn(event.SilentRemoved, event.Fields{"entry": m.GetId(), "incarnation": m.GetIncarnation()})
	}
	c.reportFailure(err)
}

func (c *Cluster) reportFailure(err error) {
	if err != nil && c.ctx.Err() == nil {
		c.o.Log.Warn(event.TableChangeFailed, event.Fields{"error": err.Error()})
	}
}

// SetLeaving marks this entry as leaving in the table, so that no key has its home here. It
// tries until it succeeds or ctx ends. This entry does not join again afterwards.
func (c *Cluster) SetLeaving(ctx context.Context) error {
	return c.depart(ctx, func(st *member.State, _ time.Time) *peerv1.EntryTable {
		return member.Leaving(st.Table(), c.o.Settings.Node.ID, c.o.Incarnation)
	})
}

// Leave removes this entry from the table. It tries until it succeeds or ctx ends.
// This entry does not join again afterwards.
func (c *Cluster) Leave(ctx context.Context) error {
	return c.depart(ctx, func(st *member.State, _ time.Time) *peerv1.EntryTable {
		return member.Without(st.Table(), c.o.Settings.Node.ID, c.o.Incarnation)
	})
}

func (c *Cluster) depart(ctx context.Context, e edit) error {
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	for {
		err := c.changeTable(ctx, e)
		if err == nil || !pause(ctx, retryPause) {
			return err
		}
	}
}

// changeTable writes the table that the edit makes of the newest one, again after a conflict. After
// a lost reply it returns an error although the change may have taken effect; edits
// are idempotent, so the caller can repeat it.
func (c *Cluster) changeTable(ctx context.Context, e edit) error {
	for {
		read, revision, err := c.read(ctx, tableRecord)
		if err != nil && !errors.Is(err, errOvertaken) {
			return err
		}
		next := c.next(e)
		if next == nil {
			return nil
		}
		if err == nil && next.GetVersion() == read.GetVersion()+1 {
			_, err = c.swap(ctx, tableRecord, next, revision)
			if err == nil {
				c.Adopt(nil, next)
				c.publishAll()
				return nil
			}
			if !errors.Is(err, store.ErrConflict) {
				return err
			}
		}
		if !pause(ctx, retryPause) {
			return ctx.Err()
		}
	}
}

func (c *Cluster) next(e edit) *peerv1.EntryTable {
	var next *peerv1.EntryTable
	c.inspect(func(st *member.State, now time.Time) { next = e(st, now) })
	return next
}
