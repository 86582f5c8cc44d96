// Package route selects the queue of a request by host and longest path prefix, from an immutable
// version of the configuration. It does no I/O.
package route

import (
	"sort"
	"strings"
	"time"
)

// Queue accepts jobs under a host and a path prefix. Service names the service that runs their
// tasks.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority orders the queues; 0 is the highest priority.
	Priority int
	// Attempts is the number of failures of a task after which its job has failed.
	Attempts int
	// Stretch and Latency define the latency objective: Stretch times the job's critical path, plus
	// Latency.
	Stretch float64
	Latency time.Duration
	// Timeout bounds the duration of a job; 0 means that only the caller's deadline does.
	Timeout time.Duration
	// NeedsAdvice is set if only an external advice service knows which backend servers may run a
	// step.
	NeedsAdvice bool
}

// Limits bounds the requests of callers.
type Limits struct {
	// BodyBytes is the largest size of a request body.
	BodyBytes int64
}

// Config is an immutable version of the routing configuration.
type Config struct {
	Version      int64
	Services     map[string]bool // names of the declared services
	Limits       Limits
	queuesByHost map[string][]Queue
	queueCount   int
}

// New returns a configuration with the given queues and services.
func New(version int64, queues []Queue, services []string, limits Limits) *Config {
	c := &Config{Version: version, Services: map[string]bool{}, Limits: limits, queuesByHost: map[string][]Queue{}, queueCount: len(queues)}
	for _, q := range queues {
		host := strings.ToLower(q.Host)
		c.queuesByHost[host] = append(c.queuesByHost[host], q)
	}
	for _, list := range c.queuesByHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for _, s := range services {
		c.Services[s] = true
	}
	return c
}

// Len returns the number of queues.
func (c *Config) Len() int { return c.queueCount }

// Select returns the queue with the longest prefix of the path, the rest of the path, and whether
// there is such a queue. The host may include a port.
func (c *Config) Select(host, path string) (Queue, string, bool) {
	for _, q := range c.queuesByHost[hostWithoutPort(host)] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
		}
	}
	return Queue{}, "", false
}

// hostWithoutPort returns the host in lower case without its port.
func hostWithoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
