package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"poplargw.example/lab/testbed"
)

// longestSuspension bounds how long a VM is suspended. It is longer than every time after which an entry takes an agent for
// lost or a caller submits its job again.
const longestSuspension = 3 * time.Second

// suspendMachine suspends the VM of an agent and its backend server: neither goes on, the clock of the backend server
// stands, and the entries' messages wait. No new connection to the VM can be opened; here it is refused instead of left waiting.
func (d *deployment) suspendMachine(r *rand.Rand) {
	a := pick(r, d.agents)
	a.entryLinks.SetMode(testbed.AnySource, testbed.LinkHold)
	a.entryLinks.StopListening()
	a.signal(syscall.SIGSTOP)
	a.backend.Suspend()
	time.Sleep(randomDuration(r, 300*time.Millisecond, longestSuspension))
	a.backend.Resume()
	a.signal(syscall.SIGCONT)
	a.entryLinks.SetMode(testbed.AnySource, testbed.LinkOpen)
	if err := a.entryLinks.Listen(); err != nil {
		d.t.Errorf("%s: no connection can be opened after the suspension: %v", a.name, err)
	}
}
