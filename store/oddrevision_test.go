package store

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"
)

// scriptedStore is a keyspace whose calls return the next of the given results. After the last one, watches wait.
type scriptedStore struct {
	Keyspace
	mu     sync.Mutex
	reads  []View
	events []Changes
	calls  int
}

func (s *scriptedStore) Range(context.Context, string) (View, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	v := s.reads[0]
	if len(s.reads) > 1 {
		s.reads = s.reads[1:]
	}
	return v, nil
}

func (s *scriptedStore) WatchPrefix(ctx context.Context, _ string, after uint64, _ time.Duration) (Changes, error) {
	s.mu.Lock()
	s.calls++
	if len(s.events) > 0 {
		c := s.events[0]
		s.events = s.events[1:]
		s.mu.Unlock()
		return c, nil
	}
	s.mu.Unlock()
	<-ctx.Done()
	return Changes{}, ctx.Err()
}

// followUntil follows the store until a view has the given item, and fails the test if none has.
func followUntil(t *testing.T, s *scriptedStore, value string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	found := false
	Follow(ctx, s, FollowOptions{
		Prefix: "p/", Wait: time.Minute, Margin: time.Second, OnLost: func(error) {}, OnRegained: func() {},
		Apply: func(v View) {
			if len(v.Items) == 1 && string(v.Items[0].Value) == value {
				found = true
				cancel()
			}
		},
	})
	if !found {
		t.Errorf("no view has the value %q", value)
	}
}

func view(revision uint64, value string) View {
	return View{Revision: revision, Items: []Item{{Key: "p/k", Value: []byte(value), Revision: min(revision, 9)}}}
}

// Guards against one odd revision that ends the following of the store for good, because all later ones are lower.
func TestOddRevisionDoesNotEndFollowing(t *testing.T) {
	const far = 1 << 52
	change := func(revision uint64, value string) Changes {
		return Changes{Revision: revision, List: []Change{{Item: Item{Key: "p/k", Value: []byte(value), Revision: revision}}}}
	}
	for name, s := range map[string]*scriptedStore{
		"first read far ahead":            {reads: []View{view(far, "a"), view(7, "b")}},
		"watch far ahead":                 {reads: []View{view(7, "a"), view(8, "b")}, events: []Changes{{Revision: far}}},
		"watch that goes back":            {reads: []View{view(7, "a"), view(8, "b")}, events: []Changes{{Revision: 3}}},
		"store that starts far ahead":     {reads: []View{view(far, "b")}},
		"store that has lost its history": {reads: []View{view(1000, "a"), view(5, "b")}, events: []Changes{{Revision: 5}}},
		"odd change, then a read":         {reads: []View{view(7, "a"), view(8, "b")}, events: []Changes{{Revision: 8, Unreadable: 1}}},
		"changes beside an odd one":       {reads: []View{view(7, "a")}, events: []Changes{{Revision: 8, Unreadable: 1, List: change(8, "b").List}}},
	} {
		t.Run(name, func(t *testing.T) { followUntil(t, s, "b") })
	}
}

// Guards against a single odd revision that is passed on: the receivers of a view ignore later ones with a lower revision.
func TestOddRevisionIsNotPassedOn(t *testing.T) {
	const far = 1 << 52
	s := &scriptedStore{reads: []View{view(far, "a"), view(7, "a"), view(8, "b")}, events: []Changes{{Revision: far}, {Revision: far}}}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	Follow(ctx, s, FollowOptions{
		Prefix: "p/", Wait: time.Minute, Margin: time.Second, OnLost: func(error) {}, OnRegained: func() {},
		Apply: func(v View) {
			if v.Revision > 8 {
				t.Errorf("a view has revision %d", v.Revision)
			}
			if v.Revision == 8 {
				cancel()
			}
		},
	})
	if !errors.Is(ctx.Err(), context.Canceled) {
		t.Error("the last view did not arrive")
	}
}

// idleStore is a keyspace whose watches return at once although nothing has changed.
type idleStore struct {
	Keyspace
	list    []Change
	watches int
}

func (s *idleStore) Range(context.Context, string) (View, error) { return View{Revision: 7}, nil }

func (s *idleStore) WatchPrefix(context.Context, string, uint64, time.Duration) (Changes, error) {
	s.watches++
	return Changes{Revision: 7, List: s.list}, nil
}

// Guards against a store that is called again and again without a pause when its watches return at once and make no
// progress.
func TestWatchWithoutProgressIsRepeatedWithPauses(t *testing.T) {
	for _, list := range [][]Change{nil, {{Item: Item{Key: "p/k", Revision: 7}}}} {
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		s := &idleStore{list: list}
		lost := 0
		Follow(ctx, s, FollowOptions{
			Prefix: "p/", Wait: time.Second, Margin: time.Second, Apply: func(View) {}, OnLost: func(error) { lost++ }, OnRegained: func() {},
		})
		cancel()
		if s.watches > 20 || lost != 1 {
			t.Errorf("%d watches in 0.5 s, %d failures reported", s.watches, lost)
		}
	}
}

// leaseStore is a keyspace that grants leases with the given time to live.
type leaseStore struct {
	Keyspace
	ttl    time.Duration
	renews int
}

func (s *leaseStore) Grant(context.Context, time.Duration) (LeaseID, time.Duration, error) {
	return 1, s.ttl, nil
}
func (s *leaseStore) Commit(context.Context, Txn) (uint64, error) { return 1, nil }
func (s *leaseStore) Revoke(context.Context, LeaseID) error       { return nil }
func (s *leaseStore) Renew(context.Context, LeaseID) error {
	s.renews++
	return nil
}

// Guards against a lease that is renewed without a pause because the store has granted it for no time.
func TestLeaseWithoutTimeIsRenewedWithPauses(t *testing.T) {
	for _, ttl := range []time.Duration{0, -time.Second, time.Millisecond} {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		s := &leaseStore{ttl: ttl}
		Register(ctx, s, RegisterOptions{Key: "k", TTL: time.Second, CallTimeout: time.Second, OnRegistered: func() {}, OnEnded: func(error) {}})
		cancel()
		if s.renews > 10 {
			t.Errorf("a lease of %s is renewed %d times in 0.3 s", ttl, s.renews)
		}
	}
}
