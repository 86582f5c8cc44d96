package client

import (
	"context"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
)

// fakeEntry answers each SubmitJob call with the next error of errs and, once none is left, with an
// empty response. It records the submission IDs in ids.
type fakeEntry struct {
	poplargwv1connect.UnimplementedDispatcherHandler
	mu   sync.Mutex
	errs []error
	ids  [][]byte
}

func (f *fakeEntry) SubmitJob(_ context.Context, r *connect.Request[poplargwv1.SubmitJobRequest]) (*connect.Response[poplargwv1.SubmitJobResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ids = append(f.ids, r.Msg.GetSubmissionId())
	if len(f.errs) > 0 {
		err := f.errs[0]
		f.errs = f.errs[1:]
		return nil, err
	}
	return connect.NewResponse(&poplargwv1.SubmitJobResponse{}), nil
}

// failureError returns a Connect error with f among its details, as the service does.
func failureError(t *testing.T, f *poplargwv1.Failure) error {
	t.Helper()
	d, err := connect.NewErrorDetail(f)
	if err != nil {
		t.Fatal(err)
	}
	e := connect.NewError(connect.CodeUnavailable, nil)
	e.AddDetail(d)
	return e
}

// newClient returns a client of a test server that serves f.
func newClient(t *testing.T, f *fakeEntry) *Client {
	t.Helper()
	_, h := poplargwv1connect.NewDispatcherHandler(f)
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	c, err := New(Options{URLs: []string{s.URL}})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against a resend under a new ID, which would run the job a second time.
func TestResendReusesSubmissionID(t *testing.T) {
	f := &fakeEntry{errs: []error{
		connect.NewError(connect.CodeUnavailable, nil),
		failureError(t, &poplargwv1.Failure{Code: 2001, Effect: poplargwv1.Effect_EFFECT_NOT_RUN, RetryAfter: durationpb.New(time.Millisecond)}),
	}}
	if _, err := newClient(t, f).Submit(context.Background(), &poplargwv1.SubmitJobRequest{Caller: "c"}); err != nil {
		t.Fatal(err)
	}
	if len(f.ids) != 3 || !slices.Equal(f.ids[0], f.ids[1]) || !slices.Equal(f.ids[0], f.ids[2]) {
		t.Fatalf("submission IDs of the sends: %x; want 3 equal IDs", f.ids)
	}
}

// Guards against resending a submission after a failure without a retry delay, which is final.
func TestFinalFailureIsNotResent(t *testing.T) {
	f := &fakeEntry{errs: []error{failureError(t, &poplargwv1.Failure{Code: 3007, Effect: poplargwv1.Effect_EFFECT_UNKNOWN})}}
	_, err := newClient(t, f).Submit(context.Background(), &poplargwv1.SubmitJobRequest{Caller: "c"})
	if got, ok := FailureOf(err); !ok || got.GetCode() != 3007 || len(f.ids) != 1 {
		t.Fatalf("failure %v after %d sends, want code 3007 after 1", got, len(f.ids))
	}
}

// Guards against reporting EFFECT_NOT_RUN when an earlier send ended in a transport error, and so
// may have run tasks, and only the later send was refused.
func TestLaterRefusalKeepsUnknownEffect(t *testing.T) {
	f := &fakeEntry{errs: []error{
		connect.NewError(connect.CodeUnavailable, nil),
		failureError(t, &poplargwv1.Failure{Code: 1003, Effect: poplargwv1.Effect_EFFECT_NOT_RUN}),
	}}
	_, err := newClient(t, f).Submit(context.Background(), &poplargwv1.SubmitJobRequest{Caller: "c"})
	if got, _ := FailureOf(err); got.GetEffect() != poplargwv1.Effect_EFFECT_UNKNOWN {
		t.Fatalf("failure %v, want EFFECT_UNKNOWN", got)
	}
}

// Guards against resending when the retry delay would end after the timeout of the job.
func TestNoResendAfterTimeout(t *testing.T) {
	f := &fakeEntry{errs: []error{failureError(t, &poplargwv1.Failure{
		Code: 2004, Effect: poplargwv1.Effect_EFFECT_NOT_RUN, RetryAfter: durationpb.New(time.Hour)})}}
	_, err := newClient(t, f).Submit(context.Background(), &poplargwv1.SubmitJobRequest{Caller: "c"})
	if got, ok := FailureOf(err); !ok || got.GetCode() != 2004 || len(f.ids) != 1 {
		t.Fatalf("failure %v after %d sends, want code 2004 after 1", got, len(f.ids))
	}
}
