package operator

import (
	"context"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
)

// system is a cluster and an entry whose agents confirm a change at a given time.
type system struct {
	state     poplargwv1.ApplyState
	confirmed atomic.Bool
}

func (s *system) Config() *poplargwv1.ConfigRecord { return &poplargwv1.ConfigRecord{Version: 2} }

func (s *system) Apply(context.Context, *poplargwv1.ApplyRequest) (*poplargwv1.ApplyResponse, error) {
	return &poplargwv1.ApplyResponse{State: s.state, Version: 2}, nil
}

func (s *system) FillStatus(r *poplargwv1.GetStatusResponse) {
	r.Entry = "e0"
	r.Entries = []*poplargwv1.EntryStatus{{Id: "e0", ConfigVersion: 2}, {Id: "e1", ConfigVersion: s.version()}}
}

func (s *system) version() uint64 {
	if s.confirmed.Load() {
		return 2
	}
	return 1
}

func (s *system) Status() *poplargwv1.GetStatusResponse {
	return &poplargwv1.GetStatusResponse{Agents: []*poplargwv1.AgentStatus{{Id: "a0", ConfigVersion: s.version()}}}
}

func (s *system) Objectives() *poplargwv1.GetObjectivesResponse {
	return &poplargwv1.GetObjectivesResponse{Entry: "e0"}
}

func serve(t *testing.T, s *system) poplargwv1connect.OperatorClient {
	srv := httptest.NewServer(New(Options{Cluster: s, Entry: s}))
	t.Cleanup(srv.Close)
	return poplargwv1connect.NewOperatorClient(srv.Client(), srv.URL)
}

// Guards against an operator who is told that a change is in force everywhere while an entry
// or agent still works by the old one.
func TestApplyNamesUnconfirmedProcesses(t *testing.T) {
	s := &system{state: poplargwv1.ApplyState_APPLY_STATE_ACCEPTED}
	op := serve(t, s)
	resp, err := op.Apply(t.Context(), connect.NewRequest(&poplargwv1.ApplyRequest{}))
	if err != nil {
		t.Fatal(err)
	}
	if got := resp.Msg.GetUnconfirmed(); !slices.Equal(got, []string{"entry e1", "agent a0"}) {
		t.Fatalf("got %q", got)
	}
	time.AfterFunc(100*time.Millisecond, func() { s.confirmed.Store(true) })
	resp, err = op.Apply(t.Context(), connect.NewRequest(&poplargwv1.ApplyRequest{}))
	if err != nil || len(resp.Msg.GetUnconfirmed()) != 0 {
		t.Fatalf("got %v, %v", resp, err)
	}
}

// Guards against an agent that is lost while it is behind, and so counts as having confirmed.
func TestLostProcessStaysUnconfirmed(t *testing.T) {
	c := NewConfirmation(2, []string{"agent a0"})
	c.Observe(&poplargwv1.GetStatusResponse{Entries: []*poplargwv1.EntryStatus{{Id: "e0", ConfigVersion: 2}}})
	want := []string{"agent a0 (not heard of any more)"}
	if c.Waiting() || !slices.Equal(c.Unconfirmed(), want) {
		t.Fatalf("waiting %v for %q", c.Waiting(), c.Unconfirmed())
	}
}

// Guards against a wait after a change that did not take effect.
func TestConflictIsAnsweredAtOnce(t *testing.T) {
	op := serve(t, &system{state: poplargwv1.ApplyState_APPLY_STATE_CONFLICT})
	begin := time.Now()
	resp, err := op.Apply(t.Context(), connect.NewRequest(&poplargwv1.ApplyRequest{}))
	if err != nil || len(resp.Msg.GetUnconfirmed()) != 0 || time.Since(begin) > forceLimit {
		t.Fatalf("got %v, %v after %v", resp, err, time.Since(begin))
	}
}

// Guards against a status that lacks the part of the entry or of the cluster.
func TestStatusJoinsBothSources(t *testing.T) {
	resp, err := serve(t, &system{}).GetStatus(t.Context(), connect.NewRequest(&poplargwv1.GetStatusRequest{}))
	if err != nil || resp.Msg.GetEntry() != "e0" || len(resp.Msg.GetEntries()) != 2 || len(resp.Msg.GetAgents()) != 1 {
		t.Fatalf("got %v, %v", resp, err)
	}
}
