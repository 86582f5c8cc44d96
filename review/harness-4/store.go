package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store, after the section of PROTOCOL.md on it.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []item
	leases  map[uint64]*lease
	changed chan struct{}
	// maxWatchBytes bounds the values of the events in one answer to a watch; at least one is sent. 0 means no bound.
	maxWatchBytes int
	// refused holds the names of the machines that the store turns away with 503.
	refused map[string]bool
	// rewrites replaces addresses in what the agents write, so that entries reach them through a gate.
	rewrites map[string]string
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       uint64 `json:"rev"`
	CreateRev uint64 `json:"createRev,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Deleted   bool   `json:"deleted,omitempty"`
	at        time.Time
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// historyAge is how long the store keeps its history, historyS of the settings.
const historyAge = 20 * time.Second

func newStore() *store {
	return &store{rev: 1, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), refused: map[string]bool{}, rewrites: map[string]string{}}
}

// put writes a key as the operator does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value, 0)
}

// refuse sets whether the store turns a machine away.
func (s *store) refuse(machine string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[machine] = on
}

// forMachine returns the store as a machine reaches it. Each machine has an address of its own to the store, because all of
// them call from one loopback address.
func (s *store) forMachine(machine string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		refused := s.refused[machine]
		s.mu.Unlock()
		if refused {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.ServeHTTP(w, r)
	})
}

// rewrite sets the address by which another one is replaced.
func (s *store) rewrite(from, to string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rewrites[from] = to
}

func (s *store) write(key string, value []byte, lease uint64) {
	s.rev++
	i := item{Key: key, Value: value, Rev: s.rev, CreateRev: s.items[key].CreateRev, Lease: lease, at: time.Now()}
	if i.CreateRev == 0 {
		i.CreateRev = s.rev
	}
	s.items[key] = i
	s.record(i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.record(item{Key: key, Rev: s.rev, Deleted: true, at: time.Now()})
}

func (s *store) record(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, argument, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/"), "/")
	var status int
	var body any
	switch name {
	case "kv-range":
		status, body = s.readRange(r)
	case "kv-watch":
		status, body = s.watch(r)
	case "kv-lease":
		status, body = s.grant(r)
	case "kv-keep":
		status, body = s.keep(argument)
	case "kv-lease-end":
		status, body = s.revoke(argument)
	case "kv-txn":
		status, body = s.commit(r)
	default:
		status = http.StatusNotFound
	}
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) readRange(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	if more {
		keys = keys[:500]
	}
	list := []item{}
	for _, k := range keys {
		list = append(list, s.items[k])
	}
	return http.StatusOK, map[string]any{"items": list, "morePages": more, "currentRev": s.rev}
}

func (s *store) watch(r *http.Request) (int, any) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	limit := time.After(time.Duration(ms) * time.Millisecond)
	for {
		status, events, rev, changed := s.since(prefix, after)
		answer := map[string]any{"events": events, "currentRev": rev}
		if status != http.StatusOK || len(events) > 0 {
			return status, answer
		}
		select {
		case <-changed:
		case <-limit:
			return status, answer
		case <-r.Context().Done():
			return status, answer
		}
	}
}

func (s *store) since(prefix string, after uint64) (int, []item, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	events := []item{}
	dropped, size := uint64(0), 0
	for _, i := range s.history {
		if time.Since(i.at) > historyAge {
			dropped = i.Rev
			continue
		}
		if i.Rev <= after || !strings.HasPrefix(i.Key, prefix) {
			continue
		}
		if size += len(i.Value); s.maxWatchBytes > 0 && len(events) > 0 && size > s.maxWatchBytes {
			return http.StatusOK, events, events[len(events)-1].Rev, s.changed
		}
		events = append(events, i)
	}
	if after < dropped {
		return http.StatusGone, nil, s.rev, s.changed
	}
	return http.StatusOK, events, s.rev, s.changed
}

type leaseBody struct {
	Lease uint64 `json:"lease,omitempty"`
	TTLMS int64  `json:"ttlMs"`
}

func (s *store) grant(r *http.Request) (int, any) {
	var in leaseBody
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.TTLMS <= 0 {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	ttl := time.Duration(in.TTLMS) * time.Millisecond
	s.leases[s.rev] = &lease{ttl, time.Now().Add(ttl)}
	return http.StatusOK, leaseBody{s.rev, in.TTLMS}
}

func (s *store) keep(argument string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	id, _ := strconv.ParseUint(argument, 10, 64)
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound, nil
	}
	l.expires = time.Now().Add(l.ttl)
	return http.StatusOK, leaseBody{TTLMS: l.ttl.Milliseconds()}
}

func (s *store) revoke(argument string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseUint(argument, 10, 64)
	if s.leases[id] == nil {
		return http.StatusNotFound, nil
	}
	s.endLease(id)
	return http.StatusOK, nil
}

func (s *store) commit(r *http.Request) (int, any) {
	var t struct {
		Precondition []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"precondition"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, c := range t.Precondition {
		if s.items[c.Key].Rev != c.Rev {
			return http.StatusPreconditionFailed, nil
		}
	}
	for _, p := range t.Writes {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	for _, p := range t.Writes {
		value := string(p.Value)
		for from, to := range s.rewrites {
			value = strings.ReplaceAll(value, `"`+from+`"`, `"`+to+`"`)
		}
		s.write(p.Key, []byte(value), p.Lease)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	return http.StatusOK, map[string]any{"rev": s.rev}
}
