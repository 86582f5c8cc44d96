// Package signals turns the signals of the operating system into channels.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// Set says when a daemon stops. Stop starts the graceful stop. Kill cuts it short.
type Set struct {
	Stop <-chan struct{}
	Kill <-chan struct{}
}

// Notify turns the first SIGTERM or SIGINT into Stop and the second into Kill.
func Notify() Set {
	in := make(chan os.Signal, 2)
	signal.Notify(in, syscall.SIGTERM, syscall.SIGINT)
	stop, kill := make(chan struct{}), make(chan struct{})
	go func() {
		<-in
		close(stop)
		<-in
		close(kill)
	}()
	return Set{Stop: stop, Kill: kill}
}

// NotifyReload returns a channel that gets a value at each SIGHUP.
func NotifyReload() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}
