// Command poplargwd is the daemon of poplargw. It runs as an entry or as an agent, depending on its settings.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"poplargw.example/daemon/settings"
)

// Exit codes of the daemon.
const (
	exitFailed = 1 // after any error
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// command returns the root command with all subcommands.
func command() *cli.Command {
	return &cli.Command{
		Name:           "poplargwd",
		Usage:          "dispatch short tasks to backend servers",
		HideVersion:    true,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands:       []*cli.Command{runCommand(), checkCommand(), devCommand(), versionCommand()},
	}
}

// loadSettings returns the name and the content of the settings file, which must be the only argument of a command.
func loadSettings(c *cli.Command) (string, *settings.Settings, error) {
	if c.Args().Len() != 1 {
		return "", nil, fmt.Errorf("%s requires exactly one argument: a settings file", c.FullName())
	}
	name := c.Args().First()
	s, err := settings.Load(name)
	return name, s, err
}
