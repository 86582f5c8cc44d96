package runagent

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// counters holds the metrics of an agent.
type counters struct {
	set                *metrics.Set
	orders, unanswered *metrics.Counter
	endedRunsListed    *metrics.Counter
	// unreadableRuns and unreadableEnds count rows of the backend server's lists, each time that it sends them.
	unreadableRuns, unreadableEnds *metrics.Counter
}

// newCounters registers the agent's metrics in set, or in a private set if it is nil.
func newCounters(set *metrics.Set, a *Agent) *counters {
	if set == nil {
		set = metrics.NewSet()
	}
	set.GetOrCreateGauge("poplargw_agent_leased_runs", func() float64 { return float64(a.runCount()) })
	set.GetOrCreateGauge("poplargw_agent_cancels", func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(a.owners.Cancels())
	})
	return &counters{
		set:        set,
		orders:     set.GetOrCreateCounter("poplargw_agent_orders_total"),
		unanswered: set.GetOrCreateCounter("poplargw_agent_orders_unanswered_total"),

		endedRunsListed: set.GetOrCreateCounter("poplargw_agent_ended_runs_listed_total"),

		unreadableRuns: set.GetOrCreateCounter(`poplargw_agent_rows_unreadable_total{list="running"}`),
		unreadableEnds: set.GetOrCreateCounter(`poplargw_agent_rows_unreadable_total{list="ended"}`),
	}
}

func (c *counters) countRefusedOrder(code result.Code) {
	c.set.GetOrCreateCounter(fmt.Sprintf("poplargw_agent_orders_refused_total{code=%q}", fmt.Sprint(uint32(code)))).Inc()
}

func (c *counters) countEndedRun(kind run.EventKind) {
	c.set.GetOrCreateCounter(fmt.Sprintf("poplargw_agent_runs_ended_total{kind=%q}", kind.String())).Inc()
}

// ownerConflicts counts the jobs that an entry says it owns, or has runs of, while another one is on record as the owner.
func (c *counters) ownerConflicts(lapsed bool) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf("poplargw_agent_owner_conflicts_total{lapsed=%q}", fmt.Sprint(lapsed)))
}
