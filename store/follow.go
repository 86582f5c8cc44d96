package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// FollowOptions configures Follow.
type FollowOptions struct {
	// Prefix selects the keys to follow.
	Prefix string
	// Wait is the longest time for which one watch waits for a change. A connection may stop delivering
	// data without being closed; Wait then also bounds the delay until a change is seen.
	Wait time.Duration
	// Margin is the time limit of a read, and of a watch beyond Wait.
	Margin time.Duration
	// FirstPause bounds the pause between failed reads until the first view has been read, for processes
	// that cannot serve without one; 0 means the ordinary bound.
	FirstPause time.Duration
	// BatchDelay is the pause between a change and the next watch, so that many simultaneous changes are read
	// with few calls; 0 means none.
	BatchDelay time.Duration
	// Apply is called with each new view, sorted by key. The revision does not decrease from one view to
	// the next, unless several consecutive reads have shown the lower one.
	Apply func(View)
	// OnLost is called with the error of the first failed call, and OnRegained when a call succeeds again.
	OnLost     func(error)
	OnRegained func()
}

const (
	// minBackoff and maxBackoff are the first and the longest pause after a failed call; the pause
	// doubles with each further failure. The longest is short enough that a change is seen within 2 s of
	// the store's recovery.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// maxRevisionStep bounds by how much the revision rises between two calls: the store takes some thousand writes
	// a second. confirmations is the number of consecutive reads that must show a revision which is lower than before
	// or rises by more, so that one odd revision does not end the following: all later ones would be lower.
	maxRevisionStep = 1 << 32
	confirmations   = 3
)

// errNoProgress reports a watch that returned at once and at the revision from which it started.
var errNoProgress = fmt.Errorf("%w: watch makes no progress", ErrUnavailable)

// Follow keeps a view of a prefix up to date until ctx ends. It reads all keys once and then watches for
// changes; when the store no longer holds the history that a watch needs, it reads all keys again.
func Follow(ctx context.Context, k Keyspace, o FollowOptions) {
	f := &follower{FollowOptions: o, store: k, backoff: minBackoff}
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		f.handleResult(ctx, err)
	}
}

// follower is the state of one call of Follow.
type follower struct {
	FollowOptions
	store    Keyspace
	items    map[string]Item
	revision uint64
	synced   bool // items are complete as of revision; watches can continue from there
	// doubtful is the newest revision that does not follow revision, and doubts the number of consecutive reads that
	// have shown it.
	doubtful uint64
	doubts   int

	unreadable int  // items that could not be read in the newest read
	failing    bool // the last call failed
	backoff    time.Duration
}

// step makes one call of the store: a read if there is no current view, or else a watch.
func (f *follower) step(ctx context.Context) error {
	if !f.synced {
		return f.read(ctx)
	}
	return f.watch(ctx)
}

// read replaces the view by a read of the whole range. A range whose revision does not follow that of the view counts
// as a failure, unless it is confirmed.
func (f *follower) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.Margin)
	defer cancel()
	v, err := f.store.Range(ctx, f.Prefix)
	if err != nil {
		return err
	}
	if !f.follows(v.Revision) && !f.confirmed(v.Revision) {
		return f.revisionError(v.Revision)
	}
	f.doubts = 0
	f.unreadable = v.Unreadable
	f.items = make(map[string]Item, len(v.Items))
	for _, i := range v.Items {
		f.items[i.Key] = i
	}
	f.revision = v.Revision
	f.synced = true
	f.apply()
	return nil
}

// follows reports whether the revision is plausible after that of the view.
func (f *follower) follows(revision uint64) bool {
	return revision >= f.revision && revision-f.revision <= maxRevisionStep
}

// confirmed counts a read whose revision is doubtful and reports whether enough consecutive reads agree on it.
func (f *follower) confirmed(revision uint64) bool {
	if f.doubts == 0 || revision < f.doubtful || revision-f.doubtful > maxRevisionStep {
		f.doubts = 0
	}
	f.doubtful = revision
	f.doubts++
	return f.doubts >= confirmations
}

func (f *follower) revisionError(revision uint64) error {
	return fmt.Errorf("%w: revision %d after %d", ErrUnavailable, revision, f.revision)
}

// watch waits for changes and applies them to the view. When a change cannot be read or the revision is doubtful, the
// next step reads the range.
func (f *follower) watch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.Wait+f.Margin)
	defer cancel()
	started := time.Now()
	c, err := f.store.WatchPrefix(ctx, f.Prefix, f.revision, f.Wait)
	if errors.Is(err, ErrCompacted) {
		f.synced = false
		return nil
	}
	if err != nil {
		return err
	}
	if !f.follows(c.Revision) {
		f.synced = false
		return f.revisionError(c.Revision)
	}
	if c.Revision == f.revision && time.Since(started) < min(f.Wait, minBackoff) {
		return errNoProgress
	}
	changed := f.merge(c.List)
	f.revision = c.Revision
	f.synced = c.Unreadable == 0
	if changed {
		f.apply()
		_ = sleep(ctx, f.BatchDelay) // the loop in Follow checks whether ctx has ended
	}
	return nil
}

// merge applies the changes that are newer than the view and reports whether there were any.
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

// apply passes the view, sorted by key, to Apply.
func (f *follower) apply() {
	v := View{Revision: f.revision, Unreadable: f.unreadable}
	for _, i := range f.items {
		v.Items = append(v.Items, i)
	}
	sort.Slice(v.Items, func(a, b int) bool { return v.Items[a].Key < v.Items[b].Key })
	f.Apply(v)
}

// handleResult records the result of a call. After a failure it pauses, longer each time and with jitter, so that
// processes do not all call at the same time.
func (f *follower) handleResult(ctx context.Context, err error) {
	if err == nil {
		f.backoff = minBackoff
		if f.failing {
			f.failing = false
			f.OnRegained()
		}
		return
	}
	if !f.failing {
		f.failing = true
		f.OnLost(err)
	}
	maxPause := maxBackoff
	if f.revision == 0 && f.FirstPause > 0 {
		maxPause = f.FirstPause
	}
	backOff(ctx, &f.backoff, maxPause)
}

// backOff waits for a random time between half and one and a half of d, and then doubles d up to the given
// bound.
func backOff(ctx context.Context, d *time.Duration, limit time.Duration) {
	// The caller checks whether ctx has ended.
	_ = sleep(ctx, *d/2+rand.N(*d))
	*d = min(2**d, limit)
}
