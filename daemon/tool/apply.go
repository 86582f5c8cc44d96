package tool

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/decl"
)

// catchUpLimit is how long an entry may take to learn a version that the operator has seen.
const catchUpLimit = 3 * time.Second

func applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "put the declarations of a directory in force", ArgsUsage: "DIR",
		Description: "Reads all files DIR/*.toml, changes the configuration to what they declare in one step, waits until\n" +
			"the change is in force and names the processes that have not confirmed it. Failure domains and backend\n" +
			"servers whose state the files do not mention keep the state that operators gave them.\n" +
			"With --plan-version a reviewed plan is applied only to the version that \"plan\" printed.",
		Flags: changeFlags(
			&cli.Uint64Flag{Name: "plan-version", Usage: "`VERSION` that the change was planned on; default: the one in force"},
		),
		OnUsageError: OnUsageError, Action: action(apply),
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
	es := entriesOf(c)
	base, err := planned(ctx, c, es)
	if err != nil {
		return err
	}
	next := declared.Config(base.GetConfig())
	lines := decl.Diff(base.GetConfig(), next)
	if len(lines) == 0 {
		return unchanged(ctx, c, es, base)
	}
	if v := c.Uint64("plan-version"); c.IsSet("plan-version") && v != base.GetVersion() {
		return fail(ExitConflict, fmt.Errorf("conflict: planned on version %d, but change %s of %s made version %d; nothing was changed, plan again",
			v, base.GetChangeId(), base.GetAuthor(), base.GetVersion()))
	}
	req := request(c, base, next)
	resp, err := propose(ctx, es, req)
	if err != nil {
		return err
	}
	return report(ctx, c, es, req.GetChangeId(), base, lines, resp)
}

// planned returns the configuration in force. It waits for an entry that does not know the version of
// the plan yet.
func planned(ctx context.Context, c *cli.Command, es *entries) (*poplargwv1.ConfigRecord, error) {
	begin := time.Now()
	for {
		base, err := es.current(ctx)
		if err != nil || base.GetVersion() >= c.Uint64("plan-version") {
			return base, err
		}
		if time.Since(begin) > catchUpLimit || ctx.Err() != nil {
			return nil, fail(ExitFailed, fmt.Errorf("planned on version %d, but the entry knows only version %d; nothing was changed",
				c.Uint64("plan-version"), base.GetVersion()))
		}
		time.Sleep(askPause)
	}
}
