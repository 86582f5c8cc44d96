package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"poplargw.example/daemon/event"
	"poplargw.example/daemon/settings"
	"poplargw.example/daemon/signals"
	"poplargw.example/daemon/transport"
)

// fakeRole serves a fixed response to callers. Its drain ends when drained is closed, and its run fails with
// an error that is sent to fail.
type fakeRole struct {
	draining chan struct{}
	drained  chan struct{}
	fail     chan error
}

func newFakeRole() *fakeRole {
	return &fakeRole{draining: make(chan struct{}), drained: make(chan struct{}), fail: make(chan error, 1)}
}

func (r *fakeRole) run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-r.fail:
		return err
	}
}

func (r *fakeRole) drain(ctx context.Context) error {
	close(r.draining)
	select {
	case <-r.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *fakeRole) ready() bool                        { return true }
func (r *fakeRole) addOperatorHandlers(*http.ServeMux) {}

func (r *fakeRole) handlers() handlers {
	return handlers{
		peers:   http.NotFoundHandler(),
		callers: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }),
	}
}

// testProcess is a running process with a fakeRole.
type testProcess struct {
	role        *fakeRole
	process     *process
	stop, force chan struct{}
	result      chan error
}

// startProcess starts a process on free ports with the given drain limit.
func startProcess(t *testing.T, drainLimit time.Duration) *testProcess {
	t.Helper()
	conf, err := devTLS()
	if err != nil {
		t.Fatal(err)
	}
	client, err := transport.NewClient(transport.KindTCP, conf, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	s := settings.Default()
	s.Limits.DrainLimit = drainLimit
	// Port 0 is for tests only; a settings file cannot have it.
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	r := &testProcess{role: newFakeRole(), stop: make(chan struct{}), force: make(chan struct{}), result: make(chan error, 1)}
	r.process = &process{
		role: r.role, settings: &s, client: client, metrics: metrics.NewSet(),
		log: event.New(&log.Logger{Handler: discard.Default}),
	}
	if err := r.process.listen(conf); err != nil {
		t.Fatal(err)
	}
	go func() { r.result <- r.process.run(signals.Set{Stop: r.stop, Force: r.force}) }()
	return r
}

// getText returns the status code and the body of a response, or the error as text. listener is the index
// of the listener in the order peers, callers, operators.
func (r *testProcess) getText(listener int, path string) string {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + r.process.servers[listener].Addr() + path)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return fmt.Sprintf("%d %s", resp.StatusCode, strings.TrimSpace(string(body)))
}

// Indices of listeners for getText.
const (
	callersListener   = 1
	operatorsListener = 2
)

// During a graceful stop the process must report that it is not ready, and must keep its listeners open
// until the accepted work has ended.
func TestStopDrainsBeforeListenersClose(t *testing.T) {
	r := startProcess(t, time.Minute)
	if got := r.getText(operatorsListener, "/readyz"); got != "200 ready" {
		t.Errorf("readiness before the stop: got %s", got)
	}
	close(r.stop)
	<-r.role.draining
	if got := r.getText(operatorsListener, "/readyz"); got != "503 stopping" {
		t.Errorf("readiness during the stop: got %s", got)
	}
	if got := r.getText(operatorsListener, "/healthz"); got != "200 ok" {
		t.Errorf("health during the stop: got %s", got)
	}
	if got := r.getText(callersListener, "/"); got != "200 answer" {
		t.Errorf("call during the stop returned %s", got)
	}
	close(r.role.drained)
	if err := <-r.result; err != nil {
		t.Errorf("graceful stop returned %v", err)
	}
	if got := r.getText(callersListener, "/"); !strings.Contains(got, "refused") {
		t.Errorf("call after the stop returned %s", got)
	}
}

// A second signal must end a process that is still draining.
func TestSecondSignalEndsDrain(t *testing.T) {
	r := startProcess(t, time.Minute)
	close(r.stop)
	<-r.role.draining
	close(r.force)
	if err := <-r.result; !errors.Is(err, ErrForced) {
		t.Errorf("process returned %v", err)
	}
}

// A drain must not take longer than the drain limit.
func TestDrainLimitEndsProcess(t *testing.T) {
	r := startProcess(t, time.Millisecond)
	close(r.stop)
	if err := <-r.result; !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("process returned %v", err)
	}
}

// A process must not keep running after its role has failed, and must return the error.
func TestFailedRoleEndsProcess(t *testing.T) {
	r := startProcess(t, time.Minute)
	errRole := errors.New("fault")
	r.role.fail <- errRole
	if err := <-r.result; !errors.Is(err, errRole) {
		t.Errorf("process returned %v", err)
	}
}

// The metrics must include those of the process and those of the role.
func TestMetricsAreServed(t *testing.T) {
	r := startProcess(t, time.Minute)
	r.process.metrics.NewCounter("poplargw_test_total").Inc()
	got := r.getText(operatorsListener, "/metrics")
	for _, want := range []string{"poplargw_test_total 1", "process_resident_memory_bytes"} {
		if !strings.Contains(got, want) {
			t.Errorf("/metrics does not contain %s", want)
		}
	}
	close(r.role.drained)
	close(r.stop)
	if err := <-r.result; err != nil {
		t.Error(err)
	}
}

// A start must fail if one of the listeners cannot be opened.
func TestListenFailureIsReported(t *testing.T) {
	r := startProcess(t, time.Minute)
	conflicting := *r.process.settings
	conflicting.Role = settings.RoleAgent
	conflicting.Listen = settings.Listen{Peers: "127.0.0.1:0", Local: "127.0.0.1:0", Operators: r.process.servers[operatorsListener].Addr()}
	conf, err := devTLS()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := start(&conflicting, r.process.log, conf, nil); err == nil || !strings.Contains(err.Error(), "operators") {
		t.Errorf("start with an address in use returned %v", err)
	}
	close(r.role.drained)
	close(r.stop)
	<-r.result
}
