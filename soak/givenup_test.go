package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
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

// Guards against a message about a failed job without the crashes for which it was given up, and against a log that
// counts as empty because the process was killed within a line.
func TestGivenUpTasksAreReadFromLog(t *testing.T) {
	const line = `{"fields":{"crashes":2,"event":678,"servers":[{"agent":"side-1@127.0.0.1:1","instance":"i-1#7","share":0.5,"age_ms":10,"others":3,"other_jobs":1},` +
		`{"agent":"side-2@127.0.0.1:2","instance":"i-2#9","share":1,"age_ms":11,"others":0,"other_jobs":0}],"share":1.5,"task":"81.0.0.2"},` +
		`"level":"info","timestamp":"2026-12-05T03:06:03.191571127Z","message":"task is given up because backend servers crashed under it"}`
	list := parseGivenUp([]byte(`{"fields":{"event":67` + "\n" + `{"fields":{"event":674,"runs":4}}` + "\n" + line + "\n"))
	if len(list) != 1 || list[0].task != "81.0.0.2" || list[0].count != 2 || list[0].share != 1.5 || len(list[0].crashes) != 2 {
		t.Fatalf("read %+v", list)
	}
	text := describeGivenUp(list)
	for _, part := range []string{"03:06:03.191", "[side-1@127.0.0.1:1, process i-1#7, share 0.500, age 10 ms, 3 other runs, 1 of other jobs]", "[side-2@127.0.0.1:2, "} {
		if !strings.Contains(text, part) {
			t.Errorf("the message lacks %q: %s", part, text)
		}
	}
}
