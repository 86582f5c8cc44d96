package sample

import (
	"context"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"

	apiv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
)

// startServer runs a sample server without an agent. It returns a client and the path of the start log.
func startServer(t *testing.T, faults Faults) (poplargwv1connect.BackendServerClient, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "starts")
	s, err := New(Options{Name: "s", Service: "svc", Kinds: []string{"k"}, Slots: 1, Connections: 8,
		Listen: "127.0.0.1:0", Agent: "127.0.0.1:1", StartLog: path, Faults: faults})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return poplargwv1connect.NewBackendServerClient(http.DefaultClient, "http://"+s.Address()), path
}

// runRequest returns a request for a task that must start within the given time.
func runRequest(index uint32, payload string, within time.Duration) *connect.Request[apiv1.RunRequest] {
	return connect.NewRequest(&apiv1.RunRequest{Caller: "c", SubmissionId: make([]byte, 16), TaskIndex: index,
		Payload: []byte(payload), StartBeforeUnixMs: time.Now().Add(within).UnixMilli()})
}

// TestSlots guards against a sample server that runs more tasks at a time than it has
// slots, starts one too late, or records a start that did not happen. Other tests use
// the start log to count tasks that started twice.
func TestSlots(t *testing.T) {
	c, path := startServer(t, Faults{})
	first := make(chan error, 1)
	go func() {
		_, err := c.Run(context.Background(), runRequest(0, `{"ms":400}`, time.Minute))
		first <- err
	}()
	for starts, _ := ReadStarts(path); len(starts) == 0; starts, _ = ReadStarts(path) {
		time.Sleep(time.Millisecond)
	}
	if _, err := c.Run(context.Background(), runRequest(1, "", 20*time.Millisecond)); connect.CodeOf(err) != connect.CodeFailedPrecondition {
		t.Errorf("a task that found no slot in time ended with %v", err)
	}
	if err := <-first; err != nil {
		t.Error(err)
	}
	if starts, err := ReadStarts(path); err != nil || len(starts) != 1 || starts[0].TaskIndex != 0 {
		t.Errorf("starts %v, error %v", starts, err)
	}
}

// TestAnswersAndFaults guards against an answer that passes the check for another
// task, and against faults that have no effect.
func TestAnswersAndFaults(t *testing.T) {
	c, _ := startServer(t, Faults{Instant: true})
	r := runRequest(3, `{"ms":100000,"echo":"x"}`, time.Minute)
	res, err := c.Run(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	m, answer := r.Msg, res.Msg.GetPayload()
	if err := CheckAnswer(m.Caller, m.SubmissionId, 3, m.Payload, answer); err != nil {
		t.Error(err)
	}
	if CheckAnswer(m.Caller, m.SubmissionId, 4, m.Payload, answer) == nil || CheckAnswer("d", m.SubmissionId, 3, m.Payload, answer) == nil ||
		CheckAnswer(m.Caller, m.SubmissionId, 3, nil, answer) == nil || CheckAnswer(m.Caller, m.SubmissionId, 3, m.Payload, nil) == nil {
		t.Error("the answer passes for another task")
	}
	failing, path := startServer(t, Faults{FailAll: true})
	if _, err := failing.Run(context.Background(), runRequest(0, "", time.Minute)); connect.CodeOf(err) != connect.CodeInternal {
		t.Errorf("fail-all ended with %v", err)
	}
	if starts, err := ReadStarts(path); err != nil || len(starts) != 1 {
		t.Errorf("starts %v, error %v", starts, err)
	}
	hanging, _ := startServer(t, Faults{Hang: true})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := hanging.Run(ctx, runRequest(0, "", time.Minute)); connect.CodeOf(err) != connect.CodeDeadlineExceeded {
		t.Errorf("hang ended with %v", err)
	}
}
