package store

import (
	"context"
	"sync"
	"testing"
	"time"
)

// downStore is a keyspace that is down until a time, and then empty.
type downStore struct {
	Keyspace
	back time.Time

	mu    sync.Mutex
	reads int
}

func (d *downStore) Range(context.Context, string) (View, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reads++
	if time.Now().Before(d.back) {
		return View{}, ErrUnavailable
	}
	return View{Revision: 7}, nil
}

func (d *downStore) WatchPrefix(ctx context.Context, _ string, _ uint64, _ time.Duration) (Changes, error) {
	<-ctx.Done()
	return Changes{}, ctx.Err()
}

// Guards against an entry that starts while the store is down and serves nobody for up to 1.2 s after
// the store's return, because its pauses have grown.
func TestFirstViewComesSoonAfterTheStoresReturn(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const down, first = 1200 * time.Millisecond, 20 * time.Millisecond
	d := &downStore{back: time.Now().Add(down)}
	view := make(chan time.Time, 1)
	go Follow(ctx, d, FollowOptions{
		Prefix: "p/", Wait: time.Second, Margin: time.Second, FirstPause: first,
		Apply: func(View) { view <- time.Now() }, Lost: func(error) {}, Regained: func() {},
	})
	<-view
	d.mu.Lock()
	defer d.mu.Unlock()
	// Pauses are between half and one and a half of their bound: at least 40 reads fit, and with pauses
	// that double without the bound there are eight.
	if d.reads < 20 {
		t.Errorf("%d reads while the store was down for %s with pauses of at most %s", d.reads, down, first*3/2)
	}
}
