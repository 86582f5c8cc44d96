package store

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted reports that the history asked for is no longer kept. Read the range again.
var ErrCompacted = errors.New("store: history was compacted")

// ErrLeaseLost reports a lease that has ended.
var ErrLeaseLost = errors.New("store: lease has ended")

// LeaseID names a lease.
type LeaseID uint64

// View is the content of a prefix at a revision. Pages of a range are read one after the other, so
// that changes after Revision, the store's revision at the first page, may be included; a watch from
// there brings all of them.
type View struct {
	Items    []Item
	Revision uint64
}

// Change is an item as it was written, or the removal of its key.
type Change struct {
	Item
	Deleted bool
}

// Changes are what has happened up to Revision.
type Changes struct {
	List     []Change
	Revision uint64
}

// Condition holds when the key has the revision; 0 means that the key does not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Put writes a value; a lease other than 0 removes the key when it ends.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is applied as a whole when all conditions hold, and not at all otherwise.
type Txn struct {
	If     []Condition
	Put    []Put
	Delete []string
}

// Keyspace is a store of keys with one revision counter. Implementations are safe for concurrent use.
// Every method may return ErrUnavailable (wrapped); a write may then have taken effect, or may take
// effect later if its conditions still hold.
type Keyspace interface {
	// Range reads the keys with the prefix.
	Range(ctx context.Context, prefix string) (View, error)
	// WatchPrefix returns the changes after the revision, as soon as there are any, or none when the
	// wait is over. It returns ErrCompacted when the history does not go back that far.
	WatchPrefix(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
	// Grant returns a new lease and its time to live.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// Renew starts the time to live anew, or returns ErrLeaseLost.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Commit returns the revision of the change, ErrConflict or ErrLeaseLost.
	Commit(ctx context.Context, t Txn) (uint64, error)
}
