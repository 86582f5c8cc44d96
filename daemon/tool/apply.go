package tool

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
	"poplargw.example/dispatch/decl"
)

func applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "put the declarations of a directory in force", ArgsUsage: "DIR",
		Flags: commonFlags(
			authorFlag(),
			&cli.Uint64Flag{Name: "base", Usage: "`VERSION` that the change was planned on; default: the one in force"},
		),
		OnUsageError: usageError, Action: action(apply),
	}
}

func apply(ctx context.Context, c *cli.Command) error {
	dir, err := oneArgument(c, "DIR")
	if err != nil {
		return err
	}
	declared, err := readDir(dir)
	if err != nil {
		return err
	}
	op := operator(c)
	base, err := current(ctx, op)
	if err != nil {
		return err
	}
	if planned := c.Uint64("base"); c.IsSet("base") && planned != base.GetVersion() {
		return fail(ExitConflict, fmt.Errorf("conflict: planned on version %d, but change %s of %s made version %d; nothing was changed",
			planned, base.GetChangeId(), base.GetAuthor(), base.GetVersion()))
	}
	next := declared.Config(base.GetConfig())
	lines := decl.Diff(base.GetConfig(), next)
	if len(lines) == 0 {
		return unchanged(ctx, c, base)
	}
	resp, err := propose(ctx, op, request(c, base, next))
	if err != nil {
		return err
	}
	return report(c, base.GetVersion(), lines, resp)
}
