package server

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"poplargw.example/daemon/event"
	"poplargw.example/daemon/transport"
)

// listen opens all listeners of the role before any of them serves requests, so that the start fails
// immediately if an address is wrong or in use.
func (p *process) listen(conf *tls.Config) error {
	l, h := p.settings.Listen, p.role.handlers()
	listeners := []struct {
		name, addr string
		handler    http.Handler
	}{
		{"callers", l.Callers, h.callers},
		{"local", l.Local, h.local},
		{"operators", l.Operators, p.operatorHandler()},
	}
	err := p.addServer("peers", func() (transport.Server, error) {
		return transport.NewServer(p.settings.Transport.Kind, l.Peers, conf, h.peers)
	})
	for _, e := range listeners {
		if e.handler == nil || err != nil {
			continue
		}
		err = p.addServer(e.name, func() (transport.Server, error) { return transport.NewPlainServer(e.addr, e.handler) })
	}
	return err
}

// addServer opens a listener and adds it to the servers of the process. name is used in logs and errors.
func (p *process) addServer(name string, open func() (transport.Server, error)) error {
	s, err := open()
	if err != nil {
		return trace.Wrap(fmt.Errorf("listen for %s: %w", name, err))
	}
	p.servers = append(p.servers, s)
	p.log.Info(event.Listening, event.Fields{"listener": name, "address": s.Addr()})
	return nil
}

// closeAll closes the client and the listeners of a process that does not run, after a failed start.
func (p *process) closeAll() {
	p.client.Close()
	for _, s := range p.servers {
		_ = s.Shutdown(context.Background())
	}
}

// operatorHandler returns the handler for operators: the role's operator calls, metrics, health and
// readiness.
func (p *process) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	p.role.addOperatorHandlers(mux)
	mux.HandleFunc("GET /metrics", p.serveMetrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", p.serveReady)
	return mux
}

// serveMetrics writes the metrics in the Prometheus text format.
func (p *process) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	p.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// serveReady responds with status 200 if the role is ready, and with 503 otherwise or during a stop.
func (p *process) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case p.stopping.Load():
		writeText(w, http.StatusServiceUnavailable, "stopping")
	case !p.role.ready():
		writeText(w, http.StatusServiceUnavailable, "not ready")
	default:
		writeText(w, http.StatusOK, "ready")
	}
}

// writeText writes a response with one line of plain text.
func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = fmt.Fprintln(w, text)
}
