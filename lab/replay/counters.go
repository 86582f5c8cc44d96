package replay

import (
	"fmt"
	"strings"
	"time"

	"poplargw.example/lab/testbed"
)

// counters returns every counter metric, summed over all entries and agents, by name with labels.
// It fails if one of them does not serve its metrics.
func (s *System) counters() (map[string]float64, error) {
	sum := map[string]float64{}
	for _, p := range append(append([]*testbed.Process{}, s.entries...), s.agents...) {
		all := p.Metrics()
		if all == nil {
			return nil, fmt.Errorf("%s did not serve its metrics", p.Name)
		}
		for name, v := range all {
			if strings.Contains(name, "_total") {
				sum[name] += v
			}
		}
	}
	return sum, nil
}

// cpuTimes returns the processor time that all entries and all agents have used so far.
func (s *System) cpuTimes() (entries, agents time.Duration) {
	for _, p := range s.entries {
		entries += p.CPU()
	}
	for _, p := range s.agents {
		agents += p.CPU()
	}
	return entries, agents
}
