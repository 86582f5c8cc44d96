package cluster

import (
	"sync"
	"time"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

const (
	// maxConcurrentFetches limits concurrent fetches. A skipped fetch is made up for, since every
	// message contains versions.
	maxConcurrentFetches = 4
	// maxConcurrentHeartbeats is larger than the number of entries.
	maxConcurrentHeartbeats = 256
	// historySize is the number of changes that an entry remembers by change ID. At 3,200 changes
	// a day it covers two hours, within which an operator retries a change.
	historySize = 256
	// maxUncertainChanges limits the remembered changes whose outcome this entry could not determine.
	maxUncertainChanges = 256
	// resetInterval is the shortest time between two resets of the connection to one peer: an
	// overloaded peer must not lose its calls in flight with every late heartbeat.
	resetInterval = 2 * time.Second
)

// limiter allows one call at a time for each key, and a limited number of calls in total.
type limiter struct {
	mu     sync.Mutex
	max    int
	active map[string]bool
}

// newLimiter returns a limiter that allows limit calls in total.
func newLimiter(limit int) *limiter { return &limiter{max: limit, active: make(map[string]bool)} }

// tryAcquire reports whether the caller may make the call for key. If so, the caller must call
// release afterwards.
func (l *limiter) tryAcquire(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active[key] || len(l.active) >= l.max {
		return false
	}
	l.active[key] = true
	return true
}

func (l *limiter) release(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.active, key)
}

// changeHistory maps the versions seen to their change IDs and back, for the last historySize
// versions. If two records have the same version, the one seen first counts.
type changeHistory struct {
	versionByChange map[string]uint64
	changeByVersion map[uint64]string
	order           []uint64
}

func (h *changeHistory) add(r *poplargwv1.ConfigRecord) {
	if _, ok := h.changeByVersion[r.GetVersion()]; ok || r.GetVersion() == 0 {
		return
	}
	if h.changeByVersion == nil {
		h.versionByChange, h.changeByVersion = make(map[string]uint64), make(map[uint64]string)
	}
	h.versionByChange[r.GetChangeId()], h.changeByVersion[r.GetVersion()] = r.GetVersion(), r.GetChangeId()
	h.order = append(h.order, r.GetVersion())
	if len(h.order) > historySize {
		oldest := h.order[0]
		h.order = h.order[1:]
		delete(h.versionByChange, h.changeByVersion[oldest])
		delete(h.changeByVersion, oldest)
	}
}

// uncertainChanges holds the IDs of the last maxUncertainChanges changes whose write may have taken
// effect.
type uncertainChanges struct {
	mu    sync.Mutex
	ids   map[string]bool
	order []string
}

func (u *uncertainChanges) add(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ids == nil {
		u.ids = make(map[string]bool)
	}
	if u.ids[id] {
		return
	}
	u.ids[id] = true
	u.order = append(u.order, id)
	if len(u.order) > maxUncertainChanges {
		delete(u.ids, u.order[0])
		u.order = u.order[1:]
	}
}

func (u *uncertainChanges) has(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ids[id]
}

// resetLimiter limits how often the connection to each address is reset.
type resetLimiter struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// allow reports whether a reset of addr is allowed now, and counts it if so.
func (r *resetLimiter) allow(addr string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == nil {
		r.last = make(map[string]time.Time)
	}
	if now.Sub(r.last[addr]) < resetInterval {
		return false
	}
	r.last[addr] = now
	return true
}
