package tool

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"
	"poplargw.example/dispatch/decl"
)

func planCommand() *cli.Command {
	return &cli.Command{
		Name: "plan", Usage: "show what apply would change", ArgsUsage: "DIR",
		Description: "Compares the files DIR/*.toml with the configuration in force. \"+\" marks what would be added, \"~\" what\n" +
			"would change and \"-\" what would be removed. Pass the printed version to apply --plan-version.",
		Flags: commonFlags(), OnUsageError: OnUsageError, Action: action(plan),
	}
}

// planDocument is the JSON form of a plan.
type planDocument struct {
	BaseVersion uint64   `json:"base_version,string"`
	Changes     []string `json:"changes"`
}

func plan(ctx context.Context, c *cli.Command) error {
	declared, err := readDeclarations(c)
	if err != nil {
		return err
	}
	base, err := newEntryPool(c).currentConfig(ctx)
	if err != nil {
		return err
	}
	lines := decl.Diff(base.GetConfig(), declared.Config(base.GetConfig()))
	doc := planDocument{base.GetVersion(), append([]string{}, lines...)}
	return showDocument(c, doc, func(w io.Writer) { printDiff(w, base.GetVersion(), lines) })
}
