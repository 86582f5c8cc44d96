package main

import (
	"context"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"poplargw.example/daemon/event"
	"poplargw.example/daemon/server"
	"poplargw.example/daemon/signals"
)

func runCommand() *cli.Command {
	return &cli.Command{
		Name:      "run",
		Usage:     "run the daemon until SIGTERM or SIGINT; a second signal ends it immediately",
		ArgsUsage: "FILE",
		Action:    run,
	}
}

func run(_ context.Context, c *cli.Command) error {
	// Handle signals from the beginning, so that one that arrives during the start is not lost.
	sig := signals.Notify()
	stackRequests := signals.NotifyStacks()
	_, s, err := loadSettings(c)
	if err != nil {
		return err
	}
	log, err := event.Open(s.Log.Level, s.Log.Format, os.Stderr)
	if err != nil {
		return err
	}
	go logStacks(log, stackRequests)
	err = server.Run(sig, s, log)
	if err != nil && s.Log.Level == "debug" {
		fmt.Fprintln(os.Stderr, trace.DebugReport(err))
	}
	return err
}

// logStacks logs the stacks of all goroutines for each request, so that a stall of the process can be examined
// without ending it.
func logStacks(log *event.Logger, requests <-chan os.Signal) {
	for range requests {
		log.Warn(event.StacksRequested, event.Fields{"stacks": signals.Stacks()})
	}
}
