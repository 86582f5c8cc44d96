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
	_, s, err := loadSettings(c)
	if err != nil {
		return err
	}
	log, err := event.Open(s.Log.Level, s.Log.Format, os.Stderr)
	if err != nil {
		return err
	}
	err = server.Run(sig, s, log)
	if err != nil && s.Log.Level == "debug" {
		fmt.Fprintln(os.Stderr, trace.DebugReport(err))
	}
	return err
}
