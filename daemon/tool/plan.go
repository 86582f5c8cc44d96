package tool

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/types/known/structpb"
	"poplargw.example/dispatch/decl"
)

func planCommand() *cli.Command {
	return &cli.Command{
		Name: "plan", Usage: "show what apply would change", ArgsUsage: "DIR",
		Flags: commonFlags(), OnUsageError: usageError, Action: action(plan),
	}
}

func plan(ctx context.Context, c *cli.Command) error {
	dir, err := oneArgument(c, "DIR")
	if err != nil {
		return err
	}
	declared, err := readDir(dir)
	if err != nil {
		return err
	}
	base, err := current(ctx, operator(c))
	if err != nil {
		return err
	}
	lines := decl.Diff(base.GetConfig(), declared.Config(base.GetConfig()))
	changes := make([]any, len(lines))
	for i, l := range lines {
		changes[i] = l
	}
	m, err := structpb.NewStruct(map[string]any{"base_version": float64(base.GetVersion()), "changes": changes})
	if err != nil {
		return fail(ExitFailed, err)
	}
	return show(c, m, func(w io.Writer) { printDiff(w, base.GetVersion(), lines) })
}
