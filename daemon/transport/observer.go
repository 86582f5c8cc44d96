package transport

import (
	"github.com/VictoriaMetrics/metrics"

	"poplargw.example/daemon/event"
)

// connectionObserver logs and counts the connections of a client.
type connectionObserver struct {
	log                             *event.Logger
	opens, failures, losses, resets *metrics.Counter
}

// newConnectionObserver registers the counters in set, or in a new set if set is nil.
func newConnectionObserver(log *event.Logger, set *metrics.Set) *connectionObserver {
	if set == nil {
		set = metrics.NewSet()
	}
	return &connectionObserver{
		log:      log,
		opens:    set.NewCounter("poplargw_transport_connections_opened_total"),
		failures: set.NewCounter("poplargw_transport_connections_failed_total"),
		losses:   set.NewCounter("poplargw_transport_connections_lost_total"),
		resets:   set.NewCounter("poplargw_transport_connections_reset_total"),
	}
}

// dialed counts an attempt to open a connection. It logs the result unless unchanged is set, which
// means that the previous attempt had the same result, or that the first one succeeded.
func (o *connectionObserver) dialed(addr string, err error, unchanged bool) {
	if err != nil {
		o.failures.Inc()
	} else {
		o.opens.Inc()
	}
	if unchanged || o.log == nil {
		return
	}
	if err != nil {
		o.log.Warn(event.PeerUnreachable, event.Fields{"address": addr, "error": err.Error()})
		return
	}
	o.log.Info(event.PeerReachable, event.Fields{"address": addr})
}

// lost counts and logs an open connection that became unusable.
func (o *connectionObserver) lost(addr string) {
	o.losses.Inc()
	if o.log != nil {
		o.log.Warn(event.ConnectionLost, event.Fields{"address": addr})
	}
}

// reset counts and logs a connection that Reset closed.
func (o *connectionObserver) reset(addr string) {
	o.resets.Inc()
	if o.log != nil {
		o.log.Warn(event.ConnectionReset, event.Fields{"address": addr})
	}
}
