// Package route selects the queue of a request by host and longest path prefix, from an immutable
// version of the configuration. It does no I/O.
package route

import (
	"sort"
	"strings"
	"time"
)

// Queue is a named entrance for jobs, with the service that runs their tasks.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority 0 comes first.
	Priority int
	// Attempts is how often a task may fail before its job has failed.
	Attempts int
	// Stretch times the job's longest chain of work, plus Latency, is the latency objective.
	Stretch float64
	Latency time.Duration
	// Timeout bounds a job; 0 means that only the caller's deadline does.
	Timeout time.Duration
	// Advised tells that only an outside service knows which backend servers may run a step.
	Advised bool
}

// Limits bounds what callers may send.
type Limits struct {
	BodyBytes int64
}

// Config is one version of the routes. It is immutable.
type Config struct {
	Version  int64
	Services map[string]bool
	Limits   Limits
	byHost   map[string][]Queue
	count    int
}

// New returns a configuration of the queues.
func New(version int64, queues []Queue, services []string, limits Limits) *Config {
	c := &Config{Version: version, Services: map[string]bool{}, Limits: limits, byHost: map[string][]Queue{}, count: len(queues)}
	for _, q := range queues {
		host := strings.ToLower(q.Host)
		c.byHost[host] = append(c.byHost[host], q)
	}
	for _, list := range c.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for _, s := range services {
		c.Services[s] = true
	}
	return c
}

// Len returns the number of queues.
func (c *Config) Len() int { return c.count }

// Select returns the queue with the longest prefix of the path, and the rest of the path. The host
// may carry a port.
func (c *Config) Select(host, path string) (Queue, string, bool) {
	for _, q := range c.byHost[hostOnly(host)] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
		}
	}
	return Queue{}, "", false
}

func hostOnly(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
