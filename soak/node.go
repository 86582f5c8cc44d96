package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

// build is a build of the program under test. Its processes are started with the flags.
type build struct {
	name, binary string
	flags        []string
}

// node is an entry or agent process that is restarted whenever it exits.
type node struct {
	name, role, file     string
	frontAddr, readyAddr string
	log                  *os.File
	callerLink           *proxy // in front of an entry

	mu       sync.Mutex
	build    build // of the next start
	launches []processStart
	cmd      *exec.Cmd
	started  time.Time
	starts   int
	closing  bool
	done     chan struct{}
}

// processStart is a start of the process of a node.
type processStart struct {
	at    time.Time
	build string
}

// restartDelay is the time from the exit of a process until it is started again.
const restartDelay = 150 * time.Millisecond

// launch starts a process and restarts it whenever it exits, until the test ends.
func (d *deployment) launch(n *node) {
	var err error
	if n.log, err = os.Create(filepath.Join(logDir(d.t), n.name+".log")); err != nil {
		d.t.Fatal(err)
	}
	n.done = make(chan struct{})
	go func() {
		defer close(n.done)
		for n.run() {
			time.Sleep(restartDelay)
		}
	}()
	d.t.Cleanup(func() { n.close(d.t) })
}

// run runs the process until it exits, and reports whether it has to be started again.
func (n *node) run() bool {
	n.mu.Lock()
	cmd := exec.Command(n.build.binary, append(slices.Clone(n.build.flags), "--settings", n.file, n.role)...)
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if n.closing || cmd.Start() != nil {
		n.mu.Unlock()
		return false
	}
	n.cmd, n.started = cmd, time.Now()
	n.launches = append(n.launches, processStart{n.started, n.build.name})
	n.starts++
	n.mu.Unlock()
	_ = cmd.Wait() // the exit status follows from the injected fault
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.closing
}

// buildAt returns the name of the build that the process ran at a time, or "" if it had not been started.
func (n *node) buildAt(at time.Time) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	name := ""
	for _, l := range n.launches {
		if l.at.After(at) {
			break
		}
		name = l.build
	}
	return name
}

// callerAddr returns the address at which callers reach an entry.
func (n *node) callerAddr() string { return n.callerLink.addr() }

// signal sends a signal to the process, if it has been started.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil && n.cmd.Process != nil {
		// An error means that the process has just exited and needs no signal.
		_ = n.cmd.Process.Signal(s)
	}
}

// incarnation returns how often the process has been started.
func (n *node) incarnation() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.starts
}

// awaitRestart waits until the process has been started more often than the given number of times, and reports
// whether that happened within the limit.
func (n *node) awaitRestart(incarnation int, limit time.Duration) bool {
	for end := time.Now().Add(limit); n.incarnation() <= incarnation; {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(2 * time.Millisecond)
	}
	return true
}

// close kills the process, waits for its exit and closes its log.
func (n *node) close(t *testing.T) {
	n.mu.Lock()
	n.closing = true
	n.mu.Unlock()
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-n.done
	if err := n.log.Close(); err != nil {
		t.Log(err)
	}
}
