package store

import (
	"context"
	"fmt"
	"maps"
	"time"
)

// Faults configures the faults that a Memory store injects. The zero value injects none.
type Faults struct {
	// Unavailable makes every call fail with ErrUnavailable; nothing is read or written.
	Unavailable bool `json:"unavailable"`
	// Delay is added to every call before it takes effect.
	Delay time.Duration `json:"delay"`
	// LoseResponses is how many of the next writes take effect but return ErrUnavailable.
	LoseResponses int `json:"lose_replies"`
	// LateWrites is how many of the next calls of CompareAndSwap return ErrUnavailable at once and
	// take effect LateBy afterwards, like a write that is delayed in a slow network.
	LateWrites int           `json:"late_writes"`
	LateBy     time.Duration `json:"late_by"`
	// WatchDelay is added to every watch that returns an item.
	WatchDelay time.Duration `json:"watch_delay"`
	// WatchDuplicates is how many of the next watches return at once, also with an item that the
	// caller already knows.
	WatchDuplicates int `json:"watch_duplicates"`
	// WatchStale is how many of the next watches return the previous item instead of the current one.
	WatchStale int `json:"watch_stale"`
}

// Counts holds the number of calls that a Memory store has received. A watch counts as one call, however
// long it waits.
type Counts struct {
	Gets    uint64 `json:"gets"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
}

// Snapshot is a copy of the content of a Memory store at one moment.
type Snapshot struct {
	items    map[string]Item
	revision uint64
}

// SetFaults replaces the faults. It applies to waiting watches at once.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.notifyWatchers()
}

// Faults returns the faults in effect.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// Counts returns the numbers of calls received so far.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Snapshot returns a copy of the content.
func (m *Memory) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Snapshot{items: maps.Clone(m.items), revision: m.revision}
}

// Restore replaces the content, including the revisions, with that of a snapshot, like a store that is
// restored from a backup. A snapshot has no leases: the current ones stay in effect.
func (m *Memory) Restore(s Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.items, m.revision = maps.Clone(s.items), s.revision
	if m.items == nil {
		m.items = make(map[string]Item)
	}
	m.previous = make(map[string]Item)
	m.notifyWatchers()
}

// countCall increments one of the call counters.
func (m *Memory) countCall(n *uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	*n++
}

// injectFaults applies the faults that affect every call. It returns ErrUnavailable (wrapped) if the call has to
// fail.
func (m *Memory) injectFaults(ctx context.Context) error {
	if err := sleep(ctx, m.Faults().Delay); err != nil {
		return err
	}
	if m.Faults().Unavailable {
		return unavailable("injected fault")
	}
	return nil
}

// sleep waits for d. It returns ErrUnavailable (wrapped) if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return unavailable(ctx.Err().Error())
	}
}

// unavailable wraps ErrUnavailable with the reason.
func unavailable(reason string) error {
	return fmt.Errorf("%w: %s", ErrUnavailable, reason)
}
