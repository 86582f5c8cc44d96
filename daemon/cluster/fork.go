package cluster

import (
	"context"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/member"
)

// errDiffers reports two different records with the same version. They can only follow from a store
// that went back and took a change before the newer records were written back.
var errDiffers = errors.New("two different records have the same version")

// fork tells whether a record has the version of the known one but another content.
func fork(known, other versioned) bool {
	return other.GetVersion() != 0 && other.GetVersion() == known.GetVersion() && !proto.Equal(known, other)
}

// settleFork ends a fork: it writes the record that a majority of the members has under the next version,
// so that nobody has to replace a record by another one with the same version. If all members
// answer and neither record has a majority, the store's record is taken.
func (c *Cluster) settleFork(ctx context.Context, rec record, stored versioned, revision uint64) {
	known := rec.known(c.snap.Load())
	var counts bool
	c.inspect(func(st *member.State, _ time.Time) { counts = st.Synced() && st.InTable() })
	if !counts {
		return
	}
	c.o.Log.Error(event.RecordsDiffer, event.Fields{"record": rec.name, "version": stored.GetVersion()})
	winner := c.forkWinner(ctx, rec, known, stored)
	if winner == nil {
		return // The next read tries again.
	}
	next := rec.raise(winner, known.GetVersion()+1)
	if _, err := c.swap(ctx, rec, next, revision); err != nil {
		return
	}
	c.metrics.writtenBack.Inc()
	c.mutate(func(st *member.State, now time.Time) { rec.adopt(st, next, now) })
	c.publishAll()
}

// forkWinner returns the record that has to win, or nil if that cannot be told now.
func (c *Cluster) forkWinner(ctx context.Context, rec record, known, stored versioned) versioned {
	members := len(c.Table().GetMembers())
	answers := c.fetchAll(ctx)
	ours, theirs := 1, 0
	for _, a := range answers {
		switch r := rec.of(a); {
		case !a.GetSynced():
		case proto.Equal(r, known):
			ours++
		case proto.Equal(r, stored):
			theirs++
		}
	}
	switch need := member.Majority(members); {
	case ours >= need:
		return known
	case theirs >= need, len(answers)+1 >= members:
		return stored
	}
	return nil
}

// fetchAll asks all other members for their records and returns the answers.
func (c *Cluster) fetchAll(ctx context.Context) []*peerv1.FetchResponse {
	ctx, cancel := context.WithTimeout(ctx, heartbeatLimit)
	defer cancel()
	var mu sync.Mutex
	var all sync.WaitGroup
	var answers []*peerv1.FetchResponse
	for _, m := range c.others() {
		all.Go(func() {
			resp, err := c.peer(m.GetAddress()).Fetch(ctx, connect.NewRequest(&peerv1.FetchRequest{}))
			if err == nil {
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, resp.Msg)
			}
		})
	}
	all.Wait()
	return answers
}
