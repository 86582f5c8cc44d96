package store

import (
	"context"
	"sync"
	"time"
)

// DefaultWatchLimit is the longest time for which a watch waits for a change.
const DefaultWatchLimit = 30 * time.Second

// Memory is an in-memory Store that can inject faults, for tests and development. The zero value is not
// usable; see NewMemory.
type Memory struct {
	watchLimit time.Duration

	mu       sync.Mutex
	items    map[string]Item
	revision uint64
	expiry   map[string]time.Time
	changed  chan struct{} // closed and replaced at each change
	faults   Faults
	previous map[string]Item // what each key held before its last write, for Faults.WatchStale
	counts   Counts
}

// NewMemory returns an empty store whose watches wait up to DefaultWatchLimit.
func NewMemory() *Memory {
	return &Memory{
		watchLimit: DefaultWatchLimit,
		items:      make(map[string]Item),
		expiry:     make(map[string]time.Time),
		previous:   make(map[string]Item),
		changed:    make(chan struct{}),
	}
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, key string) (Item, error) {
	m.countCall(&m.counts.Gets)
	if err := m.injectFaults(ctx); err != nil {
		return Item{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.read(key)
}

// CompareAndSwap implements Store.
func (m *Memory) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) (Item, error) {
	m.countCall(&m.counts.Writes)
	if len(value) > MaxValue {
		return Item{}, ErrTooLarge
	}
	if err := m.injectFaults(ctx); err != nil {
		return Item{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.LateWrites > 0 {
		m.faults.LateWrites--
		m.swapLater(key, append([]byte(nil), value...), revision, m.faults.LateBy)
		return Item{}, unavailable("write delayed")
	}
	item, err := m.swap(key, value, revision)
	if m.faults.LoseResponses > 0 {
		m.faults.LoseResponses--
		return Item{}, unavailable("response lost")
	}
	return item, err
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, key string, revision uint64) (Item, error) {
	m.countCall(&m.counts.Watches)
	limit := time.NewTimer(m.watchLimit)
	defer limit.Stop()
	for {
		if err := m.injectFaults(ctx); err != nil {
			return Item{}, err
		}
		item, done, changed := m.poll(key, revision)
		if done {
			return m.watchResult(ctx, item)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return m.unchangedResult(key)
		case <-limit.C:
			return m.unchangedResult(key)
		}
	}
}

// Lease implements Store.
func (m *Memory) Lease(ctx context.Context, key string, value []byte, ttl time.Duration) error {
	m.countCall(&m.counts.Writes)
	if len(value) > MaxValue {
		return ErrTooLarge
	}
	if err := m.injectFaults(ctx); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.write(key, value)
	m.expiry[key] = time.Now().Add(ttl)
	if m.faults.LoseResponses > 0 {
		m.faults.LoseResponses--
		return unavailable("response lost")
	}
	return nil
}

// swap writes the value if the key has the revision. The caller holds the lock.
func (m *Memory) swap(key string, value []byte, revision uint64) (Item, error) {
	current, err := m.read(key)
	if err != nil {
		current = Item{}
	}
	if current.Revision != revision {
		return Item{}, ErrConflict
	}
	return m.write(key, value), nil
}

// swapLater calls swap after the given time and ignores the result.
func (m *Memory) swapLater(key string, value []byte, revision uint64, delay time.Duration) {
	time.AfterFunc(delay, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		_, _ = m.swap(key, value, revision)
	})
}

// write stores a copy of the value under the next revision. The caller holds the lock.
func (m *Memory) write(key string, value []byte) Item {
	m.revision++
	item := Item{Key: key, Value: append([]byte(nil), value...), Revision: m.revision}
	m.previous[key] = m.items[key]
	m.items[key] = item
	m.notifyWatchers()
	return item
}

// read returns the item, or ErrNotFound, and deletes the key if its lease has expired. The caller holds
// the lock.
func (m *Memory) read(key string) (Item, error) {
	if t, ok := m.expiry[key]; ok && !time.Now().Before(t) {
		delete(m.items, key)
		delete(m.expiry, key)
	}
	item, ok := m.items[key]
	if !ok {
		return Item{}, ErrNotFound
	}
	return item, nil
}

// poll returns the item, whether a watch from the revision has to return it, and the channel that is closed
// at the next change.
func (m *Memory) poll(key string, revision uint64) (Item, bool, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	item, err := m.read(key)
	duplicate := m.faults.WatchDuplicates > 0
	if err == nil && duplicate {
		m.faults.WatchDuplicates--
	}
	return item, err == nil && (duplicate || item.Revision != revision), m.changed
}

// watchResult returns the item to a watch, delayed or replaced by the previous item if the faults say so.
func (m *Memory) watchResult(ctx context.Context, item Item) (Item, error) {
	m.mu.Lock()
	delay := m.faults.WatchDelay
	if m.faults.WatchStale > 0 && m.previous[item.Key].Revision > 0 {
		m.faults.WatchStale--
		item = m.previous[item.Key]
	}
	m.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return Item{}, err
	}
	return item, nil
}

// unchangedResult returns the result of a watch without a change: ErrNotModified, or ErrNotFound if there is no key.
func (m *Memory) unchangedResult(key string) (Item, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.read(key); err != nil {
		return Item{}, err
	}
	return Item{}, ErrNotModified
}

// notifyWatchers makes waiting watches check their key and the faults again. The caller holds the lock.
func (m *Memory) notifyWatchers() {
	close(m.changed)
	m.changed = make(chan struct{})
}
