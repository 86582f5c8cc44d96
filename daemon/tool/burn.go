package tool

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

func burnCommand() *cli.Command {
	return &cli.Command{
		Name: "burn", Usage: "show how fast the error budgets of the objectives are used, as one entry counts",
		Flags: commonFlags(), OnUsageError: usageError, Action: action(burn),
	}
}

func burn(ctx context.Context, c *cli.Command) error {
	op := operator(c)
	record, err := current(ctx, op)
	if err != nil {
		return err
	}
	resp, err := op.GetObjectives(ctx, connect.NewRequest(&poplargwv1.GetObjectivesRequest{}))
	if err != nil {
		return callFailed(err)
	}
	return show(c, resp.Msg, func(w io.Writer) {
		row(w, "SERVICE", "KIND", "TEAM", "GOOD", "TOTAL", "TARGET", "BURN RATE")
		sums := sumWindows(resp.Msg.GetWindows())
		for _, s := range slices.SortedFunc(maps.Keys(sums), compareSeries) {
			target := targetOf(record.GetConfig(), s.service, s.kind)
			row(w, s.service, s.kind, s.team, sums[s].good, sums[s].total, targetText(target), burnText(sums[s], target))
		}
	})
}

type series struct{ service, kind, team string }

type sum struct{ good, total uint64 }

func compareSeries(a, b series) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.kind, b.kind), cmp.Compare(a.team, b.team))
}

func sumWindows(ws []*poplargwv1.ObjectiveWindow) map[series]sum {
	sums := make(map[series]sum)
	for _, w := range ws {
		k := series{w.GetService(), w.GetKind(), w.GetTeam()}
		sums[k] = sum{sums[k].good + w.GetGood(), sums[k].total + w.GetTotal()}
	}
	return sums
}

// targetOf returns the target of a kind, or 0 if it has no objective.
func targetOf(c *poplargwv1.Config, service, kind string) float64 {
	for _, s := range c.GetServices() {
		for _, k := range s.GetKinds() {
			if s.GetName() == service && k.GetName() == kind {
				return k.GetObjective().GetTarget()
			}
		}
	}
	return 0
}

func targetText(target float64) string {
	if target == 0 {
		return "-"
	}
	return fmt.Sprint(target)
}

// burnText returns the share of bad requests as a multiple of the share that the target allows.
func burnText(s sum, target float64) string {
	if s.total == 0 || target == 0 {
		return "-"
	}
	bad := float64(s.total-min(s.good, s.total)) / float64(s.total)
	return fmt.Sprintf("%.2f", bad/(1-target))
}
