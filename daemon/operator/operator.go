// Package operator serves the operators' calls of an entry.
package operator

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
	"poplargw.example/daemon/event"
)

const (
	// forceLimit is how long Apply waits for entries and agents to confirm an accepted change. It is
	// the time in which a change has to be in force everywhere.
	forceLimit = 3 * time.Second
	forcePoll  = 50 * time.Millisecond
	// maxRequest is above the largest configuration that the store holds (1 MiB).
	maxRequest = 2 << 20
)

// Cluster is the part of the cluster that operators use.
type Cluster interface {
	Config() *poplargwv1.ConfigRecord
	Apply(context.Context, *poplargwv1.ApplyRequest) (*poplargwv1.ApplyResponse, error)
	FillStatus(*poplargwv1.GetStatusResponse)
}

// StatusSource describes what an entry knows of agents, backend servers and queues.
type StatusSource interface {
	Status() *poplargwv1.GetStatusResponse
	Objectives() *poplargwv1.GetObjectivesResponse
}

// Options are the parts that the handler needs.
type Options struct {
	Cluster Cluster
	Entry   StatusSource
	Log     *event.Logger
	Metrics *metrics.Set
}

type service struct {
	o       Options
	applied func(state string) *metrics.Counter
}

// New returns the handler of the Operator service.
func New(o Options) http.Handler {
	set := o.Metrics
	if set == nil {
		set = metrics.NewSet()
	}
	s := &service{o: o, applied: func(state string) *metrics.Counter {
		return set.GetOrCreateCounter(`poplargw_config_changes_total{state="` + state + `"}`)
	}}
	_, h := poplargwv1connect.NewOperatorHandler(s, connect.WithReadMaxBytes(maxRequest))
	return h
}

// GetConfig implements the Operator service.
func (s *service) GetConfig(context.Context, *connect.Request[poplargwv1.GetConfigRequest]) (*connect.Response[poplargwv1.GetConfigResponse], error) {
	return connect.NewResponse(&poplargwv1.GetConfigResponse{Record: s.o.Cluster.Config()}), nil
}

// GetStatus implements the Operator service.
func (s *service) GetStatus(context.Context, *connect.Request[poplargwv1.GetStatusRequest]) (*connect.Response[poplargwv1.GetStatusResponse], error) {
	return connect.NewResponse(s.status()), nil
}

// GetObjectives implements the Operator service.
func (s *service) GetObjectives(context.Context, *connect.Request[poplargwv1.GetObjectivesRequest]) (*connect.Response[poplargwv1.GetObjectivesResponse], error) {
	return connect.NewResponse(s.o.Entry.Objectives()), nil
}

// Apply implements the Operator service. After an accepted change it waits until every entry and
// agent has confirmed it, for at most forceLimit, and names those that have not.
func (s *service) Apply(ctx context.Context, r *connect.Request[poplargwv1.ApplyRequest]) (*connect.Response[poplargwv1.ApplyResponse], error) {
	resp, err := s.o.Cluster.Apply(ctx, r.Msg)
	if err != nil {
		return nil, err
	}
	s.applied(resp.GetState().String()).Inc()
	switch resp.GetState() {
	case poplargwv1.ApplyState_APPLY_STATE_ACCEPTED:
		resp.Unconfirmed = s.wait(ctx, resp.GetVersion())
	case poplargwv1.ApplyState_APPLY_STATE_STORED:
		c := NewConfirmation(resp.GetVersion(), nil)
		c.Observe(s.status())
		resp.Unconfirmed = c.Unconfirmed()
	}
	return connect.NewResponse(resp), nil
}

func (s *service) status() *poplargwv1.GetStatusResponse {
	r := s.o.Entry.Status()
	if r == nil {
		r = &poplargwv1.GetStatusResponse{}
	}
	s.o.Cluster.FillStatus(r)
	return r
}

// wait returns the processes that have not confirmed the version when none of those that are heard of
// is left, forceLimit has passed or ctx ends.
func (s *service) wait(ctx context.Context, version uint64) []string {
	ctx, cancel := context.WithTimeout(ctx, forceLimit)
	defer cancel()
	t := time.NewTicker(forcePoll)
	defer t.Stop()
	c := NewConfirmation(version, nil)
	for {
		c.Observe(s.status())
		if !c.Waiting() {
			return c.Unconfirmed()
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return c.Unconfirmed()
		}
	}
}
