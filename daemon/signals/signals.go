// Package signals delivers the operating system signals that stop or reload a daemon over channels.
package signals

import (
	"os"
	"os/signal"
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
