// Package boottime reads the CLOCK_BOOTTIME clock, which is monotonic and includes the time during which the
// VM was suspended. Go's monotonic clock excludes that time, so that expired leases would still seem valid
// after a resume.
package boottime

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM was booted, as a time.Time without a monotonic reading. Only differences
// between such times are meaningful. It panics if the kernel does not provide CLOCK_BOOTTIME.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux kernel that Go supports provides this clock.
		panic("boottime: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(ts.Unix())
}

// Sleep waits for the duration and returns true, or returns false as soon as ctx ends. Without a positive duration it
// does not wait and returns whether ctx is still in force. Time during which the VM is suspended does not count.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
