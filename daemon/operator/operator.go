// Package operator implements the Operator service, the API of an entry for operators.
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
	// confirmTimeout is how long Apply waits for entries and agents to confirm an accepted change. It is
	// the time within which a change must be in force everywhere.
	confirmTimeout = 3 * time.Second
	// confirmPollInterval is the time between two checks for confirmations.
	confirmPollInterval = 50 * time.Millisecond
	// maxRequestBytes is above the largest configuration that the store holds (1 MiB).
	maxRequestBytes = 2 << 20
)

// Cluster is the part of the cluster that the Operator service uses.
type Cluster interface {
	// Config returns the configuration in force.
	Config() *poplargwv1.ConfigRecord
	// Apply changes the configuration.
	Apply(context.Context, *poplargwv1.ApplyRequest) (*poplargwv1.ApplyResponse, error)
	// FillStatus sets the fields of the status that the cluster knows.
	FillStatus(*poplargwv1.GetStatusResponse)
}

// StatusSource reports the agents, backend servers, queues and objectives that an entry knows.
type StatusSource interface {
	// Status returns a new status that the caller may change, or nil.
	Status() *poplargwv1.GetStatusResponse
	// Objectives returns the counters of the objectives.
	Objectives() *poplargwv1.GetObjectivesResponse
}

// Options holds what the handler uses. Metrics may be nil.
type Options struct {
	Cluster Cluster
	Entry   StatusSource
	Log     *event.Logger
	Metrics *metrics.Set
}

type service struct {
	o             Options
	changeCounter func(state string) *metrics.Counter
}

// New returns the HTTP handler of the Operator service.
func New(o Options) http.Handler {
	set := o.Metrics
	if set == nil {
		set = metrics.NewSet()
	}
	s := &service{o: o, changeCounter: func(state string) *metrics.Counter {
		return set.GetOrCreateCounter(`poplargw_config_changes_total{state="` + state + `"}`)
	}}
	_, h := poplargwv1connect.NewOperatorHandler(s, connect.WithReadMaxBytes(maxRequestBytes))
	return h
}

// GetConfig returns the configuration in force.
func (s *service) GetConfig(context.Context, *connect.Request[poplargwv1.GetConfigRequest]) (*connect.Response[poplargwv1.GetConfigResponse], error) {
	return connect.NewResponse(&poplargwv1.GetConfigResponse{Record: s.o.Cluster.Config()}), nil
}

// GetStatus returns the status of the entry and the cluster.
func (s *service) GetStatus(context.Context, *connect.Request[poplargwv1.GetStatusRequest]) (*connect.Response[poplargwv1.GetStatusResponse], error) {
	return connect.NewResponse(s.status()), nil
}

// GetObjectives returns the counters of the objectives of the entry.
func (s *service) GetObjectives(context.Context, *connect.Request[poplargwv1.GetObjectivesRequest]) (*connect.Response[poplargwv1.GetObjectivesResponse], error) {
	return connect.NewResponse(s.o.Entry.Objectives()), nil
}

// Apply changes the configuration. After an accepted change it waits until every entry and agent has
// confirmed it, for at most confirmTimeout, and returns those that have not. It does not wait for lost ones.
func (s *service) Apply(ctx context.Context, r *connect.Request[poplargwv1.ApplyRequest]) (*connect.Response[poplargwv1.ApplyResponse], error) {
	resp, err := s.o.Cluster.Apply(ctx, r.Msg)
	if err != nil {
		return nil, err
	}
	s.changeCounter(resp.GetState().String()).Inc()
	switch resp.GetState() {
	case poplargwv1.ApplyState_APPLY_STATE_ACCEPTED:
		resp.Unconfirmed = s.waitForConfirmation(ctx, resp.GetVersion())
	case poplargwv1.ApplyState_APPLY_STATE_STORED:
		c := NewConfirmation(resp.GetVersion(), nil)
		c.Observe(s.status())
		resp.Unconfirmed = c.Unconfirmed()
	}
	return connect.NewResponse(resp), nil
}

// status combines the status of the entry with that of the cluster.
func (s *service) status() *poplargwv1.GetStatusResponse {
	r := s.o.Entry.Status()
	if r == nil {
		r = &poplargwv1.GetStatusResponse{}
	}
	s.o.Cluster.FillStatus(r)
	return r
}

// waitForConfirmation waits until every process in the status has confirmed the version, confirmTimeout
// has passed or ctx ends. It returns the processes that have not confirmed the version.
func (s *service) waitForConfirmation(ctx context.Context, version uint64) []string {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	t := time.NewTicker(confirmPollInterval)
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
