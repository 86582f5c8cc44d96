package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// job is one line of a trace file.
type job struct {
	// AtMS is when the job is submitted, in milliseconds from the start of the trace.
	AtMS   int    `json:"at_ms"`
	Caller string `json:"caller"`
	Team   string `json:"team"`
	Kind   string `json:"kind"`
	// RunMS holds the run time of each task at speed 1, in milliseconds.
	RunMS []int `json:"run_ms"`
}

// at returns the time from the start of the trace to the submission of the job.
func (j job) at() time.Duration { return time.Duration(j.AtMS) * time.Millisecond }

// ideal returns the response time that the job would have alone in the system, if all its tasks ran
// at once on backend servers of the given speed and messages took no time.
func (j job) ideal(speed float64) time.Duration {
	longest := 0
	for _, ms := range j.RunMS {
		longest = max(longest, ms)
	}
	return time.Duration(float64(longest) / speed * float64(time.Millisecond))
}

// readTrace reads a trace file of one JSON object a line. It returns an error for an empty trace, a
// job without tasks and a job earlier than the one before.
func readTrace(name string) ([]job, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var jobs []job
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var j job
		if err := json.Unmarshal(lines.Bytes(), &j); err != nil {
			return nil, fmt.Errorf("%s line %d: %w", name, len(jobs)+1, err)
		}
		if len(j.RunMS) == 0 || (len(jobs) > 0 && j.AtMS < jobs[len(jobs)-1].AtMS) {
			return nil, fmt.Errorf("%s line %d: the job has no tasks or is earlier than the job before", name, len(jobs)+1)
		}
		jobs = append(jobs, j)
	}
	if len(jobs) == 0 && lines.Err() == nil {
		return nil, fmt.Errorf("trace %s has no jobs", name)
	}
	return jobs, lines.Err()
}
