// Package steady is a clock that never steps and that counts the time in which the VM was suspended.
// Go's monotonic clock leaves that time out, so that leases would seem to be fresh after a wake-up.
package steady

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM started as a time.Time without a monotonic reading. Only the
// differences of such times have a meaning.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock is part of every kernel that Go runs on.
		panic("steady: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(ts.Unix())
}

// Sleep waits for the time, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
