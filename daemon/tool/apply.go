package tool

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/decl"
)

// catchUpTimeout is how long an entry may take to get a version that the operator has already seen.
const catchUpTimeout = 3 * time.Second

func applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "apply the declarations of a directory", ArgsUsage: "DIR",
		Description: "Reads all files DIR/*.toml, changes the configuration to what they declare in one step, waits until\n" +
			"the change is in force and lists the processes that have not confirmed it. Failure domains and backend\n" +
			"servers whose state the files do not mention keep the state that operators gave them.\n" +
			"With --plan-version a reviewed plan is applied only to the version that \"plan\" printed.",
		Flags: changeFlags(
			&cli.Uint64Flag{Name: "plan-version", Usage: "`VERSION` that the change was planned on; default: the one in force"},
		),
		OnUsageError: OnUsageError, Action: action(apply),
	}
}

func apply(ctx context.Context, c *cli.Command) error {
	declared, err := readDeclarations(c)
	if err != nil {
		return err
	}
	pool := newEntryPool(c)
	base, err := readPlanBase(ctx, c, pool)
	if err != nil {
		return err
	}
	next := declared.Config(base.GetConfig())
	lines := decl.Diff(base.GetConfig(), next)
	if len(lines) == 0 {
		return reportUnchanged(ctx, c, pool, base)
	}
	if v := c.Uint64("plan-version"); c.IsSet("plan-version") && v != base.GetVersion() {
		return withExitCode(ExitConflict, fmt.Errorf("conflict: planned on version %d, but change %s of %s made version %d; nothing was changed, plan again",
			v, base.GetChangeId(), base.GetAuthor(), base.GetVersion()))
	}
	req := newApplyRequest(c, base, next)
	resp, err := applyUntilFinal(ctx, pool, req)
	if err != nil {
		return err
	}
	return reportChange(ctx, c, pool, req.GetChangeId(), base, lines, resp)
}

// readPlanBase returns the configuration in force. If the entry does not know the version of the plan
// yet, it waits for that version, for at most catchUpTimeout.
func readPlanBase(ctx context.Context, c *cli.Command, pool *entryPool) (*poplargwv1.ConfigRecord, error) {
	begin := time.Now()
	for {
		base, err := pool.currentConfig(ctx)
		if err != nil || base.GetVersion() >= c.Uint64("plan-version") {
			return base, err
		}
		if time.Since(begin) > catchUpTimeout || ctx.Err() != nil {
			return nil, withExitCode(ExitFailed, fmt.Errorf("planned on version %d, but the entry knows only version %d; nothing was changed",
				c.Uint64("plan-version"), base.GetVersion()))
		}
		time.Sleep(retryInterval)
	}
}
