package cluster

import (
	"sync"
	"time"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

const (
	// maxFetches bounds concurrent fetches; versions are observed in every message.
	maxFetches = 4
	// maxBeats is above the number of entries.
	maxBeats = 256
	// historySize is how many changes an entry remembers by change ID. At 3,200 changes a
	// day it covers two hours, in which an operator asks again.
	historySize = 256
	// maxDoubts bounds the changes whose outcome this entry could not tell.
	maxDoubts = 256
	// resetEvery bounds how often a connection is given up: an overloaded peer must not lose its
	// calls in flight with every late heartbeat.
	resetEvery = 2 * time.Second
)

// flights allows one call at a time for each key and a limited number in all.
type flights struct {
	mu     sync.Mutex
	max    int
	active map[string]bool
}

func newFlights(limit int) *flights { return &flights{max: limit, active: make(map[string]bool)} }

// begin tells whether the caller may make the call; it must call end afterwards.
func (f *flights) begin(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active[key] || len(f.active) >= f.max {
		return false
	}
	f.active[key] = true
	return true
}

func (f *flights) end(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.active, key)
}

// history remembers the change IDs of the versions that were seen. The first record seen under a
// version counts.
type history struct {
	versions map[string]uint64
	changes  map[uint64]string
	order    []uint64
}

func (h *history) note(r *poplargwv1.ConfigRecord) {
	if _, ok := h.changes[r.GetVersion()]; ok || r.GetVersion() == 0 {
		return
	}
	if h.changes == nil {
		h.versions, h.changes = make(map[string]uint64), make(map[uint64]string)
	}
	h.versions[r.GetChangeId()], h.changes[r.GetVersion()] = r.GetVersion(), r.GetChangeId()
	h.order = append(h.order, r.GetVersion())
	if len(h.order) > historySize {
		oldest := h.order[0]
		h.order = h.order[1:]
		delete(h.versions, h.changes[oldest])
		delete(h.changes, oldest)
	}
}

// doubts remembers changes whose write may have taken effect.
type doubts struct {
	mu    sync.Mutex
	ids   map[string]bool
	order []string
}

func (d *doubts) add(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ids == nil {
		d.ids = make(map[string]bool)
	}
	if d.ids[id] {
		return
	}
	d.ids[id] = true
	d.order = append(d.order, id)
	if len(d.order) > maxDoubts {
		delete(d.ids, d.order[0])
		d.order = d.order[1:]
	}
}

func (d *doubts) has(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ids[id]
}

// resetLimit spaces out the resets of connections.
type resetLimit struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func (r *resetLimit) allow(addr string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == nil {
		r.last = make(map[string]time.Time)
	}
	if now.Sub(r.last[addr]) < resetEvery {
		return false
	}
	r.last[addr] = now
	return true
}
