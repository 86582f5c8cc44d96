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
		Name: "timeline", Usage: "show the outcome of jobs for each second, from logs of entries and agents",
		ArgsUsage: "FILE...",
		Description: "Reads the structured logs of any number of processes, one file each or many in one, and prints for each second\n" +
			"the jobs that arrived, were served, were late and ended otherwise by result code, orders without an answer, the\n" +
			"lowest free share of processor capacity at any entry, backend servers and entries in use, and events such as restarts.\n" +
			"Lines that cannot be read are counted and listed; they never end the command.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "html", Usage: "also write a page with plots to `FILE`"},
			&cli.StringFlag{Name: "from", Usage: "omit seconds before `TIME`, as in 2026-12-04T11:16:20Z"},
			&cli.StringFlag{Name: "to", Usage: "omit seconds after `TIME`"},
			outputFlag(),
		},
		OnUsageError: OnUsageError, Action: action(showTimeline),
	}
}

func showTimeline(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return withExitCode(ExitUsage, errors.New("at least one log file is required"))
	}
	from, err := timeFlag(c, "from")
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	to, err := timeFlag(c, "to")
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	r := timeline.NewReader()
	for _, name := range c.Args().Slice() {
		if err := readLog(r, name); err != nil {
			return withExitCode(ExitUsage, err)
		}
	}
	t := r.Timeline().Between(from, to)
	if name := c.String("html"); name != "" {
		if err := writeTimelinePage(name, t); err != nil {
			return withExitCode(ExitFailed, err)
		}
	}
	return showDocument(c, t, func(w io.Writer) { printTimeline(w, t) })
}

// timeFlag parses the RFC 3339 time of a flag. It returns the zero time if the flag is not set.
func timeFlag(c *cli.Command, name string) (time.Time, error) {
	text := c.String(name)
	if text == "" {
		return time.Time{}, nil
	}
	parsed, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, fmt.Errorf("--%s: %w", name, err)
	}
	return parsed, nil
}

// readLog reads one log file. Until the log gives the ID of its process, the process is called by the file
// name without extension.
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
	printRow(w, "TIME", "OFFERED", "SERVED", "LATE", "ENDED BY CODE", "ABANDONED", "UNANSWERED", "WAITING", "FREE", "SERVERS", "ENTRIES")
	for _, s := range t.Seconds {
		printRow(w, s.At.Format("15:04:05"), fmt.Sprint(s.Offered), fmt.Sprint(s.Served), fmt.Sprint(s.Late), s.Ended.String(), fmt.Sprint(s.Abandoned),
			fmt.Sprint(s.Unanswered), fmt.Sprint(s.Waiting), fmt.Sprintf("%.3f", s.FreeShare), fmt.Sprint(s.Servers), fmt.Sprint(s.Entries))
		for _, g := range s.Changes {
			printRow(w, "  "+g.String())
		}
	}
	printRow(w, fmt.Sprintf("%d lines read, %d of them invalid. Under load the processes omitted %d further lines about single jobs.", t.Lines, t.Bad, t.LeftOut))
	for _, line := range t.Named {
		printRow(w, "  "+line)
	}
}
