package entry

import (
	"context"
	"sync"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/dispatch/table"
)

// changeNotifier tells any number of waiting calls that the home loop has adopted a newer
// entry table. It is safe for concurrent use.
type changeNotifier struct {
	mu   sync.Mutex
	next chan struct{} // closed at the next change
}

func newChangeNotifier() *changeNotifier { return &changeNotifier{next: make(chan struct{})} }

// nextChange returns a channel that is closed at the next change.
func (c *changeNotifier) nextChange() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next
}

// broadcast wakes all calls that wait for the next change.
func (c *changeNotifier) broadcast() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.next)
	c.next = make(chan struct{})
}

// untilMemberGone returns a context that ends when this incarnation of the member leaves
// the table, so that a call to a removed entry does not delay the call to its successor.
func (e *Entry) untilMemberGone(ctx context.Context, m *peerv1.EntryMember) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		for {
			changed := e.tableChanges.nextChange()
			if n := table.Member(e.opts.Cluster.Table(), m.GetId()); n.GetIncarnation() != m.GetIncarnation() {
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
