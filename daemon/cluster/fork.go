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

// errForked means that two different records have the same version. This happens only if the store
// was restored to an older state and accepted a change before the newer records were written back.
var errForked = errors.New("two different records have the same version")

// isFork reports whether a record has the same version as the known one but different content.
func isFork(known, other versioned) bool {
	return other.GetVersion() != 0 && other.GetVersion() == known.GetVersion() && !proto.Equal(known, other)
}

// resolveFork resolves a fork: it writes the record that a majority of the members has with the next
// version, so that no process has to replace a record by another one with the same version. If all
// members answer and neither record has a majority, the store's record wins.
func (c *Cluster) resolveFork(ctx context.Context, rec record, stored versioned, revision uint64) {
	known := rec.known(c.snapshot.Load())
	var eligible bool
	c.inspect(func(st *member.State, _ time.Time) { eligible = st.Synced() && st.InTable() })
	if !eligible {
		return
	}
	c.opts.Log.Error(event.RecordsDiffer, event.Fields{"record": rec.name, "version": stored.GetVersion()})
	winner := c.chooseForkWinner(ctx, rec, known, stored)
	if winner == nil {
		return // The next read retries.
	}
	next := rec.withVersion(winner, known.GetVersion()+1)
	if _, err := c.compareAndSwap(ctx, rec, next, revision); err != nil {
		return
	}
	c.metrics.writtenBack.Inc()
	c.mutate(func(st *member.State, now time.Time) { rec.adopt(st, next, now) })
	c.publishAll()
}

// chooseForkWinner returns the record that must stay in force, or nil if that cannot be determined
// now.
func (c *Cluster) chooseForkWinner(ctx context.Context, rec record, known, stored versioned) versioned {
	members := len(c.Table().GetMembers())
	answers := c.fetchAll(ctx)
	knownVotes, storedVotes := 1, 0
	for _, a := range answers {
		switch r := rec.fromFetch(a); {
		case !a.GetSynced():
		case proto.Equal(r, known):
			knownVotes++
		case proto.Equal(r, stored):
			storedVotes++
		}
	}
	switch majority := member.Majority(members); {
	case knownVotes >= majority:
		return known
	case storedVotes >= majority, len(answers)+1 >= members:
		return stored
	}
	return nil
}

// fetchAll fetches the records of all other members and returns the responses received within
// heartbeatTimeout.
func (c *Cluster) fetchAll(ctx context.Context) []*peerv1.FetchResponse {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var answers []*peerv1.FetchResponse
	for _, m := range c.otherMembers() {
		wg.Go(func() {
			resp, err := c.peer(m.GetAddress()).Fetch(ctx, connect.NewRequest(&peerv1.FetchRequest{}))
			if err == nil {
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, resp.Msg)
			}
		})
	}
	wg.Wait()
	return answers
}
