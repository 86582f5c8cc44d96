package cluster

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/member"
	"poplargw.example/store"
)

// Keys of the records in the store. Values are protobuf messages in binary form.
const (
	configKey = "config"
	tableKey  = "entries"
)

// Errors of Cluster.read.
var (
	errStoreOutdated = errors.New("the store held an older record")
	errUnreadable    = errors.New("the record cannot be decoded")
	errSuperseded    = errors.New("a newer record became known during the read")
)

// versioned is a record with a version: a configuration record or an entry table.
type versioned interface {
	proto.Message
	GetVersion() uint64
}

// record describes how one type of record, the configuration or the entry table, is stored and
// accessed.
type record struct {
	name  string
	id    member.Record
	empty func() versioned
	known func(*snapshot) versioned
	adopt func(*member.State, versioned, time.Time)
	// fromFetch returns the record in the response of a peer.
	fromFetch func(*peerv1.FetchResponse) versioned
	// withVersion returns a copy of the record with the given version.
	withVersion func(r versioned, version uint64) versioned
}

var configRecord = record{
	name:      configKey,
	id:        member.ConfigRecord,
	empty:     func() versioned { return &poplargwv1.ConfigRecord{} },
	known:     func(s *snapshot) versioned { return s.config },
	adopt:     func(st *member.State, r versioned, _ time.Time) { st.AdoptConfig(r.(*poplargwv1.ConfigRecord)) },
	fromFetch: func(r *peerv1.FetchResponse) versioned { return r.GetConfig() },
	withVersion: func(r versioned, version uint64) versioned {
		next := proto.CloneOf(r.(*poplargwv1.ConfigRecord))
		next.Version = version
		return next
	},
}

var tableRecord = record{
	name:      tableKey,
	id:        member.TableRecord,
	empty:     func() versioned { return &peerv1.EntryTable{} },
	known:     func(s *snapshot) versioned { return s.table },
	adopt:     func(st *member.State, r versioned, now time.Time) { st.AdoptTable(r.(*peerv1.EntryTable), now) },
	fromFetch: func(r *peerv1.FetchResponse) versioned { return r.GetTable() },
	withVersion: func(r versioned, version uint64) versioned {
		next := proto.CloneOf(r.(*peerv1.EntryTable))
		next.Version = version
		return next
	},
}

// read reads a record from the store. It adopts a newer record, and replaces an older record in the
// store by the newest known one. It returns the record, empty with version 0 if the store has none,
// and its store revision. An error means that the store did not answer or that the record cannot be
// used now.
func (c *Cluster) read(ctx context.Context, rec record) (versioned, uint64, error) {
	begin := time.Now()
	known := rec.known(c.snapshot.Load()).GetVersion()
	item, r, err := c.readStore(ctx, rec)
	if err != nil {
		c.recordRead(rec, begin, member.ReadFailed, nil)
		return nil, 0, err
	}
	c.addToHistory(r)
	if r.GetVersion() < known {
		c.recordRead(rec, begin, member.ReadOlder, nil)
		c.writeBack(ctx, rec, item.Revision)
		return nil, 0, errStoreOutdated
	}
	if r.GetVersion() < rec.known(c.snapshot.Load()).GetVersion() {
		return nil, 0, errSuperseded
	}
	if isFork(rec.known(c.snapshot.Load()), r) {
		c.recordRead(rec, begin, member.ReadOlder, nil)
		c.resolveFork(ctx, rec, r, item.Revision)
		return nil, 0, errForked
	}
	c.recordRead(rec, begin, member.ReadCurrent, r)
	return r, item.Revision, nil
}

// addToHistory adds a configuration record from the store to the change history, even if it is too
// old to be adopted.
func (c *Cluster) addToHistory(r versioned) {
	if config, ok := r.(*poplargwv1.ConfigRecord); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.history.add(config)
	}
}

// readStore gets a record from the store and decodes it. The record is empty with version 0 if the
// store has none.
func (c *Cluster) readStore(ctx context.Context, rec record) (store.Item, versioned, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Settings.Store.Timeout)
	defer cancel()
	c.metrics.storeReads.Inc()
	item, err := c.opts.Store.Get(ctx, rec.name)
	r := rec.empty()
	if errors.Is(err, store.ErrNotFound) {
		return store.Item{}, r, nil
	}
	if err != nil {
		c.metrics.storeErrors.Inc()
		return store.Item{}, nil, trace.Wrap(fmt.Errorf("read %s: %w", rec.name, err))
	}
	if err := proto.Unmarshal(item.Value, r); err != nil {
		c.opts.Log.Error(event.RecordUnreadable, event.Fields{"record": rec.name, "revision": item.Revision, "error": err.Error()})
		return store.Item{}, nil, errUnreadable
	}
	return item, r, nil
}

// recordRead records the outcome of a read that began at begin and adopts the record unless it is
// nil. It logs when the store becomes reachable or unreachable.
func (c *Cluster) recordRead(rec record, begin time.Time, outcome member.ReadOutcome, r versioned) {
	var wasReachable, isReachable bool
	c.mutate(func(st *member.State, now time.Time) {
		wasReachable = st.StoreReachable()
		if r != nil {
			rec.adopt(st, r, now)
		}
		st.StoreRead(rec.id, begin, outcome)
		isReachable = st.StoreReachable()
	})
	if wasReachable && !isReachable {
		c.opts.Log.Warn(event.StoreUnreachable, event.Fields{"record": rec.name})
	}
	if isReachable && !wasReachable {
		c.opts.Log.Info(event.StoreReachable, event.Fields{"record": rec.name})
	}
}

// writeBack replaces an older record in the store, read at the given revision, by the newest known
// one.
func (c *Cluster) writeBack(ctx context.Context, rec record, revision uint64) {
	r := rec.known(c.snapshot.Load())
	if _, err := c.compareAndSwap(ctx, rec, r, revision); err != nil {
		return // The next read retries.
	}
	c.metrics.writtenBack.Inc()
	c.opts.Log.Warn(event.RecordWrittenBack, event.Fields{"record": rec.name, "version": r.GetVersion()})
}

// compareAndSwap writes a record if the store still has the given revision of it.
func (c *Cluster) compareAndSwap(ctx context.Context, rec record, r versioned, revision uint64) (store.Item, error) {
	value, err := proto.Marshal(r)
	if err != nil {
		return store.Item{}, trace.Wrap(fmt.Errorf("encode %s: %w", rec.name, err))
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.Settings.Store.Timeout)
	defer cancel()
	c.metrics.storeWrites.Inc()
	item, err := c.opts.Store.CompareAndSwap(ctx, rec.name, value, revision)
	if err != nil {
		if errors.Is(err, store.ErrUnavailable) {
			c.metrics.storeErrors.Inc()
		}
		return store.Item{}, trace.Wrap(fmt.Errorf("write %s: %w", rec.name, err))
	}
	return item, nil
}
