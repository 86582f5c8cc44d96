// Package cluster maintains the state that all processes agree on: the configuration in force and
// the entry table. It also decides whether this entry may start tasks.
package cluster

import (
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

// View is an entry's view of the cluster. Implementations are safe for concurrent use. Returned
// messages are shared and must not be modified.
type View interface {
	// Config returns the newest configuration record, or nil before the first.
	Config() *poplargwv1.ConfigRecord
	// Table returns the newest entry table, or nil before the first.
	Table() *peerv1.EntryTable
	// Versions returns the versions of both records, for outgoing messages.
	Versions() *peerv1.Versions
	// Fresh reports whether this entry may start tasks at the time now.
	Fresh(now time.Time) bool
	// Synced reports whether this entry counts in majorities and may serve.
	Synced() bool
	// Observe processes the versions in a message of a peer. If one is newer, the records are
	// fetched in the background from the peer's address, given by from.
	Observe(v *peerv1.Versions, from string)
	// Adopt replaces the records by newer ones from a message. Either may be nil.
	Adopt(config *poplargwv1.ConfigRecord, table *peerv1.EntryTable)
	// Changed returns a new channel that receives a value after Config or Table has changed.
	// Pending values are coalesced into one.
	Changed() <-chan struct{}
}
