// Package periodic repeats work at an interval until a context ends.
package periodic

import (
	"context"
	"time"
)

// Run calls f once per interval until ctx ends. The first call is one interval after the call of Run.
func Run(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// Wait returns nil as soon as done returns true, which it checks at once and then once per interval. It returns the
// error of ctx if ctx ends first.
func Wait(ctx context.Context, interval time.Duration, done func() bool) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
