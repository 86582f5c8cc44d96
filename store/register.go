package store

import (
	"context"
	"errors"
	"time"
)

// RegisterOptions say what is kept in the store while a process lives.
type RegisterOptions struct {
	Key   string
	Value []byte
	// TTL is how long the key stays after the process has died.
	TTL time.Duration
	// Limit bounds one call.
	Limit time.Duration
	// Registered and Ended are told when the key has been written and when its lease has ended.
	Registered func()
	Ended      func(error)
}

// renewals is the number of renewals within a time to live: two may be lost.
const renewals = 3

// Register keeps the key in the store under a lease until ctx ends, and then removes it. When the
// lease ends, because the store was down or took it back, the key is written again at once.
func Register(ctx context.Context, k Keyspace, o RegisterOptions) {
	r := &registration{RegisterOptions: o, store: k}
	delay := backoffFirst
	for ctx.Err() == nil {
		err := r.step(ctx)
		switch {
		case ctx.Err() != nil:
		case err == nil:
			delay = backoffFirst
			_ = sleep(ctx, r.ttl/renewals) // the loop sees the end of ctx itself
		case errors.Is(err, ErrLeaseLost):
			r.end(err)
			pause(ctx, &delay, backoffLast)
		default:
			pause(ctx, &delay, backoffLast)
		}
	}
	r.remove()
}

type registration struct {
	RegisterOptions
	store   Keyspace
	lease   LeaseID
	ttl     time.Duration
	written bool
}

func (r *registration) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.Limit)
	defer cancel()
	if r.written {
		return r.store.Renew(ctx, r.lease)
	}
	if r.lease == 0 {
		id, ttl, err := r.store.Grant(ctx, r.TTL)
		if err != nil {
			return err
		}
		r.lease, r.ttl = id, ttl
	}
	if _, err := r.store.Commit(ctx, Txn{Put: []Put{{Key: r.Key, Value: r.Value, Lease: r.lease}}}); err != nil {
		return err
	}
	r.written = true
	r.Registered()
	return nil
}

func (r *registration) end(err error) {
	r.lease, r.written = 0, false
	r.Ended(err)
}

// remove ends the lease, so that others need not wait for its time to live. If the call fails, the
// lease ends by itself.
func (r *registration) remove() {
	if r.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.Limit)
	defer cancel()
	if err := r.store.Revoke(ctx, r.lease); err != nil && !errors.Is(err, ErrLeaseLost) {
		r.Ended(err)
	}
}
