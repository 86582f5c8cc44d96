// Package server runs the daemon as an entry or an agent: it creates the components of the role, opens
// the listeners, and shuts everything down in order.
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

// shutdownTimeout bounds the wait for calls that are still in flight after a drain, such as responses
// that are being written and operator calls.
const shutdownTimeout = 2 * time.Second

// ErrForced is returned if a second signal ended the process before its graceful stop was complete.
var ErrForced = errors.New("graceful stop was cut short")

// role is the common interface of an entry and an agent.
type role interface {
	// run does the background work of the role until ctx ends.
	run(ctx context.Context) error
	// drain rejects new work and returns when all accepted work is finished or ctx ends.
	drain(ctx context.Context) error
	// ready reports whether the role can serve requests.
	ready() bool
	// handlers returns the handlers of all listeners except the one for operators.
	handlers() handlers
	// addOperatorHandlers registers the role's operator calls in the mux.
	addOperatorHandlers(mux *http.ServeMux)
}

// handlers holds one handler for each listener; nil means that the role does not have the listener.
type handlers struct {
	callers, peers, local http.Handler
}

// Run runs the daemon with the given settings until a signal arrives or a part of it fails. It returns nil
// after a complete graceful stop, ErrForced after one that a second signal interrupted, and otherwise the
// error that ended it.
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

// start creates the role and opens its listeners. An agent does not use the store, so st may be nil for it.
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
		p.closeAll()
		return nil, err
	}
	return p, nil
}

// sourceIP returns the source IP address for calls to peers. It is the address of the listener for peers,
// so that a VM with several addresses uses the configured one, or nil if that listens on all addresses.
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

// run serves until a signal arrives or a part of the process fails, and then stops everything.
func (p *process) run(sig signals.Set) error {
	defer p.client.Close()
	workCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, ctx := errgroup.WithContext(workCtx)
	for _, s := range p.servers {
		g.Go(s.Serve)
	}
	g.Go(func() error { return p.role.run(ctx) })
	p.log.Info(event.Started, event.Fields{"role": string(p.settings.Role), "id": p.settings.Node.ID})
	var stopErr error
	select {
	case <-sig.Stop:
		stopErr = p.stop(ctx, sig.Force)
	case <-ctx.Done():
	}
	stopErr = errors.Join(stopErr, p.closeServers(sig.Force))
	cancel()
	if err := g.Wait(); err != nil {
		p.log.Error(event.ComponentFailed, event.Fields{"error": err.Error()})
		return errors.Join(err, stopErr)
	}
	p.log.Info(event.Stopped, nil)
	return stopErr
}

// stop drains the role while its listeners keep serving. The process reports that it is not ready before
// the drain begins, so that the load balancer stops sending callers.
func (p *process) stop(ctx context.Context, force <-chan struct{}) error {
	p.stopping.Store(true)
	drainLimit := p.settings.Limits.DrainLimit
	p.log.Info(event.Stopping, event.Fields{"limit": drainLimit.String()})
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	ctx, cancelWithCause := context.WithCancelCause(ctx)
	defer cancelWithCause(nil)
	go func() {
		select {
		case <-force:
			cancelWithCause(ErrForced)
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

// closeServers shuts down all listeners concurrently. It waits for calls in flight until shutdownTimeout or
// until force is closed.
func (p *process) closeServers(force <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	go func() {
		select {
		case <-force:
			cancel()
		case <-ctx.Done():
		}
	}()
	var g errgroup.Group
	for _, s := range p.servers {
		g.Go(func() error {
			// Operators' watches and idle connections may outlast the timeout; they are closed then.
			if err := s.Shutdown(ctx); err != nil && ctx.Err() == nil {
				return err
			}
			return nil
		})
	}
	return g.Wait()
}
