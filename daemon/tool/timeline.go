package tool

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"poplargw.example/daemon/timeline"
)

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name: "timeline", Usage: "show second by second what became of jobs, from logs of entries and agents",
		ArgsUsage: "FILE...",
		Description: "Reads the structured logs of any number of processes, one file each or many in one, and prints for each second\n" +
			"the jobs that came, were served, were late and were turned away by result code, orders without an answer, the least\n" +
			"share of processor room that an entry saw free, backend servers and entries in use, and what changed meanwhile.\n" +
			"Lines that cannot be read are counted and named; they never end the command.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "html", Usage: "also write a page with plots to `FILE`"},
			&cli.StringFlag{Name: "from", Usage: "leave out what is before `TIME`, as in 2026-12-04T11:16:20Z"},
			&cli.StringFlag{Name: "to", Usage: "leave out what is after `TIME`"},
			outputFlag(),
		},
		OnUsageError: OnUsageError, Action: action(showTimeline),
	}
}

func showTimeline(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return fail(ExitUsage, errors.New("no log file is named"))
	}
	from, err := timeFlag(c, "from")
	if err != nil {
		return fail(ExitUsage, err)
	}
	to, err := timeFlag(c, "to")
	if err != nil {
		return fail(ExitUsage, err)
	}
	r := timeline.NewReader()
	for _, name := range c.Args().Slice() {
		if err := readLog(r, name); err != nil {
			return fail(ExitUsage, err)
		}
	}
	t := r.Timeline().Between(from, to)
	if name := c.String("html"); name != "" {
		if err := writeTimelinePage(name, t); err != nil {
			return fail(ExitFailed, err)
		}
	}
	return showDocument(c, t, func(w io.Writer) { printTimeline(w, t) })
}

// timeFlag returns the time of a flag, or the zero time if it is not set.
func timeFlag(c *cli.Command, name string) (time.Time, error) {
	text := c.String(name)
	if text == "" {
		return time.Time{}, nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, fmt.Errorf("--%s: %w", name, err)
	}
	return at, nil
}

func readLog(r *timeline.Reader, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	base := filepath.Base(name)
	return r.Read(strings.TrimSuffix(base, filepath.Ext(base)), f)
}

func printTimeline(w io.Writer, t *timeline.Timeline) {
	row(w, "TIME", "OFFERED", "SERVED", "LATE", "ENDED BY CODE", "ABANDONED", "UNANSWERED", "WAITING", "FREE", "SERVERS", "ENTRIES")
	for _, s := range t.Seconds {
		row(w, s.At.Format("15:04:05"), fmt.Sprint(s.Offered), fmt.Sprint(s.Served), fmt.Sprint(s.Late), s.Ended.String(), fmt.Sprint(s.Abandoned),
			fmt.Sprint(s.Unanswered), fmt.Sprint(s.Waiting), fmt.Sprintf("%.3f", s.FreeShare), fmt.Sprint(s.Servers), fmt.Sprint(s.Entries))
		for _, g := range s.Changes {
			row(w, "  "+g.String())
		}
	}
	row(w, fmt.Sprintf("%d lines, %d of them cannot be read; the processes left out %d lines about single jobs under load", t.Lines, t.Bad, t.LeftOut))
	for _, name := range t.Named {
		row(w, "  "+name)
	}
}
