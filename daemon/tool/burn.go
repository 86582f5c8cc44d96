package tool

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/burn"
)

func burnCommand() *cli.Command {
	return &cli.Command{
		Name: "burn", Usage: "show how fast each objective uses its error budget, over all entries",
		Description: "Asks one entry of --entry for the list of all entries, and every entry for its counters of the last hour.\n" +
			"A burn rate of 1 uses exactly the budget that the target allows. A series alerts while its burn rate is\n" +
			"above the factor in both windows; the factor is limited to the rate at which half of the requests fail.\n" +
			"The output lists entries that did not answer and entries that lost counters in a restart.",
		Flags: commonFlags(
			&cli.DurationFlag{Name: "short", Usage: "short `WINDOW` of the alert rule", Value: burn.DefaultShort},
			&cli.DurationFlag{Name: "long", Usage: "long `WINDOW` of the alert rule, at most 1h", Value: burn.DefaultLong},
			&cli.Float64Flag{Name: "factor", Usage: "burn `RATE` above which both windows alert", Value: burn.DefaultFactor},
			&cli.StringFlag{Name: "html", Usage: "also write a page with plots to `FILE`"},
		),
		OnUsageError: OnUsageError, Action: action(showBurn),
	}
}

func showBurn(ctx context.Context, c *cli.Command) error {
	rule := burn.Rule{Short: c.Duration("short"), Long: c.Duration("long"), Factor: c.Float64("factor")}
	if err := checkRule(rule); err != nil {
		return withExitCode(ExitUsage, err)
	}
	pool := newEntryPool(c)
	record, err := pool.currentConfig(ctx)
	if err != nil {
		return err
	}
	st, err := pool.status(ctx)
	if err != nil {
		return err
	}
	answers := queryObjectives(ctx, st, pool.addresses)
	now := time.Now()
	doc := newBurnDocument(now, rule, answers, burn.Compute(now, burnSamples(answers), objectiveLookup(record.GetConfig()), rule))
	if name := c.String("html"); name != "" {
		if err := writeBurnPage(name, doc); err != nil {
			return withExitCode(ExitFailed, err)
		}
	}
	return showDocument(c, doc, func(w io.Writer) { printBurn(w, doc) })
}

// checkRule returns an error that names the flag whose value is outside its allowed range.
func checkRule(r burn.Rule) error {
	switch {
	case r.Long < time.Minute || r.Long > burn.DefaultLong:
		return fmt.Errorf("--long %v: allowed: 1m to %v, the time for which entries keep counters", r.Long, burn.DefaultLong)
	case r.Short < 10*time.Second || r.Short > r.Long:
		return fmt.Errorf("--short %v: allowed: 10s to --long", r.Short)
	case !(r.Factor > 0): // The negated form also refuses NaN.
		return fmt.Errorf("--factor %v: allowed: above 0", r.Factor)
	}
	return nil
}

// objectiveLookup returns a function that finds the objective of a series in the configuration, or nil
// if its kind has none.
func objectiveLookup(c *poplargwv1.Config) func(burn.Series) *burn.Objective {
	type kind struct{ service, kind string }
	known := make(map[kind]*burn.Objective)
	for _, s := range c.GetServices() {
		for _, k := range s.GetKinds() {
			if o := k.GetObjective(); o != nil {
				known[kind{s.GetName(), k.GetName()}] = &burn.Objective{ResponseTime: o.GetResponseTime().AsDuration(), Target: o.GetTarget()}
			}
		}
	}
	return func(s burn.Series) *burn.Objective { return known[kind{s.Service, s.Kind}] }
}

func printBurn(w io.Writer, d *burnDocument) {
	printRow(w, "SERVICE", "KIND", "TEAM", "OBJECTIVE", "GOOD", "TOTAL", "BUDGET LEFT", "BURN "+d.ShortWindow, "BURN "+d.LongWindow, "ALERT ABOVE", "STATE")
	for _, s := range d.Series {
		printRow(w, s.Service, s.Kind, cmp.Or(s.Team, "(other teams)"), s.ObjectiveText(), s.Good, s.Total, s.BudgetText(),
			rateText(s.BurnShort), rateText(s.BurnLong), rateText(s.AlertFactor), s.StateText())
	}
	printRow(w)
	for _, n := range d.Notes() {
		printRow(w, n)
	}
}

func writeBurnPage(name string, d *burnDocument) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	err = burnPageTemplate.Execute(f, newBurnPageData(d))
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
