package runagent

import (
	"context"
	"sync"
	"testing"
	"time"

	"poplargw.example/dispatch/run"
)

// recordingStore keeps the announcements that were saved, in order.
type recordingStore struct {
	mu    sync.Mutex
	saved []Announcement
}

func (s *recordingStore) Save(_ context.Context, a Announcement) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = append(s.saved, a)
	return nil
}

func (s *recordingStore) Load(context.Context) (Announcement, bool, error) {
	return Announcement{}, false, nil
}

// list returns a copy of the saved announcements.
func (s *recordingStore) list() []Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Announcement(nil), s.saved...)
}

// waitFor returns the saved announcements once the newest has the given capacity, and fails the test if it
// never has.
func (s *recordingStore) waitFor(t *testing.T, capacity run.Demand) []Announcement {
	t.Helper()
	limit := time.Now().Add(10 * time.Second)
	for time.Now().Before(limit) {
		if saved := s.list(); len(saved) > 0 && saved[len(saved)-1].Server.Capacity == capacity {
			return saved
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("capacity %+v is not saved; saved: %+v", capacity, s.list())
	return nil
}

// startSaving returns an agent that saves announcements until the test ends, and its store.
func startSaving(t *testing.T) (*Agent, *recordingStore) {
	a, _ := newAgentWithOrder(&fakeBackend{})
	store := &recordingStore{}
	a.Announcements = store
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		a.saveLoop(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return a, store
}

func serverWithCapacity(capacity run.Demand) run.Server {
	return run.Server{Instance: "i", Service: "svc", State: run.Ready, Capacity: capacity}
}

// Guards against a restarted agent that restores the capacity from before it shrank and starts runs beyond
// the present one.
func TestChangedCapacityIsSaved(t *testing.T) {
	for name, capacity := range map[string]run.Demand{
		"cpu":    {CPU: 4000, MemoryMB: 1000},
		"memory": {CPU: 8000, MemoryMB: 500},
		"gpu":    {CPU: 8000, MemoryMB: 1000, GPU: 1},
	} {
		t.Run(name, func(t *testing.T) {
			a, store := startSaving(t)
			a.Announce(serverWithCapacity(capacity), 1)
			store.waitFor(t, capacity)
		})
	}
}

// Guards against a write to the store for each of many announcements with a changed capacity.
func TestSavesOfChangedCapacityAreCoalesced(t *testing.T) {
	a, store := startSaving(t)
	began := time.Now()
	var last run.Demand
	for i := range int64(40) {
		last = run.Demand{CPU: 7000 - i, MemoryMB: 1000}
		a.Announce(serverWithCapacity(last), 1)
		time.Sleep(5 * time.Millisecond)
	}
	saved := store.waitFor(t, last)
	if limit := 1 + int(time.Since(began)/time.Second); len(saved) > limit {
		t.Errorf("%d saves in %s, want at most %d", len(saved), time.Since(began), limit)
	}
}
