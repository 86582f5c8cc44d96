package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// cutPause is the longest time from the delivery of a request to the reset of its connection.
	cutPause = 12 * time.Millisecond
	// cutLag is the longest time by which the entry learns of the reset later than the caller.
	cutLag = 100 * time.Millisecond
)

// cutAfterRequest resets a connection of a caller right after its next request was delivered. In every other case the
// entry learns of it later than the caller.
func cutAfterRequest(r *rand.Rand, c *proxyConn) {
	pause, lag := randomDuration(r, 0, cutPause), randomDuration(r, 0, cutLag)
	if r.IntN(2) == 0 {
		c.cutAfterRequest(pause, (*proxyConn).reset)
		return
	}
	c.cutAfterRequest(pause, func(c *proxyConn) { c.resetSource(lag) })
}

// startCallerResets starts resetCallers and returns a function that ends it.
func (d *deployment) startCallerResets(ctx context.Context, seed uint64) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.resetCallers(ctx, seed)
	}()
	return func() {
		cancel()
		<-done
	}
}

// resetCallers resets connections of callers right after a request, a part of those to one entry at a time, until ctx
// ends. It draws from numbers of its own, so that a seed still selects the same faults of the list.
func (d *deployment) resetCallers(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 10))
	for ctx.Err() == nil {
		share := 0.2 + 0.6*r.Float64()
		for _, c := range pick(r, d.entries).callerLink.some(r, share) {
			cutAfterRequest(r, c)
		}
		time.Sleep(randomDuration(r, 50*time.Millisecond, 500*time.Millisecond))
	}
	for _, e := range d.entries {
		for _, c := range e.callerLink.open() {
			c.keep()
		}
	}
}
