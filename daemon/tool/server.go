package tool

import (
	"github.com/urfave/cli/v3"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/decl"
)

func serverCommand() *cli.Command {
	return &cli.Command{
		Name: "server", Usage: "take a backend server out of service or return it",
		Commands: []*cli.Command{
			switchCommand("out", "take the backend server out of service", setServer(true)),
			switchCommand("in", "return the backend server to service", setServer(false)),
		},
	}
}

func setServer(out bool) func(*poplargwv1.Config, string) (*poplargwv1.Config, error) {
	return func(config *poplargwv1.Config, name string) (*poplargwv1.Config, error) {
		return decl.SetServer(config, name, out), nil
	}
}
