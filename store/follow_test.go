package store

import (
	"context"
	"sync"
	"testing"
	"time"
)

// downStore is a keyspace that is unavailable until a given time, and then empty.
type downStore struct {
	Keyspace
	downUntil time.Time

	mu    sync.Mutex
	reads int
}

func (d *downStore) Range(context.Context, string) (View, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reads++
	if time.Now().Before(d.downUntil) {
		return View{}, ErrUnavailable
	}
	return View{Revision: 7}, nil
}

func (d *downStore) WatchPrefix(ctx context.Context, _ string, _ uint64, _ time.Duration) (Changes, error) {
	<-ctx.Done()
	return Changes{}, ctx.Err()
}

// Guards against an entry that starts while the store is down and cannot serve for up to 1.2 s after the
// store has recovered, because the pauses between its reads have grown.
func TestFirstViewSoonAfterStoreRecovers(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const down, first = 1200 * time.Millisecond, 20 * time.Millisecond
	d := &downStore{downUntil: time.Now().Add(down)}
	view := make(chan time.Time, 1)
	go Follow(ctx, d, FollowOptions{
		Prefix: "p/", Wait: time.Second, Margin: time.Second, FirstPause: first,
		Apply: func(View) { view <- time.Now() }, OnLost: func(error) {}, OnRegained: func() {},
	})
	<-view
	d.mu.Lock()
	defer d.mu.Unlock()
	// Pauses are between half and one and a half of their bound: at least 40 reads fit into the outage.
	// Without the bound the pauses double and there are at most eight reads.
	if d.reads < 20 {
		t.Errorf("%d reads while the store was down for %s with pauses of at most %s", d.reads, down, first*3/2)
	}
}

// busyStore is a keyspace in which one key changes every millisecond.
type busyStore struct {
	Keyspace
	started time.Time

	mu      sync.Mutex
	watches int
}

func (b *busyStore) Range(context.Context, string) (View, error) { return View{Revision: 1}, nil }

func (b *busyStore) WatchPrefix(_ context.Context, _ string, after uint64, _ time.Duration) (Changes, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watches++
	time.Sleep(time.Millisecond)
	c := Changes{Revision: max(after, uint64(time.Since(b.started).Milliseconds())) + 1}
	for r := after + 1; r <= c.Revision; r++ {
		c.List = append(c.List, Change{Item: Item{Key: "p/k", Revision: r}})
	}
	return c, nil
}

// Guards against one call of the store for each of many simultaneous changes: when all agents start at
// once, as after a power failure, every entry sees a change for each agent's key.
func TestChangesAreReadInBatches(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const delay, views = 20 * time.Millisecond, 10
	b := &busyStore{started: time.Now()}
	seen := make(chan View, views)
	go Follow(ctx, b, FollowOptions{
		Prefix: "p/", Wait: time.Second, Margin: time.Second, BatchDelay: delay,
		Apply: func(v View) { seen <- v }, OnLost: func(error) {}, OnRegained: func() {},
	})
	for range views {
		<-seen
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if most := int(time.Since(b.started)/delay) + 2; b.watches > most {
		t.Errorf("%d watches, at most %d with pauses of %s", b.watches, most, delay)
	}
}
