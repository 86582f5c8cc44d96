package cluster

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// clusterMetrics holds the counters of a Cluster.
type clusterMetrics struct {
	storeReads         *metrics.Counter
	storeWrites        *metrics.Counter
	storeWatches       *metrics.Counter
	storeErrors        *metrics.Counter
	heartbeatsAnswered *metrics.Counter
	heartbeatsMissed   *metrics.Counter
	writtenBack        *metrics.Counter
}

// newMetrics registers the metrics of c in set, or in a new set if set is nil.
func newMetrics(set *metrics.Set, c *Cluster) *clusterMetrics {
	if set == nil {
		set = metrics.NewSet()
	}
	set.GetOrCreateGauge("poplargw_config_version", func() float64 { return float64(c.Versions().GetConfig()) })
	set.GetOrCreateGauge("poplargw_table_version", func() float64 { return float64(c.Versions().GetTable()) })
	set.GetOrCreateGauge("poplargw_entry_fresh", func() float64 { return boolToFloat(c.Fresh(time.Now())) })
	set.GetOrCreateGauge("poplargw_entry_synced", func() float64 { return boolToFloat(c.Synced()) })
	return &clusterMetrics{
		storeReads:         set.GetOrCreateCounter(`poplargw_store_calls_total{call="read"}`),
		storeWrites:        set.GetOrCreateCounter(`poplargw_store_calls_total{call="write"}`),
		storeWatches:       set.GetOrCreateCounter(`poplargw_store_calls_total{call="watch"}`),
		storeErrors:        set.GetOrCreateCounter("poplargw_store_errors_total"),
		heartbeatsAnswered: set.GetOrCreateCounter(`poplargw_heartbeats_total{result="answered"}`),
		heartbeatsMissed:   set.GetOrCreateCounter(`poplargw_heartbeats_total{result="missed"}`),
		writtenBack:        set.GetOrCreateCounter("poplargw_records_written_back_total"),
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
