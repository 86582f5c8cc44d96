package entry

import (
	"context"
	"sync"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/dispatch/table"
)

// changes tells any number of waiting calls that the home loop has seen a newer table.
type changes struct {
	mu   sync.Mutex
	next chan struct{}
}

func newChanges() *changes { return &changes{next: make(chan struct{})} }

// wait returns a channel that is closed at the next change.
func (c *changes) wait() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next
}

func (c *changes) fire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.next)
	c.next = make(chan struct{})
}

// whileMember returns a context that ends when the member leaves the table, so that a
// call to an entry that is gone does not hold up its successor.
func (e *Entry) whileMember(ctx context.Context, m *peerv1.EntryMember) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		for {
			changed := e.changes.wait()
			if n := table.Member(e.o.Cluster.Table(), m.GetId()); n.GetIncarnation() != m.GetIncarnation() {
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
		}
	}()
	return ctx, cancel
}
