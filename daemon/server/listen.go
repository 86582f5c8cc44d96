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

// listen opens all listeners of the role before any of them is served, so that a wrong address
// ends the start at once.
func (p *process) listen(conf *tls.Config) error {
	l, h := p.settings.Listen, p.role.handlers()
	plain := []struct {
		name, addr string
		handler    http.Handler
	}{
		{"callers", l.Callers, h.callers},
		{"local", l.Local, h.local},
		{"operators", l.Operators, p.operators()},
	}
	err := p.add("peers", func() (transport.Server, error) {
		return transport.NewServer(p.settings.Transport.Kind, l.Peers, conf, h.peers)
	})
	for _, e := range plain {
		if e.handler == nil || err != nil {
			continue
		}
		err = p.add(e.name, func() (transport.Server, error) { return transport.NewPlainServer(e.addr, e.handler) })
	}
	return err
}

func (p *process) add(name string, open func() (transport.Server, error)) error {
	s, err := open()
	if err != nil {
		return trace.Wrap(fmt.Errorf("listen for %s: %w", name, err))
	}
	p.servers = append(p.servers, s)
	p.log.Info(event.Listening, event.Fields{"listener": name, "address": s.Addr()})
	return nil
}

// abandon closes what was opened by a start that failed.
func (p *process) abandon() {
	p.client.Close()
	for _, s := range p.servers {
		_ = s.Shutdown(context.Background())
	}
}

// operators serves the operator calls of the role, metrics, health and readiness.
func (p *process) operators() http.Handler {
	mux := http.NewServeMux()
	p.role.operators(mux)
	mux.HandleFunc("GET /metrics", p.serveMetrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", p.serveReady)
	return mux
}

func (p *process) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	p.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (p *process) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case p.stopping.Load():
		answer(w, http.StatusServiceUnavailable, "stopping")
	case !p.role.ready():
		answer(w, http.StatusServiceUnavailable, "not ready")
	default:
		answer(w, http.StatusOK, "ready")
	}
}

func answer(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = fmt.Fprintln(w, text)
}
