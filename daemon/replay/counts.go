package replay

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// counts sums the counters of messages over the metrics of all entries and agents.
func (s *System) counts() (map[string]float64, error) {
	sum := map[string]float64{}
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		if err := scrape(p, sum); err != nil {
			return nil, err
		}
	}
	return sum, nil
}

func scrape(p *process, sum map[string]float64) error {
	res, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", p.ip, portOperators))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		name, text, ok := strings.Cut(lines.Text(), " ")
		v, err := strconv.ParseFloat(text, 64)
		if ok && err == nil && strings.Contains(name, "_total") {
			sum[name] += v
		}
	}
	return lines.Err()
}

// cpu returns the processor time of all entries and all agents.
func (s *System) cpu() (entries, agents time.Duration) {
	for _, p := range s.entries {
		entries += p.cpu()
	}
	for _, p := range s.agents {
		agents += p.cpu()
	}
	return entries, agents
}
