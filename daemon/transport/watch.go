package transport

import (
	"github.com/VictoriaMetrics/metrics"

	"poplargw.example/daemon/event"
)

// watch tells operators about connections.
type watch struct {
	log                         *event.Logger
	dials, failures, gone, sets *metrics.Counter
}

func newWatch(log *event.Logger, set *metrics.Set) *watch {
	if set == nil {
		set = metrics.NewSet()
	}
	return &watch{
		log:      log,
		dials:    set.NewCounter("poplargw_transport_connections_opened_total"),
		failures: set.NewCounter("poplargw_transport_connections_failed_total"),
		gone:     set.NewCounter("poplargw_transport_connections_lost_total"),
		sets:     set.NewCounter("poplargw_transport_connections_reset_total"),
	}
}

// opened counts an attempt and logs only the changes between reachable and unreachable.
func (w *watch) opened(addr string, err error, unchanged bool) {
	if err != nil {
		w.failures.Inc()
	} else {
		w.dials.Inc()
	}
	if unchanged || w.log == nil {
		return
	}
	if err != nil {
		w.log.Warn(event.PeerUnreachable, event.Fields{"address": addr, "error": err.Error()})
		return
	}
	w.log.Info(event.PeerReachable, event.Fields{"address": addr})
}

func (w *watch) lost(addr string) {
	w.gone.Inc()
	if w.log != nil {
		w.log.Warn(event.ConnectionLost, event.Fields{"address": addr})
	}
}

func (w *watch) reset(addr string) {
	w.sets.Inc()
	if w.log != nil {
		w.log.Warn(event.ConnectionReset, event.Fields{"address": addr})
	}
}
