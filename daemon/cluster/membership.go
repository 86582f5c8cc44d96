package cluster

import (
	"context"
	"errors"
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/member"
	"poplargw.example/store"
)

// retryDelay is the delay before another attempt to change the table or the configuration, and
// after a fetch that returned nothing newer.
const retryDelay = 100 * time.Millisecond

// tableEdit returns the next entry table, or nil if nothing has to change.
type tableEdit func(*member.State, time.Time) *peerv1.EntryTable

// runMembership joins the table, removes silent members and logs changes of freshness until ctx
// ends.
func (c *Cluster) runMembership(ctx context.Context) error {
	var wasFresh bool
	var lastReason error
	return runEvery(ctx, membershipInterval, func() {
		c.mutate(func(st *member.State, now time.Time) { st.Tick(now) })
		if fresh := c.Fresh(time.Now()); fresh != wasFresh {
			c.logFreshness(fresh)
			wasFresh = fresh
		}
		lastReason = c.tryJoin(ctx, lastReason)
		c.removeSilentMember(ctx)
	})
}

// logFreshness logs that this entry became fresh, or is not fresh any more.
func (c *Cluster) logFreshness(fresh bool) {
	if fresh {
		c.opts.Log.Info(event.FreshAgain, nil)
		return
	}
	c.opts.Log.Warn(event.NotFresh, nil)
}

// tryJoin adds this entry to the table if that is allowed. Otherwise it returns the reason, and logs
// it if it differs from lastReason.
func (c *Cluster) tryJoin(ctx context.Context, lastReason error) error {
	var reason error
	var leaving bool
	c.inspect(func(st *member.State, now time.Time) { reason, leaving = st.MayJoin(now), c.leaving })
	if leaving || errors.Is(reason, member.ErrJoined) {
		return nil
	}
	if reason == nil {
		c.logTableChangeFailure(c.changeTable(ctx, c.addSelf))
		return nil
	}
	if !errors.Is(lastReason, reason) {
		id := event.JoinDelayed
		if errors.Is(reason, member.ErrReplaced) {
			id = event.EntryIDTaken
		}
		c.opts.Log.Warn(id, event.Fields{"reason": reason.Error()})
	}
	return reason
}

// addSelf is the tableEdit that adds this entry. The caller must hold c.mu.
func (c *Cluster) addSelf(st *member.State, now time.Time) *peerv1.EntryTable {
	if c.leaving || st.MayJoin(now) != nil {
		return nil
	}
	s := c.opts.Settings
	return member.Join(st.Table(), &peerv1.EntryMember{
		Id: s.Node.ID, Incarnation: c.opts.Incarnation, Address: s.Listen.PeerAddress(), Domain: s.Node.Domain, Region: s.Node.Region,
		Operators: s.Listen.OperatorAddress(),
	})
}

// removeSilentMember removes one member that has been silent for too long, if there is one.
func (c *Cluster) removeSilentMember(ctx context.Context) {
	var m *peerv1.EntryMember
	c.inspect(func(st *member.State, now time.Time) { m = st.MemberToRemove(now) })
	if m == nil {
		return
	}
	err := c.changeTable(ctx, func(st *member.State, now time.Time) *peerv1.EntryTable {
		// The member may have answered, or the table changed, since the decision.
		if r := st.MemberToRemove(now); r.GetId() != m.GetId() || r.GetIncarnation() != m.GetIncarnation() {
			return nil
		}
		return member.Without(st.Table(), m.GetId(), m.GetIncarnation())
	})
	if err == nil {
		c.opts.Log.Warn(event.SilentEntryRemoved, event.Fields{"entry": m.GetId(), "incarnation": m.GetIncarnation()})
	}
	c.logTableChangeFailure(err)
}

// logTableChangeFailure logs a failed change of the table, unless Run is returning.
func (c *Cluster) logTableChangeFailure(err error) {
	if err != nil && c.ctx.Err() == nil {
		c.opts.Log.Warn(event.TableChangeFailed, event.Fields{"error": err.Error()})
	}
}

// SetLeaving marks this entry as leaving in the table, so that it is the home of no key. It retries
// until it succeeds or ctx ends, and then returns the last error. This entry does not join again
// afterwards.
func (c *Cluster) SetLeaving(ctx context.Context) error {
	return c.applyLeavingEdit(ctx, func(st *member.State, _ time.Time) *peerv1.EntryTable {
		return member.Leaving(st.Table(), c.opts.Settings.Node.ID, c.opts.Incarnation)
	})
}

// Leave removes this entry from the table. It retries until it succeeds or ctx ends, and then
// returns the last error. This entry does not join again afterwards.
func (c *Cluster) Leave(ctx context.Context) error {
	return c.applyLeavingEdit(ctx, func(st *member.State, _ time.Time) *peerv1.EntryTable {
		return member.Without(st.Table(), c.opts.Settings.Node.ID, c.opts.Incarnation)
	})
}

// applyLeavingEdit keeps this entry from joining again and retries the edit until it succeeds or
// ctx ends.
func (c *Cluster) applyLeavingEdit(ctx context.Context, edit tableEdit) error {
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	for {
		err := c.changeTable(ctx, edit)
		if err == nil || !boottime.Sleep(ctx, retryDelay) {
			return err
		}
	}
}

// changeTable applies the edit to the newest table and writes the result, again after a conflict.
// After a lost reply it returns an error although the change may have taken effect; edits are
// idempotent, so the caller can retry.
func (c *Cluster) changeTable(ctx context.Context, edit tableEdit) error {
	for {
		current, revision, err := c.read(ctx, tableRecord)
		if err != nil && !errors.Is(err, errSuperseded) {
			return err
		}
		next := c.nextTable(edit)
		if next == nil {
			return nil
		}
		if err == nil && next.GetVersion() == current.GetVersion()+1 {
			_, err = c.compareAndSwap(ctx, tableRecord, next, revision)
			if err == nil {
				c.Adopt(nil, next)
				c.publishAll()
				return nil
			}
			if !errors.Is(err, store.ErrConflict) {
				return err
			}
		}
		if !boottime.Sleep(ctx, retryDelay) {
			return ctx.Err()
		}
	}
}

// nextTable returns the result of the edit for the current state.
func (c *Cluster) nextTable(edit tableEdit) *peerv1.EntryTable {
	var next *peerv1.EntryTable
	c.inspect(func(st *member.State, now time.Time) { next = edit(st, now) })
	return next
}
