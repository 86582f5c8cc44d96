// Package server runs a daemon: it joins the parts of its role, opens the listeners, and stops
// them in order.
package server

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"poplargw.example/daemon/event"
	"poplargw.example/daemon/settings"
	"poplargw.example/daemon/signals"
	"poplargw.example/daemon/transport"
	"poplargw.example/store"
)

// shutdownLimit bounds the wait for calls that are still in flight after a drain: replies that are
// being written, and calls of operators.
const shutdownLimit = 2 * time.Second

// ErrForced reports that a second signal ended the process before its graceful stop was done.
var ErrForced = errors.New("graceful stop was cut short")

// role is what an entry and an agent have in common.
type role interface {
	// run does the duties until ctx ends.
	run(ctx context.Context) error
	// drain finishes the work that was accepted and refuses more.
	drain(ctx context.Context) error
	ready() bool
	// handlers returns the handlers of the listeners besides the operators' one.
	handlers() handlers
	// operators adds the role's operator calls to the mux.
	operators(mux *http.ServeMux)
}

// handlers holds the handlers by listener; nil means that the role has no such listener.
type handlers struct {
	callers, peers, local http.Handler
}

// Run runs the daemon with the given settings until a signal or until one of its duties fails. It
// returns nil after a complete graceful stop.
func Run(sig signals.Set, s *settings.Settings, log *event.Logger) error {
	conf, err := transport.LoadTLS(s.TLS.Cert, s.TLS.Key, s.TLS.CA)
	if err != nil {
		return err
	}
	p, err := start(s, log, conf, store.NewHTTP(s.Store.URL, s.Store.Timeout))
	if err != nil {
		return err
	}
	return p.run(sig)
}

// start makes the role and opens its listeners. An agent does not use the store.
func start(s *settings.Settings, log *event.Logger, conf *tls.Config, st store.Store) (*process, error) {
	set := metrics.NewSet()
	client, err := transport.NewObservedClient(s.Transport.Kind, conf, s.Transport.DeadPeer, sourceIP(s.Listen.Peers), log, set)
	if err != nil {
		return nil, err
	}
	p := &process{settings: s, client: client, log: log, metrics: set}
	switch s.Role {
	case settings.RoleEntry:
		p.role = newEntry(p, st)
	case settings.RoleAgent:
		p.role = newAgent(p)
	default:
		return nil, trace.BadParameter("unknown role %q", s.Role)
	}
	if err := p.listen(conf); err != nil {
		p.abandon()
		return nil, err
	}
	return p, nil
}

// sourceIP returns the IP from which calls to peers come: that of the peers' listener, so that
// a VM with several addresses uses the one of its settings. It is nil for a listener on all addresses.
func sourceIP(listen string) net.IP {
	a, err := netip.ParseAddrPort(listen)
	if err != nil || a.Addr().IsUnspecified() {
		return nil
	}
	return net.IP(a.Addr().AsSlice())
}

// process is one running daemon.
type process struct {
	role     role
	settings *settings.Settings
	client   transport.Client
	log      *event.Logger
	metrics  *metrics.Set
	servers  []transport.Server
	stopping atomic.Bool
}

// run serves until a signal arrives or a duty fails, and then stops everything.
func (p *process) run(sig signals.Set) error {
	defer p.client.Close()
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, ctx := errgroup.WithContext(work)
	for _, s := range p.servers {
		g.Go(s.Serve)
	}
	g.Go(func() error { return p.role.run(ctx) })
	p.log.Info(event.Started, event.Fields{"role": string(p.settings.Role), "id": p.settings.Node.ID})
	var stopErr error
	select {
	case <-sig.Stop:
		stopErr = p.stop(ctx, sig.Kill)
	case <-ctx.Done():
	}
	stopErr = errors.Join(stopErr, p.closeServers(sig.Kill))
	cancel()
	if err := g.Wait(); err != nil {
		p.log.Error(event.DutyFailed, event.Fields{"error": err.Error()})
		return errors.Join(err, stopErr)
	}
	p.log.Info(event.Stopped, nil)
	return stopErr
}

// stop drains the role while its listeners go on serving. Readiness is taken back first, so that
// the load balancer sends no more callers.
func (p *process) stop(ctx context.Context, kill <-chan struct{}) error {
	p.stopping.Store(true)
	limit := p.settings.Limits.DrainLimit
	p.log.Info(event.Stopping, event.Fields{"limit": limit.String()})
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ctx, cut := context.WithCancelCause(ctx)
	defer cut(nil)
	go func() {
		select {
		case <-kill:
			cut(ErrForced)
		case <-ctx.Done():
		}
	}()
	err := p.role.drain(ctx)
	switch {
	case err == nil:
		return nil
	case errors.Is(context.Cause(ctx), ErrForced):
		p.log.Warn(event.StopForced, nil)
		return ErrForced
	}
	p.log.Error(event.DrainFailed, event.Fields{"error": err.Error()})
	return trace.Wrap(fmt.Errorf("graceful stop: %w", err))
}

// closeServers ends the listeners together.
func (p *process) closeServers(kill <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	go func() {
		select {
		case <-kill:
			cancel()
		case <-ctx.Done():
		}
	}()
	var g errgroup.Group
	for _, s := range p.servers {
		g.Go(func() error {
			// Watches of operators and idle connections may outlive the limit; both are cut then.
			if err := s.Shutdown(ctx); err != nil && ctx.Err() == nil {
				return err
			}
			return nil
		})
	}
	return g.Wait()
}
