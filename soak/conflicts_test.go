package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

const (
	// eventOwnerConflict is logged by an agent when two entries say that they own one job; see docs/events.md.
	eventOwnerConflict = 621
	// maxConflictsTraced bounds the jobs with a conflict of which the trace is printed.
	maxConflictsTraced = 4
)

// loggedLine is what the lines of all logs have in common, and the job that some of them name.
type loggedLine struct {
	Time   time.Time `json:"timestamp"`
	Fields struct {
		Event int    `json:"event"`
		Job   string `json:"job"`
	} `json:"fields"`
}

// searchLogs returns the lines of the logs of nodes that contain one of the texts, in order of their times, and the jobs
// that they name.
func (d *deployment) searchLogs(nodes []*node, texts ...string) ([]tracedLine, []string) {
	var lines []tracedLine
	var jobs []string
	for _, n := range nodes {
		f, err := os.Open(filepath.Clean(n.log.Name()))
		if err != nil {
			d.t.Error(err)
			continue
		}
		s := bufio.NewScanner(f)
		for s.Scan() {
			text := s.Text()
			if !slices.ContainsFunc(texts, func(part string) bool { return strings.Contains(text, part) }) {
				continue
			}
			var l loggedLine
			if err := json.Unmarshal([]byte(text), &l); err != nil {
				d.t.Errorf("%s: %v in %s", n.name, err, text)
				continue
			}
			lines = append(lines, tracedLine{l.Time.Local(), n.name, l.Fields.Event, text})
			if l.Fields.Job != "" && !slices.Contains(jobs, l.Fields.Job) {
				jobs = append(jobs, l.Fields.Job)
			}
		}
		if err := s.Err(); err != nil {
			d.t.Errorf("%s: %v", n.name, err)
		}
		f.Close()
	}
	slices.SortStableFunc(lines, func(a, b tracedLine) int { return a.at.Compare(b.at) })
	return lines, jobs
}

// agentNodes returns the processes of the agents.
func (d *deployment) agentNodes() []*node {
	var nodes []*node
	for _, a := range d.agents {
		nodes = append(nodes, a.node)
	}
	return nodes
}

// ownerConflicts returns the lines in which agents report that two entries own one job, and these jobs.
func (d *deployment) ownerConflicts() ([]tracedLine, []string) {
	return d.searchLogs(d.agentNodes(), fmt.Sprintf(`"event":%d,`, eventOwnerConflict))
}

// conflictCount returns the number of lines of ownerConflicts.
func (d *deployment) conflictCount() int {
	lines, _ := d.ownerConflicts()
	return len(lines)
}

// traceConflicts prints what all processes logged of the jobs with a conflict, and their pauses.
func (d *deployment) traceConflicts() {
	_, jobs := d.ownerConflicts()
	for i, job := range jobs {
		if i == maxConflictsTraced {
			d.t.Logf("%d further jobs with conflicts of owners are not traced", len(jobs)-i)
			return
		}
		lines := d.traceJob(job)
		d.t.Logf("conflict of owners of job %s, %s:\n%s", job, d.describeOwners(job, lines), describeLines(lines))
	}
}

// describeOwners tells whether runs of a job that two entries ordered were in progress at the same time. If so, there were two
// owners; else one entry has connected again after its ownership had lapsed and its runs had ended.
func (d *deployment) describeOwners(job string, lines []tracedLine) string {
	entries := entriesOfRuns(lines)
	runs := d.runsOf(job)
	for i, run := range runs {
		for _, before := range runs[:i] {
			first, second := entries[keyOf(before)], entries[keyOf(run)]
			atOnce := before.Ended.IsZero() || run.Started.Before(before.Ended)
			if atOnce && first != second && first != "" && second != "" {
				return fmt.Sprintf("two owners: %s of %s began before the end of %s of %s", run.describe(), second, before.describe(), first)
			}
		}
	}
	return fmt.Sprintf("no runs of two entries at the same time, %d runs, %d orders in the logs", len(runs), len(entries))
}

// runsOf returns the runs of a job in order of their starts.
func (d *deployment) runsOf(job string) []taskRun {
	var runs []taskRun
	for _, a := range d.agents {
		for _, start := range a.backend.Starts() {
			if jobOf(start.Task) == job {
				runs = append(runs, taskRun{start, a})
			}
		}
	}
	slices.SortFunc(runs, func(a, b taskRun) int { return a.Started.Compare(b.Started) })
	return runs
}

// runKey names a run: entries number the runs of each task by the time.
type runKey struct {
	task string
	run  uint64
}

func keyOf(r taskRun) runKey { return runKey{r.Task, r.Run} }

// entriesOfRuns returns the entries that ordered runs, as far as the lines tell.
func entriesOfRuns(lines []tracedLine) map[runKey]string {
	entries := map[runKey]string{}
	for _, l := range lines {
		var order struct {
			Fields struct {
				Entry string `json:"entry"`
				Task  string `json:"task"`
				Run   uint64 `json:"run"`
			} `json:"fields"`
		}
		if json.Unmarshal([]byte(l.text), &order) == nil && order.Fields.Entry != "" && order.Fields.Task != "" {
			entries[runKey{order.Fields.Task, order.Fields.Run}] = order.Fields.Entry
		}
	}
	return entries
}

// traceJob returns the lines that name a job or one of its tasks, and the pauses of processes from shortly before the first
// of them to the last.
func (d *deployment) traceJob(job string) []tracedLine {
	nodes := append(slices.Clone(d.entries), d.agentNodes()...)
	lines, _ := d.searchLogs(nodes, `"`+job+`"`, `"`+job+`.`, fmt.Sprintf(`"event":%d,`, eventPaused))
	named := slices.DeleteFunc(slices.Clone(lines), func(l tracedLine) bool { return l.event == eventPaused })
	if len(named) == 0 {
		return nil
	}
	first, last := named[0].at.Add(-resendDelay), named[len(named)-1].at
	return slices.DeleteFunc(lines, func(l tracedLine) bool { return l.at.Before(first) || l.at.After(last) })
}
