package store

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Server serves a Memory store over the protocol that the HTTP client uses, with further paths by which
// tests control it:
//
//	GET, PUT /admin/faults    the Faults as JSON; durations in nanoseconds
//	GET      /admin/counts    the Counts as JSON
//	POST     /admin/snapshot  take a snapshot of the content
//	POST     /admin/restore   restore the last snapshot
type Server struct {
	memory *Memory
	mux    *http.ServeMux

	mu       sync.Mutex
	snapshot Snapshot
}

// NewServer returns an HTTP handler that serves the store.
func NewServer(m *Memory) *Server {
	s := &Server{memory: m, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET "+keysPath+"{key}", s.get)
	s.mux.HandleFunc("PUT "+keysPath+"{key}", s.put)
	s.mux.HandleFunc("PUT "+leasesPath+"{key}", s.lease)
	s.mux.HandleFunc("GET /admin/faults", s.faults)
	s.mux.HandleFunc("PUT /admin/faults", s.setFaults)
	s.mux.HandleFunc("GET /admin/counts", s.counts)
	s.mux.HandleFunc("POST /admin/snapshot", s.takeSnapshot)
	s.mux.HandleFunc("POST /admin/restore", s.restore)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	if wait := r.URL.Query().Get("wait"); wait != "" {
		s.watch(w, r, key, wait)
		return
	}
	item, err := s.memory.Get(r.Context(), key)
	writeItem(w, item, err, true)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request, key, wait string) {
	seconds, err := strconv.Atoi(wait)
	revision, errTag := parseETag(r.Header.Get("If-None-Match"))
	if err != nil || errTag != nil || seconds < 0 || seconds > int(DefaultWatchLimit.Seconds()) {
		http.Error(w, "wait or If-None-Match is not valid", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(seconds)*time.Second)
	defer cancel()
	item, err := s.memory.Watch(ctx, key, revision)
	writeItem(w, item, err, true)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, ok := readValue(w, r)
	if !ok {
		return
	}
	var revision uint64
	if r.Header.Get("If-None-Match") != "*" {
		var err error
		if revision, err = parseETag(r.Header.Get("If-Match")); err != nil {
			http.Error(w, "If-Match or If-None-Match: * is required", http.StatusBadRequest)
			return
		}
	}
	item, err := s.memory.CompareAndSwap(r.Context(), r.PathValue("key"), value, revision)
	writeItem(w, item, err, false)
}

func (s *Server) lease(w http.ResponseWriter, r *http.Request) {
	value, ok := readValue(w, r)
	if !ok {
		return
	}
	ms, err := strconv.Atoi(r.URL.Query().Get("ttl"))
	if err != nil || ms <= 0 {
		http.Error(w, "ttl is not a positive number of milliseconds", http.StatusBadRequest)
		return
	}
	if err := s.memory.Lease(r.Context(), r.PathValue("key"), value, time.Duration(ms)*time.Millisecond); err != nil {
		writeItem(w, Item{}, err, false)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) faults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.memory.Faults()) }

func (s *Server) counts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.memory.Counts()) }

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.memory.SetFaults(f)
	writeJSON(w, f)
}

func (s *Server) takeSnapshot(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = s.memory.Snapshot()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) restore(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memory.Restore(s.snapshot)
	w.WriteHeader(http.StatusNoContent)
}

// readValue reads the value in a request. If that fails, it writes the error status and returns false.
func readValue(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValue))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	}
	return value, err == nil
}

// writeItem writes an item or the status for an error. For ErrUnavailable and any other error it closes the
// connection, so that the client gets no response.
func writeItem(w http.ResponseWriter, item Item, err error, withValue bool) {
	switch {
	case err == nil:
		w.Header().Set("ETag", formatETag(item.Revision))
		w.Header().Set("Content-Type", "application/octet-stream")
		if withValue {
			_, _ = w.Write(item.Value)
		}
	case errors.Is(err, ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, ErrConflict):
		w.WriteHeader(http.StatusPreconditionFailed)
	case errors.Is(err, ErrNotModified):
		w.WriteHeader(http.StatusNotModified)
	default:
		// net/http closes the connection without logging this panic.
		panic(http.ErrAbortHandler)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
