// Package store defines the operations on a key-value store that poplargw needs: Store, with compare-and-swap,
// leases and watches of single keys, and Keyspace, with transactions and watches of a key prefix. It has an
// HTTP client for Store, and an in-memory Store with a server for tests and development. Follow keeps a view of a
// Keyspace up to date, and Register keeps a key in it.
package store

import (
	"context"
	"errors"
	"time"
)

// ErrConflict reports that a key does not have the revision that a write requires. Nothing was written.
var ErrConflict = errors.New("store: revision does not match")

// ErrNotFound reports a key without a value.
var ErrNotFound = errors.New("store: key not found")

// ErrUnavailable reports that the store did not answer or could not be reached. A write may have taken
// effect, or may still take effect later.
var ErrUnavailable = errors.New("store: unavailable")

// MaxValue is the maximum size of a value in bytes.
const MaxValue = 1 << 20

// Item is a key with its value and revision. The revision of a key increases with each write.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
}

// ErrNotModified reports that a watch ended without a change.
var ErrNotModified = errors.New("store: not modified")

// ErrTooLarge reports that a value has more than MaxValue bytes. Nothing was written.
var ErrTooLarge = errors.New("store: value is too large")

// Store is a key-value store. Implementations are safe for concurrent use.
// Every method may return ErrUnavailable (wrapped).
type Store interface {
	// Get returns the item, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// CompareAndSwap writes the value if the key has the given revision, where 0 means
	// that the key does not exist, and returns the new item. Otherwise it returns ErrConflict.
	CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) (Item, error)
	// Watch waits until the key's revision differs from the given one and returns the
	// item. When ctx ends or the implementation's wait limit is reached, it returns
	// ErrNotModified, or ErrNotFound if the key does not exist.
	Watch(ctx context.Context, key string, revision uint64) (Item, error)
	// Lease writes the value and deletes the key after the time to live, unless Lease is
	// called for the key again before then.
	Lease(ctx context.Context, key string, value []byte, ttl time.Duration) error
}
