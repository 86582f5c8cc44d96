// Package signals delivers the operating system signals that stop or reload a daemon over channels.
package signals

import (
	"os"
	"os/signal"
	"runtime"
	"syscall"
)

// Set holds the channels that tell a daemon to stop. Stop is closed to start the graceful stop, Force to
// abort the graceful stop and end immediately.
type Set struct {
	Stop  <-chan struct{}
	Force <-chan struct{}
}

// Notify starts to handle SIGTERM and SIGINT. The first of these signals closes Stop, the second closes
// Force.
func Notify() Set {
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	stop, force := make(chan struct{}), make(chan struct{})
	go func() {
		<-received
		close(stop)
		<-received
		close(force)
	}()
	return Set{Stop: stop, Force: force}
}

// NotifyReload returns a channel that receives a value for each SIGHUP. Signals that arrive while a value is
// waiting are dropped.
func NotifyReload() <-chan os.Signal {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	return reloads
}

// NotifyStacks returns a channel that receives a value for each SIGUSR1, which asks for the stacks of all goroutines.
// Signals that arrive while a value is waiting are dropped.
func NotifyStacks() <-chan os.Signal {
	requests := make(chan os.Signal, 1)
	signal.Notify(requests, syscall.SIGUSR1)
	return requests
}

// maxStacksSize bounds the text of the stacks: a process under load has some thousand goroutines.
const maxStacksSize = 4 << 20

// Stacks returns the stacks of all goroutines as text, cut after maxStacksSize bytes.
func Stacks() string {
	buf := make([]byte, maxStacksSize)
	return string(buf[:runtime.Stack(buf, true)])
}
