package entry

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/table"
)

// fakeCluster is the view of the cluster of one entry. Its entry table changes only by Adopt.
type fakeCluster struct {
	Cluster
	self     string
	mu       sync.Mutex
	table    *peerv1.EntryTable
	config   *poplargwv1.ConfigRecord
	notFresh bool
	changed  []chan struct{}
}

// lock locks c and returns the function that unlocks it.
func (c *fakeCluster) lock() func()                     { c.mu.Lock(); return c.mu.Unlock }
func (c *fakeCluster) Config() *poplargwv1.ConfigRecord { defer c.lock()(); return c.config }
func (c *fakeCluster) Table() *peerv1.EntryTable        { defer c.lock()(); return c.table }
func (c *fakeCluster) Fresh(time.Time) bool             { defer c.lock()(); return !c.notFresh }
func (c *fakeCluster) Synced() bool                     { return true }
func (c *fakeCluster) Observe(*peerv1.Versions, string) {}

func (c *fakeCluster) Versions() *peerv1.Versions {
	defer c.lock()()
	return &peerv1.Versions{Config: c.config.GetVersion(), Table: c.table.GetVersion()}
}

func (c *fakeCluster) Adopt(_ *poplargwv1.ConfigRecord, t *peerv1.EntryTable) {
	defer c.lock()()
	if t.GetVersion() <= c.table.GetVersion() {
		return
	}
	c.table = t
	for _, ch := range c.changed {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

func (c *fakeCluster) Changed() <-chan struct{} {
	defer c.lock()()
	ch := make(chan struct{}, 1)
	c.changed = append(c.changed, ch)
	return ch
}

func (c *fakeCluster) Fetch(context.Context, *peerv1.FetchRequest) (*peerv1.FetchResponse, error) {
	return &peerv1.FetchResponse{Table: c.Table(), Config: c.Config()}, nil
}

func (c *fakeCluster) SetLeaving(context.Context) error {
	t := proto.Clone(c.Table()).(*peerv1.EntryTable)
	t.Version++
	table.Member(t, c.self).Leaving = true
	c.Adopt(nil, t)
	return nil
}

func (c *fakeCluster) Leave(context.Context) error {
	c.Adopt(nil, tableOf(c.Table().GetVersion()+1))
	return nil
}
