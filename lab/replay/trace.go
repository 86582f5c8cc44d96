// Package replay replays a trace of jobs on a system of real processes and compares the response
// times of the jobs with those of an ideal schedule. It is a measuring tool and not part of the
// product.
package replay

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

// Trace describes a fleet of backend servers and the jobs that are submitted to it. The times at which
// something happens are in milliseconds from the start of the trace.
type Trace struct {
	Header
	Jobs []Job
}

// Header is the first line of a trace file. It describes the fleet.
type Header struct {
	Name    string   `json:"name"`
	Service string   `json:"service"`
	Region  string   `json:"region"`
	Kinds   []Kind   `json:"kinds"`
	Domains []string `json:"domains"`
	Servers []Server `json:"servers"`
	// OneWayUS is the one-way latency between failure domains, ClientUS that between callers and
	// entries, both in microseconds.
	OneWayUS int `json:"one_way_us"`
	ClientUS int `json:"client_us"`
	// WarmupMS is the length of the warm-up: jobs that arrive in it are replayed but not counted.
	WarmupMS int `json:"warm_ms"`
	// OutDomain is the failure domain that is taken out of service at OutMS and returned at BackMS;
	// empty means none.
	OutDomain string `json:"out_domain,omitempty"`
	OutMS     int    `json:"out_ms,omitempty"`
	BackMS    int    `json:"back_ms,omitempty"`
}

// Kind is a kind of task with its declared priority.
type Kind struct {
	Name     string `json:"name"`
	Priority int    `json:"priority"`
	Urgent   bool   `json:"urgent,omitempty"`
}

// Server is a backend server. Its position in the header identifies it.
type Server struct {
	Domain string  `json:"domain"`
	Slots  int     `json:"slots"`
	Speed  float64 `json:"speed"`
	// Fails makes the server end every task in an error.
	Fails bool `json:"fails,omitempty"`
}

// Job is one line of a trace file after the first: parallel tasks of one kind.
type Job struct {
	// AtMS is when the job arrives. Kind is the position of its kind in the header.
	AtMS int `json:"at"`
	Kind int `json:"k"`
	// RunMS holds the run time of each task at speed 1, in milliseconds.
	RunMS []int `json:"run"`
	// DeclaredMS is the run time in milliseconds that the caller declares for each task; 0 means none.
	DeclaredMS int `json:"decl,omitempty"`
	// CancelMS is when the caller cancels the job; 0 means never.
	CancelMS int `json:"cancel,omitempty"`
}

// Work returns the sum of the run times of all tasks at speed 1.
func (j *Job) Work() time.Duration {
	total := 0
	for _, ms := range j.RunMS {
		total += ms
	}
	return milliseconds(total)
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Encode writes a trace as JSON lines: the header and then one line for each job.
func Encode(w io.Writer, t *Trace) error {
	e := json.NewEncoder(w)
	if err := e.Encode(t.Header); err != nil {
		return err
	}
	for i := range t.Jobs {
		if err := e.Encode(&t.Jobs[i]); err != nil {
			return err
		}
	}
	return nil
}

// Decode reads a trace that Encode wrote. It returns an error with the line number for a line that
// is not valid JSON, a job of an undeclared kind, without tasks or earlier than the one before, and
// an error for a trace without jobs or backend servers.
func Decode(r io.Reader) (*Trace, error) {
	t := &Trace{}
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		var err error
		if n == 1 {
			err = json.Unmarshal(lines.Bytes(), &t.Header)
		} else {
			err = t.addJob(lines.Bytes())
		}
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if len(t.Jobs) == 0 || len(t.Servers) == 0 {
		return nil, errors.New("the trace has no jobs or no backend servers")
	}
	return t, nil
}

// addJob decodes and checks one line and appends its job.
func (t *Trace) addJob(line []byte) error {
	var j Job
	if err := json.Unmarshal(line, &j); err != nil {
		return err
	}
	switch {
	case j.Kind < 0 || j.Kind >= len(t.Kinds):
		return fmt.Errorf("kind %d is not declared", j.Kind)
	case len(j.RunMS) == 0:
		return errors.New("the job has no tasks")
	case len(t.Jobs) > 0 && j.AtMS < t.Jobs[len(t.Jobs)-1].AtMS:
		return errors.New("the job is earlier than the one before")
	}
	t.Jobs = append(t.Jobs, j)
	return nil
}

// Load reads a trace file in the format of Encode. Its errors name the file.
func Load(name string) (*Trace, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	t, err := Decode(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return t, nil
}
