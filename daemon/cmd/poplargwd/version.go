package main

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

func versionCommand() *cli.Command {
	return &cli.Command{Name: "version", Usage: "print the version", Action: version}
}

func version(_ context.Context, c *cli.Command) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the program was built without version information")
	}
	revision := "unknown revision"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	_, err := fmt.Fprintf(c.Root().Writer, "poplargwd %s (%s, %s)\n", info.Main.Version, revision, info.GoVersion)
	return err
}
