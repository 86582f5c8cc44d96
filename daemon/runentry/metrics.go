package runentry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// counters holds the metrics of an entry.
type counters struct {
	set              *metrics.Set
	abandoned, moved *metrics.Counter
	// interference holds the labels of the gauges of pairs of kinds.
	interference map[string]bool
	ownersLost   *metrics.Counter // jobs that were granted after the loss of their owner
}

// newCounters registers the entry's metrics in set, or in a private set if it is nil.
func newCounters(set *metrics.Set, e *Entry) *counters {
	if set == nil {
		set = metrics.NewSet()
	}
	gauge := func(name string, value func(jobs.Stats) int) {
		set.GetOrCreateGauge(name, func() float64 {
			e.mu.Lock()
			defer e.mu.Unlock()
			return float64(value(e.scheduler.Stats()))
		})
	}
	gauge("poplargw_entry_jobs", func(s jobs.Stats) int { return s.Jobs })
	gauge("poplargw_entry_waiting_tasks", func(s jobs.Stats) int { return s.WaitingTasks })
	gauge("poplargw_entry_runs", func(s jobs.Stats) int { return s.Runs })
	gauge("poplargw_entry_reserved_permille", func(s jobs.Stats) int { return s.ReservedPermille })
	gauge("poplargw_entry_usable_servers", func(s jobs.Stats) int { return s.Servers })
	gauge("poplargw_entry_far_runs", func(s jobs.Stats) int { return s.FarRuns })
	gauge("poplargw_entry_places_kept_near_data", func(s jobs.Stats) int { return s.PlacesKept })
	set.GetOrCreateGauge("poplargw_entry_partners", func() float64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		return float64(e.partners.Len())
	})
	return &counters{
		interference: map[string]bool{},
		set:          set,
		abandoned:    set.GetOrCreateCounter("poplargw_entry_jobs_abandoned_total"),
		ownersLost:   set.GetOrCreateCounter("poplargw_entry_owners_lost_total"),
		moved:        set.GetOrCreateCounter("poplargw_entry_runs_moved_total"),
	}
}

// countTaskReturn counts a run that ended without success and whose task waits again.
func (c *counters) countTaskReturn(kind run.EventKind, code result.Code) {
	name := fmt.Sprintf("poplargw_entry_tasks_returned_total{kind=%q,code=%q}", kind.String(), fmt.Sprint(uint32(code)))
	c.set.GetOrCreateCounter(name).Inc()
}

// recordJobEnd counts a job by its result code and, on success, records its response time.
func (c *counters) recordJobEnd(queue string, code result.Code, took time.Duration) {
	c.set.GetOrCreateCounter(fmt.Sprintf("poplargw_entry_jobs_total{queue=%q,code=%q}", queue, fmt.Sprint(uint32(code)))).Inc()
	if code == 0 {
		c.set.GetOrCreateHistogram(fmt.Sprintf("poplargw_entry_job_seconds{queue=%q}", queue)).Update(took.Seconds())
	}
}

// interferenceGauges are the names of the gauges of a pair of kinds, with its values.
var interferenceGauges = map[string]func(jobs.ServiceInterference) float64{
	"poplargw_entry_interference_effect": func(p jobs.ServiceInterference) float64 { return p.Effect },
	"poplargw_entry_interference_error":  func(p jobs.ServiceInterference) float64 { return p.Error },
	"poplargw_entry_interference_found": func(p jobs.ServiceInterference) float64 {
		if p.Found {
			return 1
		}
		return 0
	},
}

// setInterference sets the gauges of the given pairs of kinds and removes those of pairs without an estimate.
func (c *counters) setInterference(pairs []jobs.ServiceInterference) {
	current := make(map[string]bool, len(pairs))
	for _, p := range pairs {
		labels := fmt.Sprintf("{service=%q,kind=%q,beside=%q}", p.Service, p.Kind, p.Beside)
		current[labels] = true
		for name, value := range interferenceGauges {
			c.set.GetOrCreateGauge(name+labels, nil).Set(value(p))
		}
	}
	for labels := range c.interference {
		if current[labels] {
			continue
		}
		for name := range interferenceGauges {
			c.set.UnregisterMetric(name + labels)
		}
	}
	c.interference = current
}

// cancels counts the cancels of callers by their result.
func (c *counters) cancels(result jobs.CancelResult) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf("poplargw_entry_cancels_total{result=%q}", result.String()))
}
