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
		d.t.Logf("conflict of owners of job %s:\n%s", job, describeLines(d.traceJob(job)))
	}
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
