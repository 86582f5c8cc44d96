// Package cluster keeps what all processes agree on: the configuration in force, the
// entry table and whether this entry may start tasks.
package cluster

import (
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

// View is what an entry knows of the cluster. Implementations are safe for concurrent use.
// Returned messages are shared and must not be changed.
type View interface {
	// Config returns the newest configuration record, or nil before the first.
	Config() *poplargwv1.ConfigRecord
	// Table returns the newest entry table, or nil before the first.
	Table() *peerv1.EntryTable
	// Versions returns the versions of both for outgoing messages.
	Versions() *peerv1.Versions
	// Fresh tells whether this entry may start tasks at the time now.
	Fresh(now time.Time) bool
	// Synced tells whether this entry counts in majorities and may serve.
	Synced() bool
	// Observe notes versions seen in a message of a peer. A newer version is fetched
	// from the peer's address in the background.
	Observe(v *peerv1.Versions, from string)
	// Adopt takes over newer records that a message carried.
	Adopt(config *poplargwv1.ConfigRecord, table *peerv1.EntryTable)
	// Changed returns a channel that gets a value after Config or Table changed.
	// Values are coalesced. Each call returns a new channel.
	Changed() <-chan struct{}
}
