package runentry

import (
	"time"

	"golang.org/x/sys/unix"
)

// cpuMeter measures the processor time that the process uses. It tells a pause of the process, during which it used
// none, from a long computation of its own.
type cpuMeter struct{ last time.Duration }

// reset begins a new measurement.
func (m *cpuMeter) reset() { m.last = cpuTime() }

// used returns the processor time that the process has used since the last reset, in user and kernel mode.
func (m *cpuMeter) used() time.Duration { return cpuTime() - m.last }

// cpuTime returns the processor time that the process has used since its start. It returns 0 if the kernel does not
// tell, which Linux always does for the calling process.
func cpuTime() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
