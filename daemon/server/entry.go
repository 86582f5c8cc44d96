package server

import (
	"context"
	"net/http"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"poplargw.example/daemon/cluster"
	"poplargw.example/daemon/entry"
	"poplargw.example/daemon/operator"
	"poplargw.example/store"
)

// entryRole implements role for an entry, with its view of the cluster and its operator calls.
type entryRole struct {
	cluster  *cluster.Cluster
	entry    *entry.Entry
	operator http.Handler
}

func newEntry(p *process, s store.Store) role {
	incarnation := uuid.NewString()
	c := cluster.New(cluster.Options{
		Settings: p.settings, Incarnation: incarnation, Store: s,
		Client: p.client, Log: p.log, Metrics: p.metrics,
	})
	e := entry.New(entry.Options{
		Settings: p.settings, Incarnation: incarnation, Cluster: c,
		Client: p.client, Log: p.log, Metrics: p.metrics,
	})
	o := operator.New(operator.Options{Cluster: c, Entry: e, Log: p.log, Metrics: p.metrics})
	return entryRole{cluster: c, entry: e, operator: o}
}

func (r entryRole) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.cluster.Run(ctx) })
	g.Go(func() error { return r.entry.Run(ctx) })
	return g.Wait()
}

func (r entryRole) drain(ctx context.Context) error { return r.entry.Drain(ctx) }
func (r entryRole) ready() bool                     { return r.entry.Ready() }

func (r entryRole) handlers() handlers {
	return handlers{callers: r.entry.CallerHandler(), peers: r.entry.PeerHandler()}
}

func (r entryRole) addOperatorHandlers(mux *http.ServeMux) {
	mux.Handle("/poplargw.v1.Operator/", r.operator)
}
