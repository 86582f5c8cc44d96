package agent

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// counters holds the metrics of an agent.
type counters struct {
	granted, attached, reports, reportFailures, fetches *metrics.Counter
	runSeconds                                          *metrics.Histogram
	set                                                 *metrics.Set
}

// newCounters registers the metrics of a in set, or in a new set if set is nil.
func newCounters(set *metrics.Set, a *Agent) *counters {
	if set == nil {
		set = metrics.NewSet()
	}
	set.GetOrCreateGauge("poplargw_agent_running_tasks", func() float64 { return float64(a.Status().Running) })
	set.GetOrCreateGauge("poplargw_agent_start_records", func() float64 { return float64(a.Status().Records) })
	set.GetOrCreateGauge("poplargw_agent_result_bytes", func() float64 { return float64(a.Status().ResultBytes) })
	return &counters{
		set:            set,
		granted:        set.GetOrCreateCounter("poplargw_agent_starts_granted_total"),
		attached:       set.GetOrCreateCounter("poplargw_agent_starts_attached_total"),
		reports:        set.GetOrCreateCounter("poplargw_agent_reports_total"),
		reportFailures: set.GetOrCreateCounter("poplargw_agent_report_failures_total"),
		fetches:        set.GetOrCreateCounter("poplargw_agent_fetches_total"),
		runSeconds:     set.GetOrCreateHistogram("poplargw_agent_run_seconds"),
	}
}

// countFailure counts a refused or failed start by its result code.
func (c *counters) countFailure(code uint32) {
	c.set.GetOrCreateCounter(fmt.Sprintf("poplargw_agent_start_failures_total{code=%q}", fmt.Sprint(code))).Inc()
}
