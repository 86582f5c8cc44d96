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

// Errors of reads.
var (
	errOlder      = errors.New("the store held an older record")
	errUnreadable = errors.New("the record cannot be decoded")
	errOvertaken  = errors.New("a newer record became known during the read")
)

// versioned is a record with a version: a configuration record or an entry table.
type versioned interface {
	proto.Message
	GetVersion() uint64
}

// record is how one kind of record is kept.
type record struct {
	name  string
	key   member.Key
	empty func() versioned
	known func(*snapshot) versioned
	adopt func(*member.State, versioned, time.Time)
	// of returns the record in the answer of a peer.
	of func(*peerv1.FetchResponse) versioned
	// raise returns a copy of the record with the version.
	raise func(r versioned, version uint64) versioned
}

var configRecord = record{
	name:  configKey,
	key:   member.ConfigKey,
	empty: func() versioned { return &poplargwv1.ConfigRecord{} },
	known: func(s *snapshot) versioned { return s.config },
	adopt: func(st *member.State, r versioned, _ time.Time) { st.AdoptConfig(r.(*poplargwv1.ConfigRecord)) },
	of:    func(r *peerv1.FetchResponse) versioned { return r.GetConfig() },
	raise: func(r versioned, version uint64) versioned {
		next := proto.CloneOf(r.(*poplargwv1.ConfigRecord))
		next.Version = version
		return next
	},
}

var tableRecord = record{
	name:  tableKey,
	key:   member.TableKey,
	empty: func() versioned { return &peerv1.EntryTable{} },
	known: func(s *snapshot) versioned { return s.table },
	adopt: func(st *member.State, r versioned, now time.Time) { st.AdoptTable(r.(*peerv1.EntryTable), now) },
	of:    func(r *peerv1.FetchResponse) versioned { return r.GetTable() },
	raise: func(r versioned, version uint64) versioned {
		next := proto.CloneOf(r.(*peerv1.EntryTable))
		next.Version = version
		return next
	},
}

// read reads a record from the store, takes over a newer one and writes a newer one back. It returns
// the record, empty with version 0 if the store has none, and its revision. An error means
// that the store did not answer or that the record cannot be used now.
func (c *Cluster) read(ctx context.Context, rec record) (versioned, uint64, error) {
	begin := time.Now()
	known := rec.known(c.snap.Load()).GetVersion()
	item, r, err := c.get(ctx, rec)
	if err != nil {
		c.note(rec, begin, member.ReadFailed, nil)
		return nil, 0, err
	}
	c.remember(r)
	if r.GetVersion() < known {
		c.note(rec, begin, member.ReadOlder, nil)
		c.writeBack(ctx, rec, item.Revision)
		return nil, 0, errOlder
	}
	if r.GetVersion() < rec.known(c.snap.Load()).GetVersion() {
		return nil, 0, errOvertaken
	}
	if fork(rec.known(c.snap.Load()), r) {
		c.note(rec, begin, member.ReadOlder, nil)
		c.settleFork(ctx, rec, r, item.Revision)
		return nil, 0, errDiffers
	}
	c.note(rec, begin, member.ReadCurrent, r)
	return r, item.Revision, nil
}

// remember notes the change ID of a record that the store holds, also if it is too old to be taken over.
func (c *Cluster) remember(r versioned) {
	if config, ok := r.(*poplargwv1.ConfigRecord); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.history.note(config)
	}
}

func (c *Cluster) get(ctx context.Context, rec record) (store.Item, versioned, error) {
	ctx, cancel := context.WithTimeout(ctx, c.o.Settings.Store.Timeout)
	defer cancel()
	c.metrics.storeReads.Inc()
	item, err := c.o.Store.Get(ctx, rec.name)
	r := rec.empty()
	if errors.Is(err, store.ErrNotFound) {
		return store.Item{}, r, nil
	}
	if err != nil {
		c.metrics.storeErrors.Inc()
		return store.Item{}, nil, trace.Wrap(fmt.Errorf("read %s: %w", rec.name, err))
	}
	if err := proto.Unmarshal(item.Value, r); err != nil {
		c.o.Log.Error(event.RecordUnreadable, event.Fields{"record": rec.name, "revision": item.Revision, "error": err.Error()})
		return store.Item{}, nil, errUnreadable
	}
	return item, r, nil
}

// note notes the outcome of a read and takes over the record.
func (c *Cluster) note(rec record, begin time.Time, o member.Outcome, r versioned) {
	var was, is bool
	c.mutate(func(st *member.State, now time.Time) {
		was = st.StoreReachable()
		if r != nil {
			rec.adopt(st, r, now)
		}
		st.StoreRead(rec.key, begin, o)
		is = st.StoreReachable()
	})
	if was && !is {
		c.o.Log.Warn(event.StoreUnreachable, event.Fields{"record": rec.name})
	}
	if is && !was {
		c.o.Log.Info(event.StoreReachable, event.Fields{"record": rec.name})
	}
}

// writeBack replaces an older record in the store, found at the revision, by the newest known one.
func (c *Cluster) writeBack(ctx context.Context, rec record, revision uint64) {
	r := rec.known(c.snap.Load())
	if _, err := c.swap(ctx, rec, r, revision); err != nil {
		return // The next read finds the older record again.
	}
	c.metrics.writtenBack.Inc()
	c.o.Log.Warn(event.RecordWrittenBack, event.Fields{"record": rec.name, "version": r.GetVersion()})
}

// swap writes a record if the store's revision is the given one.
func (c *Cluster) swap(ctx context.Context, rec record, r versioned, revision uint64) (store.Item, error) {
	value, err := proto.Marshal(r)
	if err != nil {
		return store.Item{}, trace.Wrap(fmt.Errorf("encode %s: %w", rec.name, err))
	}
	ctx, cancel := context.WithTimeout(ctx, c.o.Settings.Store.Timeout)
	defer cancel()
	c.metrics.storeWrites.Inc()
	item, err := c.o.Store.CompareAndSwap(ctx, rec.name, value, revision)
	if err != nil {
		if errors.Is(err, store.ErrUnavailable) {
			c.metrics.storeErrors.Inc()
		}
		return store.Item{}, trace.Wrap(fmt.Errorf("write %s: %w", rec.name, err))
	}
	return item, nil
}
