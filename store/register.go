package store

import (
	"context"
	"errors"
	"time"
)

// RegisterOptions configures Register.
type RegisterOptions struct {
	Key   string
	Value []byte
	// TTL is the lease's time to live: the key remains for that long after the process has died.
	TTL time.Duration
	// CallTimeout bounds each call of the store.
	CallTimeout time.Duration
	// OnRegistered is called when the key has been written. OnEnded is called when its lease has ended
	// before ctx, or when the lease could not be revoked at the end.
	OnRegistered func()
	OnEnded      func(error)
}

// renewalsPerTTL is the number of renewals in one time to live, so that two may be lost.
const renewalsPerTTL = 3

// Register keeps the key in the store under a lease until ctx ends, and then deletes it. If the lease ends
// earlier, because the store was down or revoked it, Register writes the key again under a new lease after a
// short pause.
func Register(ctx context.Context, k Keyspace, o RegisterOptions) {
	r := &registration{RegisterOptions: o, store: k}
	delay := minBackoff
	for ctx.Err() == nil {
		err := r.step(ctx)
		switch {
		case ctx.Err() != nil:
		case err == nil:
			delay = minBackoff
			_ = sleep(ctx, max(r.ttl/renewalsPerTTL, minBackoff)) // the loop checks whether ctx has ended
		case errors.Is(err, ErrLeaseLost):
			r.leaseEnded(err)
			backOff(ctx, &delay, maxBackoff)
		default:
			backOff(ctx, &delay, maxBackoff)
		}
	}
	r.revoke()
}

// registration is the state of one call of Register.
type registration struct {
	RegisterOptions
	store   Keyspace
	lease   LeaseID
	ttl     time.Duration
	written bool
}

// step renews the lease, or writes the key, under a new lease if there is none.
func (r *registration) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.CallTimeout)
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
	r.OnRegistered()
	return nil
}

// leaseEnded forgets the lease, so that the next step writes the key under a new one.
func (r *registration) leaseEnded(err error) {
	r.lease, r.written = 0, false
	r.OnEnded(err)
}

// revoke revokes the lease, so that the key is deleted at once and not only after the time to live. If the
// call fails, the lease expires.
func (r *registration) revoke() {
	if r.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.CallTimeout)
	defer cancel()
	if err := r.store.Revoke(ctx, r.lease); err != nil && !errors.Is(err, ErrLeaseLost) {
		r.OnEnded(err)
	}
}
