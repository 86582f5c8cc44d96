package main

import (
	"strings"

	"poplargw.example/lab/testbed"
)

// process is a process that this program started.
type process struct{ *testbed.Process }

// start starts a process.
func start(p *testbed.Process) (*process, error) { return &process{p}, p.Start() }

// cpu returns the CPU time that the process has used, in seconds.
func (p *process) cpu() float64 { return p.CPU().Seconds() }

// resident returns the resident memory of the process in MB (10^6 bytes).
func (p *process) resident() float64 { return float64(p.ResidentBytes()) / 1e6 }

// metric returns the sum of all metrics of the process whose name, including labels, begins with the
// prefix.
func (p *process) metric(prefix string) float64 {
	sum := 0.0
	for name, value := range p.Metrics() {
		if strings.HasPrefix(name, prefix) {
			sum += value
		}
	}
	return sum
}

// sum returns the sum of f over the processes.
func sum(ps []*process, f func(*process) float64) float64 {
	total := 0.0
	for _, p := range ps {
		total += f(p)
	}
	return total
}
