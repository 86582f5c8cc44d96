package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"poplargw.example/daemon/settings"
	"poplargw.example/daemon/transport"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a settings file and the certificate files it names",
		ArgsUsage: "FILE",
		Action:    check,
	}
}

// check validates a settings file and then loads the certificate files that it names.
func check(_ context.Context, c *cli.Command) error {
	name, s, err := loadSettings(c)
	if err != nil {
		return err
	}
	if _, err := transport.LoadTLS(s.TLS.Cert, s.TLS.Key, s.TLS.CA); err != nil {
		return settings.Problems{{Code: settings.BadFile, File: name, Key: "tls", Value: err.Error(), Allowed: "PEM files that belong together"}}
	}
	fmt.Fprintf(c.Root().Writer, "%s: settings of %s %s are valid\n", name, s.Role, s.Node.ID)
	return nil
}
