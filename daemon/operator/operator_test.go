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

// fakeSystem is a cluster and an entry. Entry e1 and agent a0 confirm the change once confirmed is set.
type fakeSystem struct {
	state     poplargwv1.ApplyState
	confirmed atomic.Bool
}

func (s *fakeSystem) Config() *poplargwv1.ConfigRecord { return &poplargwv1.ConfigRecord{Version: 2} }

func (s *fakeSystem) Apply(context.Context, *poplargwv1.ApplyRequest) (*poplargwv1.ApplyResponse, error) {
	return &poplargwv1.ApplyResponse{State: s.state, Version: 2}, nil
}

func (s *fakeSystem) FillStatus(r *poplargwv1.GetStatusResponse) {
	r.Entry = "e0"
	r.Entries = []*poplargwv1.EntryStatus{{Id: "e0", ConfigVersion: 2}, {Id: "e1", ConfigVersion: s.version()}}
}

func (s *fakeSystem) version() uint64 {
	if s.confirmed.Load() {
		return 2
	}
	return 1
}

func (s *fakeSystem) Status() *poplargwv1.GetStatusResponse {
	return &poplargwv1.GetStatusResponse{Agents: []*poplargwv1.AgentStatus{{Id: "a0", ConfigVersion: s.version()}}}
}

func (s *fakeSystem) Objectives() *poplargwv1.GetObjectivesResponse {
	return &poplargwv1.GetObjectivesResponse{Entry: "e0"}
}

func newClient(t *testing.T, s *fakeSystem) poplargwv1connect.OperatorClient {
	srv := httptest.NewServer(New(Options{Cluster: s, Entry: s}))
	t.Cleanup(srv.Close)
	return poplargwv1connect.NewOperatorClient(srv.Client(), srv.URL)
}

// Guards against reporting a change as in force everywhere while an entry or agent
// still uses the old configuration.
func TestApplyNamesUnconfirmedProcesses(t *testing.T) {
	s := &fakeSystem{state: poplargwv1.ApplyState_APPLY_STATE_ACCEPTED}
	op := newClient(t, s)
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

// Guards against an agent that is lost before it confirmed the version and then counts as confirmed.
func TestLostProcessStaysUnconfirmed(t *testing.T) {
	c := NewConfirmation(2, []string{"agent a0"})
	c.Observe(&poplargwv1.GetStatusResponse{Entries: []*poplargwv1.EntryStatus{{Id: "e0", ConfigVersion: 2}}})
	want := []string{"agent a0 (not heard of any more)"}
	if c.Waiting() || !slices.Equal(c.Unconfirmed(), want) {
		t.Fatalf("waiting %v for %q", c.Waiting(), c.Unconfirmed())
	}
}

// Guards against waiting for confirmations of a change that did not take effect.
func TestConflictIsAnsweredWithoutWait(t *testing.T) {
	op := newClient(t, &fakeSystem{state: poplargwv1.ApplyState_APPLY_STATE_CONFLICT})
	begin := time.Now()
	resp, err := op.Apply(t.Context(), connect.NewRequest(&poplargwv1.ApplyRequest{}))
	if err != nil || len(resp.Msg.GetUnconfirmed()) != 0 || time.Since(begin) > confirmTimeout {
		t.Fatalf("got %v, %v after %v", resp, err, time.Since(begin))
	}
}

// Guards against a status that lacks the fields from the entry or those from the cluster.
func TestStatusCombinesBothSources(t *testing.T) {
	resp, err := newClient(t, &fakeSystem{}).GetStatus(t.Context(), connect.NewRequest(&poplargwv1.GetStatusRequest{}))
	if err != nil || resp.Msg.GetEntry() != "e0" || len(resp.Msg.GetEntries()) != 2 || len(resp.Msg.GetAgents()) != 1 {
		t.Fatalf("got %v, %v", resp, err)
	}
}
