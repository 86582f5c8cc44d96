package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"poplargw.example/daemon/event"
)

// givenUpTask is an event.TaskGivenUp in the log of an entry.
type givenUpTask struct {
	entry   string
	at      time.Time
	task    string
	count   int
	share   float64
	crashes []countedCrash
}

// countedCrash is a crash of a backend server that an entry has counted against a task.
type countedCrash struct {
	Agent     string  `json:"agent"`
	Instance  string  `json:"instance"`
	Share     float64 `json:"share"`
	AgeMs     int64   `json:"age_ms"`
	Others    int     `json:"others"`
	OtherJobs int     `json:"other_jobs"`
}

// givenUpTasks returns the tasks that the entries gave up, by job, from their logs.
func (d *deployment) givenUpTasks() (map[string][]givenUpTask, error) {
	byJob := map[string][]givenUpTask{}
	for _, e := range d.entries {
		data, err := os.ReadFile(e.log.Name())
		if err != nil {
			return nil, err
		}
		for _, g := range parseGivenUp(data) {
			g.entry = e.name
			byJob[jobOf(g.task)] = append(byJob[jobOf(g.task)], g)
		}
	}
	return byJob, nil
}

// parseGivenUp returns the tasks that were given up according to a log. Lines that are not JSON, such as the one at
// which the process was killed, are left out.
func parseGivenUp(log []byte) []givenUpTask {
	var list []givenUpTask
	for line := range bytes.Lines(log) {
		var record struct {
			Timestamp time.Time
			Fields    struct {
				Event   int
				Task    string
				Crashes int
				Share   float64
				Servers []countedCrash
			}
		}
		if json.Unmarshal(line, &record) != nil || record.Fields.Event != int(event.TaskGivenUp) {
			continue
		}
		f := record.Fields
		list = append(list, givenUpTask{at: record.Timestamp, task: f.Task, count: f.Crashes, share: f.Share, crashes: f.Servers})
	}
	return list
}

// whyGivenUp describes what the entries have logged about the tasks of a job that they gave up.
func (d *deployment) whyGivenUp(job string) string {
	tasks, err := d.givenUpTasks()
	if err != nil {
		return err.Error()
	}
	return describeGivenUp(tasks[job])
}

// describeGivenUp describes why tasks of a job were given up.
func describeGivenUp(tasks []givenUpTask) string {
	if len(tasks) == 0 {
		return "no entry has logged that it gave up a task of it"
	}
	var parts []string
	for _, g := range tasks {
		text := fmt.Sprintf("%s gave up %s at %s after %d crashes, share %.3f:", g.entry, g.task, g.at.Format(timeLayout), g.count, g.share)
		for _, c := range g.crashes {
			text += fmt.Sprintf(" [%s, process %s, share %.3f, age %d ms, %d other runs, %d of other jobs]", c.Agent, c.Instance, c.Share, c.AgeMs, c.Others, c.OtherJobs)
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, "; ")
}
