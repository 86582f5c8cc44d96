package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"sort"
	"time"
)

// FollowOptions say how a prefix is followed.
type FollowOptions struct {
	Prefix string
	// Wait bounds one watch. An open connection may go silent for good, so this also bounds how late
	// a change is seen then.
	Wait time.Duration
	// Margin is how much longer than its wait a watch may take, and how long a read may take.
	Margin time.Duration
	// FirstPause bounds the pause between failed reads before the first view, for followers that cannot
	// serve without one; 0 means the ordinary bound.
	FirstPause time.Duration
	// Gather is the pause after a change before the next watch, so that many changes at the same time are
	// read with few calls; 0 means none.
	Gather time.Duration
	// Apply gets each new view, sorted by key. Views never go back to an older revision.
	Apply func(View)
	// Lost and Regained are told when the store stops answering and when it answers again.
	Lost     func(error)
	Regained func()
}

const (
	// backoffFirst and backoffLast bound the pause after a failed call, which doubles. The last one
	// is short enough that a change is seen within 2 s of the store's return.
	backoffFirst = 50 * time.Millisecond
	backoffLast  = 800 * time.Millisecond
)

// Follow keeps a view of a prefix up to date until ctx ends: it reads the range once and then watches,
// and reads again when the history is gone.
func Follow(ctx context.Context, k Keyspace, o FollowOptions) {
	f := &follower{FollowOptions: o, store: k, pause: backoffFirst}
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		f.note(ctx, err)
	}
}

type follower struct {
	FollowOptions
	store    Keyspace
	items    map[string]Item
	revision uint64
	synced   bool
	failing  bool
	pause    time.Duration
}

func (f *follower) step(ctx context.Context) error {
	if !f.synced {
		return f.read(ctx)
	}
	return f.watch(ctx)
}

func (f *follower) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.Margin)
	defer cancel()
	s, err := f.store.Range(ctx, f.Prefix)
	if err != nil {
		return err
	}
	if s.Revision < f.revision {
		return ErrUnavailable
	}
	f.items = make(map[string]Item, len(s.Items))
	for _, i := range s.Items {
		f.items[i.Key] = i
	}
	f.revision = s.Revision
	f.synced = true
	f.apply()
	return nil
}

func (f *follower) watch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.Wait+f.Margin)
	defer cancel()
	c, err := f.store.WatchPrefix(ctx, f.Prefix, f.revision, f.Wait)
	if errors.Is(err, ErrCompacted) {
		f.synced = false
		return nil
	}
	if err != nil {
		return err
	}
	if c.Revision < f.revision {
		return ErrUnavailable
	}
	changed := f.merge(c.List)
	f.revision = c.Revision
	if changed {
		f.apply()
		_ = sleep(ctx, f.Gather) // the loop sees the end of ctx itself
	}
	return nil
}

// merge applies changes that are newer than what is held and tells whether there were any.
func (f *follower) merge(list []Change) bool {
	changed := false
	for _, c := range list {
		if c.Revision <= f.items[c.Key].Revision {
			continue
		}
		changed = true
		if c.Deleted {
			delete(f.items, c.Key)
		} else {
			f.items[c.Key] = c.Item
		}
	}
	return changed
}

func (f *follower) apply() {
	v := View{Revision: f.revision}
	for _, i := range f.items {
		v.Items = append(v.Items, i)
	}
	sort.Slice(v.Items, func(a, b int) bool { return v.Items[a].Key < v.Items[b].Key })
	f.Apply(v)
}

// note pauses after a failure, longer each time, with jitter so that processes do not call together.
func (f *follower) note(ctx context.Context, err error) {
	if err == nil {
		f.pause = backoffFirst
		if f.failing {
			f.failing = false
			f.Regained()
		}
		return
	}
	if !f.failing {
		f.failing = true
		f.Lost(err)
	}
	most := backoffLast
	if f.revision == 0 && f.FirstPause > 0 {
		most = f.FirstPause
	}
	pause(ctx, &f.pause, most)
}

// pause waits for about the given time and doubles it up to the given bound.
func pause(ctx context.Context, d *time.Duration, most time.Duration) {
	// The loop that calls sees the end of ctx itself.
	_ = sleep(ctx, *d/2+rand.N(*d))
	*d = min(2**d, most)
}
