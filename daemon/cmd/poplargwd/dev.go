package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"poplargw.example/daemon/event"
	"poplargw.example/daemon/server"
	"poplargw.example/daemon/signals"
)

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a complete development system in one process on loopback addresses",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "log-level", Usage: "minimum severity `LEVEL` to log: debug, info, warn or error", Value: "warn",
		}},
		Action: dev,
	}
}

func dev(_ context.Context, c *cli.Command) error {
	sig := signals.Notify()
	log, err := event.Open(c.String("log-level"), event.FormatAuto, os.Stderr)
	if err != nil {
		return err
	}
	return server.RunDev(sig, log, c.Root().Writer)
}
