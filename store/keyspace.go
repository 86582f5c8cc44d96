package store

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted reports that the store no longer holds the requested history. The caller has to read the
// range again.
var ErrCompacted = errors.New("store: history was compacted")

// ErrLeaseLost reports that a lease has expired or was revoked.
var ErrLeaseLost = errors.New("store: lease has ended")

// LeaseID identifies a lease; 0 means no lease.
type LeaseID uint64

// View is the content of all keys with a prefix, complete up to Revision. The pages of a range are read one
// after the other and Revision is the store's revision at the first page, so some later changes may be
// included; a watch from Revision returns all of them.
type View struct {
	Items    []Item
	Revision uint64
	// Unreadable is the number of items of which not even the key can be read.
	Unreadable int
}

// Change is an item that was written, or a key that was deleted.
type Change struct {
	Item
	Deleted bool
}

// Changes lists the changes that a watch returned, complete up to Revision.
type Changes struct {
	List     []Change
	Revision uint64
	// Unreadable is the number of changes that cannot be read. A read of the range shows their result.
	Unreadable int
}

// Condition requires that the key has the revision; 0 means that the key does not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Put writes a value. If Lease is not 0, the key is deleted when that lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a transaction: all writes and deletions are applied if all conditions hold, and none otherwise.
type Txn struct {
	If     []Condition
	Put    []Put
	Delete []string
}

// Keyspace is a key-value store with one revision counter for all keys. Implementations are safe for
// concurrent use. Every method may return ErrUnavailable (wrapped); a write may then have taken effect, or
// may still take effect later if its conditions hold then.
type Keyspace interface {
	// Range returns all items whose keys have the prefix.
	Range(ctx context.Context, prefix string) (View, error)
	// WatchPrefix returns the changes after the given revision as soon as there are any, or none after
	// the wait. It returns ErrCompacted if the store's history does not go back that far.
	WatchPrefix(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
	// Grant returns a new lease and its time to live.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// Renew restarts the lease's time to live. It returns ErrLeaseLost if the lease has ended.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Commit applies a transaction and returns its revision. It returns ErrConflict if a condition does
	// not hold, and ErrLeaseLost if a lease has ended; nothing is applied then.
	Commit(ctx context.Context, t Txn) (uint64, error)
}
