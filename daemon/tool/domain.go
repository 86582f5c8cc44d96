package tool

import (
	"context"

	"github.com/urfave/cli/v3"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/decl"
)

func domainCommand() *cli.Command {
	return &cli.Command{
		Name: "domain", Usage: "take a failure domain out of service or return it", Action: RequireSubcommand,
		Commands: []*cli.Command{
			inOutCommand("out", "take the failure domain out of service", setDomain(true)),
			inOutCommand("in", "return the failure domain to service", setDomain(false)),
		},
	}
}

// inOutCommand returns a command that changes the configuration by set, called with the NAME argument.
func inOutCommand(name, usage string, set func(*poplargwv1.Config, string) (*poplargwv1.Config, error)) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "NAME", Flags: changeFlags(), OnUsageError: OnUsageError,
		Action: action(func(ctx context.Context, c *cli.Command) error {
			arg, err := oneArgument(c, "NAME")
			if err != nil {
				return err
			}
			return modifyConfig(ctx, c, func(config *poplargwv1.Config) (*poplargwv1.Config, error) { return set(config, arg) })
		}),
	}
}

func setDomain(out bool) func(*poplargwv1.Config, string) (*poplargwv1.Config, error) {
	return func(config *poplargwv1.Config, name string) (*poplargwv1.Config, error) {
		return decl.SetDomain(config, name, out)
	}
}
