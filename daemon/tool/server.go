package tool

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/decl"
)

func serverCommand() *cli.Command {
	out := inOutCommand("out", "take the backend server out of service", setServer(true))
	out.Description = "A name that no agent reports is accepted with a note: the backend server is out of service from the time it appears."
	change := out.Action
	out.Action = func(ctx context.Context, c *cli.Command) error {
		if err := change(ctx, c); err != nil {
			return err
		}
		noteUnknownServer(ctx, c, c.Args().First())
		return nil
	}
	return &cli.Command{
		Name: "server", Usage: "take a backend server out of service or return it", Action: RequireSubcommand,
		Commands: []*cli.Command{out, inOutCommand("in", "return the backend server to service", setServer(false))},
	}
}

func setServer(out bool) func(*poplargwv1.Config, string) (*poplargwv1.Config, error) {
	return func(config *poplargwv1.Config, name string) (*poplargwv1.Config, error) {
		if !decl.ValidName(name) {
			return nil, fmt.Errorf("backend server name %q: allowed: 1 to %d characters of [a-z0-9.-]", name, decl.MaxName)
		}
		return decl.SetServer(config, name, out), nil
	}
}

// noteUnknownServer writes a note to standard error if no agent reports the backend server, so that a misspelt
// name is noticed. It writes nothing if the status cannot be read.
func noteUnknownServer(ctx context.Context, c *cli.Command, name string) {
	st, err := newEntryPool(c).status(ctx)
	if err != nil {
		return
	}
	for _, a := range st.GetAgents() {
		for _, s := range a.GetServers() {
			if s.GetName() == name {
				return
			}
		}
	}
	fmt.Fprintf(c.Root().ErrWriter, "note: no agent reports a backend server named %q at present\n", name)
}
