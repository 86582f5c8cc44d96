package store

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// forEachStore runs a test against the in-memory store, directly and through the HTTP client and server.
func forEachStore(t *testing.T, f func(*testing.T, *Memory, Store)) {
	t.Run("memory", func(t *testing.T) {
		m := NewMemory()
		f(t, m, m)
	})
	t.Run("http", func(t *testing.T) {
		m := NewMemory()
		s := httptest.NewServer(NewServer(m))
		t.Cleanup(s.Close)
		f(t, m, NewHTTP(s.URL, 5*time.Second))
	})
}

// wantError fails the test unless err matches target, which may be nil.
func wantError(t *testing.T, err, target error) {
	t.Helper()
	if !errors.Is(err, target) {
		t.Fatalf("got %v, want %v", err, target)
	}
}

// Guards against a CompareAndSwap that overwrites another writer's value.
func TestCompareAndSwap(t *testing.T) {
	forEachStore(t, func(t *testing.T, _ *Memory, s Store) {
		ctx := t.Context()
		_, err := s.Get(ctx, "k")
		wantError(t, err, ErrNotFound)
		first, err := s.CompareAndSwap(ctx, "k", []byte("a"), 0)
		wantError(t, err, nil)
		_, err = s.CompareAndSwap(ctx, "k", []byte("b"), 0)
		wantError(t, err, ErrConflict)
		second, err := s.CompareAndSwap(ctx, "k", []byte("c"), first.Revision)
		wantError(t, err, nil)
		_, err = s.CompareAndSwap(ctx, "k", []byte("d"), first.Revision)
		wantError(t, err, ErrConflict)
		got, err := s.Get(ctx, "k")
		wantError(t, err, nil)
		if string(got.Value) != "c" || got.Revision != second.Revision || second.Revision <= first.Revision {
			t.Fatalf("got %q at %d", got.Value, got.Revision)
		}
	})
}

// Guards against truncated values, and against values over MaxValue that are accepted.
func TestValueSize(t *testing.T) {
	forEachStore(t, func(t *testing.T, _ *Memory, s Store) {
		value := bytes.Repeat([]byte{7}, MaxValue)
		_, err := s.CompareAndSwap(t.Context(), "k", value, 0)
		wantError(t, err, nil)
		got, err := s.Get(t.Context(), "k")
		wantError(t, err, nil)
		if !bytes.Equal(got.Value, value) {
			t.Fatalf("got %d bytes", len(got.Value))
		}
		_, err = s.CompareAndSwap(t.Context(), "k", append(value, 7), got.Revision)
		wantError(t, err, ErrTooLarge)
	})
}

// Guards against a write that is reported as not done although only its response was lost, and against
// a write that net/http repeats by itself.
func TestLostResponse(t *testing.T) {
	forEachStore(t, func(t *testing.T, m *Memory, s Store) {
		first, err := s.CompareAndSwap(t.Context(), "k", []byte("a"), 0)
		wantError(t, err, nil)
		before := m.Counts().Writes
		m.SetFaults(Faults{LoseResponses: 1})
		_, err = s.CompareAndSwap(t.Context(), "k", []byte("b"), first.Revision)
		wantError(t, err, ErrUnavailable)
		got, err := s.Get(t.Context(), "k")
		wantError(t, err, nil)
		if string(got.Value) != "b" || m.Counts().Writes != before+1 {
			t.Fatalf("got %q after %d writes", got.Value, m.Counts().Writes-before)
		}
	})
}

// Guards against a watch that misses a change, or that outlives its context.
func TestWatch(t *testing.T) {
	forEachStore(t, func(t *testing.T, m *Memory, s Store) {
		first, err := s.CompareAndSwap(t.Context(), "k", []byte("a"), 0)
		wantError(t, err, nil)
		go func() {
			time.Sleep(20 * time.Millisecond)
			_, _ = m.CompareAndSwap(context.Background(), "k", []byte("b"), first.Revision)
		}()
		got, err := s.Watch(t.Context(), "k", first.Revision)
		wantError(t, err, nil)
		if string(got.Value) != "b" {
			t.Fatalf("got %q", got.Value)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		if _, err = s.Watch(ctx, "k", got.Revision); !errors.Is(err, ErrNotModified) && !errors.Is(err, ErrUnavailable) {
			t.Fatalf("got %v", err)
		}
	})
}

// Guards against a watch that does not return when the store is restored to an older revision.
func TestRestore(t *testing.T) {
	forEachStore(t, func(t *testing.T, m *Memory, s Store) {
		first, err := s.CompareAndSwap(t.Context(), "k", []byte("a"), 0)
		wantError(t, err, nil)
		old := m.Snapshot()
		second, err := s.CompareAndSwap(t.Context(), "k", []byte("b"), first.Revision)
		wantError(t, err, nil)
		m.Restore(old)
		got, err := s.Watch(t.Context(), "k", second.Revision)
		wantError(t, err, nil)
		if string(got.Value) != "a" || got.Revision != first.Revision {
			t.Fatalf("got %q at %d", got.Value, got.Revision)
		}
	})
}

// Guards against a key that outlives its lease, and against a renewal that keeps the former time to live.
func TestLease(t *testing.T) {
	forEachStore(t, func(t *testing.T, _ *Memory, s Store) {
		wantError(t, s.Lease(t.Context(), "l", []byte("a"), time.Hour), nil)
		wantError(t, s.Lease(t.Context(), "l", []byte("b"), 30*time.Millisecond), nil)
		time.Sleep(60 * time.Millisecond)
		_, err := s.Get(t.Context(), "l")
		wantError(t, err, ErrNotFound)
	})
}

// Guards against an error other than ErrUnavailable when the store fails or is too slow.
func TestUnavailable(t *testing.T) {
	forEachStore(t, func(t *testing.T, m *Memory, s Store) {
		m.SetFaults(Faults{Unavailable: true})
		_, err := s.Get(t.Context(), "k")
		wantError(t, err, ErrUnavailable)
		m.SetFaults(Faults{Delay: time.Minute})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err = s.CompareAndSwap(ctx, "k", nil, 0)
		wantError(t, err, ErrUnavailable)
	})
}

// Guards against administration requests that have no effect, and against unknown faults or unconditional
// writes that are accepted.
func TestAdmin(t *testing.T) {
	m := NewMemory()
	s := NewServer(m)
	do := func(method, path, body string) int {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w.Code
	}
	if code := do(http.MethodPut, "/admin/faults", `{"lose_replies": 2}`); code != http.StatusOK || m.Faults().LoseResponses != 2 {
		t.Fatalf("status %d, faults %+v", code, m.Faults())
	}
	if code := do(http.MethodPut, "/admin/faults", `{"lose": 2}`); code != http.StatusBadRequest {
		t.Fatalf("status %d for an unknown fault", code)
	}
	m.SetFaults(Faults{})
	do(http.MethodPost, "/admin/snapshot", "")
	if code := do(http.MethodPut, "/v1/keys/k", "v"); code != http.StatusBadRequest {
		t.Fatalf("status %d for a write without a condition", code)
	}
	_, err := m.CompareAndSwap(t.Context(), "k", []byte("v"), 0)
	wantError(t, err, nil)
	do(http.MethodPost, "/admin/restore", "")
	_, err = m.Get(t.Context(), "k")
	wantError(t, err, ErrNotFound)
}
