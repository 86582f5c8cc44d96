package agent

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	apiv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
	"poplargw.example/daemon/nettest"
	"poplargw.example/daemon/sample"
	"poplargw.example/dispatch/result"
)

func containsField(err error, field string) bool { return strings.Contains(err.Error(), field) }

// fakeBackend is a backend server that calls run for each task.
type fakeBackend struct {
	run func(ctx context.Context, m *apiv1.RunRequest) ([]byte, error)
}

func (b fakeBackend) Run(ctx context.Context, req *connect.Request[apiv1.RunRequest]) (*connect.Response[apiv1.RunResponse], error) {
	payload, err := b.run(ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&apiv1.RunResponse{Payload: payload}), nil
}

// runTask runs a task on the backend server at address and returns its failure, if any.
func runTask(address string, limit time.Duration) *result.Failure {
	b := newBackend("i", address, 4)
	defer b.close()
	return b.run(context.Background(), &apiv1.RunRequest{StartBeforeUnixMs: time.Now().Add(time.Minute).UnixMilli()}, limit).Failure
}

// notStarted returns the error of a backend server that has not started a task for the given reason.
func notStarted(t *testing.T, reason apiv1.NotStartedReason) error {
	t.Helper()
	detail, err := connect.NewErrorDetail(&apiv1.TaskNotStarted{Reason: reason})
	if err != nil {
		t.Fatal(err)
	}
	out := connect.NewError(connect.CodeFailedPrecondition, errors.New("not started"))
	out.AddDetail(detail)
	return out
}

// TestClassifyError guards against a wrong effect: "not run" for a task that may have
// started, or the reverse.
func TestClassifyError(t *testing.T) {
	answer := func(err error) http.Handler {
		return newMux(poplargwv1connect.NewBackendServerHandler(fakeBackend{func(context.Context, *apiv1.RunRequest) ([]byte, error) {
			return nil, err
		}}))
	}
	tests := []struct {
		name   string
		h      http.Handler
		limit  time.Duration
		code   result.Code
		effect result.Effect
	}{
		{"late", answer(notStarted(t, apiv1.NotStartedReason_NOT_STARTED_REASON_TOO_LATE)), waitTimeout, result.StartTooLate, result.NotRun},
		{"no reason", answer(notStarted(t, apiv1.NotStartedReason_NOT_STARTED_REASON_UNSPECIFIED)), waitTimeout, result.TaskFailed, result.Run},
		{"text with \"late\"", answer(connect.NewError(connect.CodeFailedPrecondition, errors.New("template not found"))), waitTimeout, result.TaskFailed, result.Run},
		{"precondition of the task itself", answer(connect.NewError(connect.CodeFailedPrecondition, errors.New("no mould"))), waitTimeout, result.TaskFailed, result.Run},
		{"error", answer(connect.NewError(connect.CodeInternal, errors.New("broken"))), waitTimeout, result.TaskFailed, result.Run},
		{"unavailable as an answer", answer(connect.NewError(connect.CodeUnavailable, errors.New("broken"))), waitTimeout, result.TaskFailed, result.Run},
		{"time limit", newMux(poplargwv1connect.NewBackendServerHandler(fakeBackend{func(ctx context.Context, _ *apiv1.RunRequest) ([]byte, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}})), 30 * time.Millisecond, result.TimeLimit, result.Run},
		{"time limit detected by the server first", answer(connect.NewError(connect.CodeDeadlineExceeded, nil)), waitTimeout, result.TimeLimit, result.Run},
		{"connection lost", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), waitTimeout, result.ServerLost, result.Unknown},
		{"too large", newMux(poplargwv1connect.NewBackendServerHandler(fakeBackend{func(context.Context, *apiv1.RunRequest) ([]byte, error) {
			return make([]byte, 2*maxPayloadBytes), nil
		}})), waitTimeout, result.TaskFailed, result.Run},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			srv := httptest.NewServer(tt.h)
			defer srv.Close()
			f := runTask(srv.Listener.Addr().String(), tt.limit)
			if f == nil || f.Code != tt.code || f.Effect != tt.effect {
				t.Fatalf("got %+v", f)
			}
		})
	}
}

// TestRunIsSentOnce guards against a task that net/http or a redirect sends a second
// time. The first run makes the connection a reused one, because net/http retries
// requests that it considers idempotent only on reused connections.
func TestRunIsSentOnce(t *testing.T) {
	var requests atomic.Int32
	closeConnection := func(w http.ResponseWriter) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		c.Close()
	}
	redirect := func(w http.ResponseWriter) {
		w.Header().Set("Location", "/poplargw.v1.BackendServer/Run")
		w.WriteHeader(http.StatusTemporaryRedirect)
	}
	for name, fault := range map[string]func(http.ResponseWriter){"connection lost": closeConnection, "redirect": redirect} {
		t.Run(name, func(t *testing.T) {
			requests.Store(0)
			good := newMux(poplargwv1connect.NewBackendServerHandler(fakeBackend{func(context.Context, *apiv1.RunRequest) ([]byte, error) {
				return nil, nil
			}}))
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if requests.Add(1) == 1 {
					good.ServeHTTP(w, r)
					return
				}
				fault(w)
			}))
			defer srv.Close()
			b := newBackend("i", srv.Listener.Addr().String(), 1)
			defer b.close()
			m := &apiv1.RunRequest{StartBeforeUnixMs: time.Now().Add(time.Minute).UnixMilli()}
			if o := b.run(context.Background(), m, waitTimeout); o.Failure != nil {
				t.Fatal(o.Failure)
			}
			if o := b.run(context.Background(), m, waitTimeout); o.Failure == nil || o.Failure.Effect == result.NotRun {
				t.Fatalf("outcome %+v", o)
			}
			if n := requests.Load(); n != 2 {
				t.Fatalf("%d requests arrived for two runs", n)
			}
		})
	}
}

// TestRefusedConnectionFreesSlot guards against a "not run" outcome that leaves a
// start record behind or a slot taken.
func TestRefusedConnectionFreesSlot(t *testing.T) {
	f := newFixture(t)
	closed := nettest.FreeAddr(t, "127.0.0.1")
	announce := &apiv1.AnnounceRequest{Server: "s", Instance: "old", Service: "svc", Kinds: []string{"quick"}, Slots: 1, Connections: 1, Address: closed}
	if _, err := f.local.Announce(context.Background(), connect.NewRequest(announce)); err != nil {
		t.Fatal(err)
	}
	f.waitUntilReady(1)
	m := f.newRequest("")
	r := f.start(m)
	f.mustFail(r, result.UnknownServer, result.NotRun)
	if s := f.agent.Status(); r.GetFreeSlots() != 1 || s.Records != 0 {
		t.Fatalf("reply %v, status %+v", r, s)
	}
	f.startSampleServer(sample.Faults{})
	f.waitFor("the new instance", func() bool { return f.agent.Status().Servers[0].Address != closed })
	m.Token = r.GetToken()
	f.mustSucceed(m, f.start(m))
	f.mustHaveStarted(1)
}

// TestLateStart guards against a task that starts long after its grant because the
// agent or the backend server was suspended in between.
func TestLateStart(t *testing.T) {
	f := newFixture(t)
	s, _ := f.startSampleServer(sample.Faults{})
	c := poplargwv1connect.NewBackendServerClient(http.DefaultClient, "http://"+s.Address())
	_, err := c.Run(context.Background(), connect.NewRequest(&apiv1.RunRequest{StartBeforeUnixMs: time.Now().Add(-time.Second).UnixMilli()}))
	if connect.CodeOf(err) != connect.CodeFailedPrecondition {
		t.Fatalf("the backend server answered %v", err)
	}
	var requests atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	defer srv.Close()
	b := newBackend("i", srv.Listener.Addr().String(), 1)
	defer b.close()
	o := b.run(context.Background(), &apiv1.RunRequest{StartBeforeUnixMs: time.Now().Add(-time.Second).UnixMilli()}, waitTimeout)
	if requests.Load() != 0 {
		t.Error("the agent sent a task after its latest start time")
	}
	if o.Failure == nil || o.Failure.Code != result.StartTooLate || o.Failure.Effect != result.NotRun {
		t.Fatalf("outcome %+v", o)
	}
	f.mustHaveStarted(0)
}
