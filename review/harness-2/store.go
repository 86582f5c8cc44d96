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

// Limits of the platform's store, as PROTOCOL.md and the site files give them.
const (
	storeAnswerTime = 4 * time.Millisecond
	historySpan     = 20 * time.Second
	maxPageItems    = 500
	maxPageBytes    = 1 << 20
)

// item is a key with its value, or a deleted key.
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

// store is a stand-in for the platform's metadata store.
type store struct {
	mu        sync.Mutex
	rev       uint64
	forgotten uint64 // the history up to this revision is gone
	items     map[string]item
	history   []item
	leases    map[uint64]*lease
	changed   chan struct{} // closed and replaced at each change
	// rewrite changes a value as it is written. It puts a proxy between an entry and an agent.
	rewrite func(value []byte) []byte
}

func newStore() *store {
	return &store{rev: 1, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
}

// put writes a key as the operator does and returns when that is acknowledged.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value, 0)
}

func (s *store) write(key string, value []byte, leaseID uint64) {
	if s.rewrite != nil {
		value = s.rewrite(value)
	}
	s.rev++
	i := item{Key: key, Value: value, Rev: s.rev, CreateRev: s.items[key].CreateRev, Lease: leaseID, at: time.Now()}
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
	for len(s.history) > 0 && time.Since(s.history[0].at) > historySpan {
		s.forgotten = s.history[0].Rev
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
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

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	name, argument, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/"), "/")
	status, body := s.handle(r, name, argument)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handle(r *http.Request, name, argument string) (int, any) {
	if name == "kv-watch" {
		return s.watch(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	id, _ := strconv.ParseUint(argument, 10, 64)
	switch name {
	case "kv-key":
		i, ok := s.items[r.URL.Query().Get("key")]
		if !ok {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, i
	case "kv-range":
		return s.readRange(r)
	case "kv-lease":
		return s.grant(r)
	case "kv-keep":
		l := s.leases[id]
		if l == nil {
			return http.StatusNotFound, nil
		}
		l.expires = time.Now().Add(l.ttl)
		return http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()}
	case "kv-lease-end":
		if s.leases[id] == nil {
			return http.StatusNotFound, nil
		}
		s.endLease(id)
		return http.StatusOK, nil
	case "kv-txn":
		return s.commit(r)
	}
	return http.StatusNotFound, nil
}

func (s *store) readRange(r *http.Request) (int, any) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	list, size, more := []item{}, 0, false
	for _, k := range keys {
		if len(list) == maxPageItems || size > maxPageBytes {
			more = true
			break
		}
		list = append(list, s.items[k])
		size += len(s.items[k].Value)
	}
	return http.StatusOK, map[string]any{"items": list, "morePages": more, "currentRev": s.rev}
}

func (s *store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	limit := time.After(time.Duration(ms) * time.Millisecond)
	for {
		status, events, rev, changed := s.changesSince(q.Get("prefix"), after)
		body := map[string]any{"events": events, "currentRev": rev}
		if status != http.StatusOK || len(events) > 0 {
			return status, body
		}
		select {
		case <-changed:
		case <-limit:
			return status, body
		case <-r.Context().Done():
			return status, body
		}
	}
}

func (s *store) changesSince(prefix string, after uint64) (int, []item, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if after < s.forgotten {
		return http.StatusGone, nil, s.rev, s.changed
	}
	events := []item{}
	for _, i := range s.history {
		if i.Rev > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return http.StatusOK, events, s.rev, s.changed
}

func (s *store) grant(r *http.Request) (int, any) {
	var in struct {
		TTLMS int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.TTLMS <= 0 {
		return http.StatusBadRequest, nil
	}
	s.rev++
	ttl := max(time.Second, min(10*time.Minute, time.Duration(in.TTLMS)*time.Millisecond))
	s.leases[s.rev] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.rev, "ttlMs": ttl.Milliseconds()}
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
	current, holds := []item{}, true
	for _, c := range t.Precondition {
		if i, ok := s.items[c.Key]; ok {
			current = append(current, i)
		}
		holds = holds && s.items[c.Key].Rev == c.Rev
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range t.Writes {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	for _, p := range t.Writes {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	return http.StatusOK, map[string]any{"rev": s.rev}
}
