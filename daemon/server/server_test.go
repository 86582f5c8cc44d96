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

// fakeRole answers on its caller listener and drains when told to.
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

func (r *fakeRole) ready() bool              { return true }
func (r *fakeRole) operators(*http.ServeMux) {}

func (r *fakeRole) handlers() handlers {
	return handlers{
		peers:   http.NotFoundHandler(),
		callers: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }),
	}
}

// running is a process under test.
type running struct {
	role       *fakeRole
	process    *process
	stop, kill chan struct{}
	result     chan error
}

func startProcess(t *testing.T, drainLimit time.Duration) *running {
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
	r := &running{role: newFakeRole(), stop: make(chan struct{}), kill: make(chan struct{}), result: make(chan error, 1)}
	r.process = &process{
		role: r.role, settings: &s, client: client, metrics: metrics.NewSet(),
		log: event.New(&log.Logger{Handler: discard.Default}),
	}
	if err := r.process.listen(conf); err != nil {
		t.Fatal(err)
	}
	go func() { r.result <- r.process.run(signals.Set{Stop: r.stop, Kill: r.kill}) }()
	return r
}

// get returns status and body; listener is the index in the order peers, callers, operators.
func (r *running) get(listener int, path string) string {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + r.process.servers[listener].Addr() + path)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return fmt.Sprintf("%d %s", resp.StatusCode, strings.TrimSpace(string(body)))
}

const (
	callers   = 1
	operators = 2
)

// Guards against a graceful stop that stays ready, or that closes listeners before the work that
// was accepted has ended.
func TestStopDrainsBeforeListenersClose(t *testing.T) {
	r := startProcess(t, time.Minute)
	if got := r.get(operators, "/readyz"); got != "200 ready" {
		t.Errorf("readiness before the stop is %s", got)
	}
	close(r.stop)
	<-r.role.draining
	if got := r.get(operators, "/readyz"); got != "503 stopping" {
		t.Errorf("readiness during the stop is %s", got)
	}
	if got := r.get(operators, "/healthz"); got != "200 ok" {
		t.Errorf("health during the stop is %s", got)
	}
	if got := r.get(callers, "/"); got != "200 answer" {
		t.Errorf("call during the stop returned %s", got)
	}
	close(r.role.drained)
	if err := <-r.result; err != nil {
		t.Errorf("graceful stop returned %v", err)
	}
	if got := r.get(callers, "/"); !strings.Contains(got, "refused") {
		t.Errorf("call after the stop returned %s", got)
	}
}

// Guards against a process that a second signal cannot end.
func TestSecondSignalEndsDrain(t *testing.T) {
	r := startProcess(t, time.Minute)
	close(r.stop)
	<-r.role.draining
	close(r.kill)
	if err := <-r.result; !errors.Is(err, ErrForced) {
		t.Errorf("process returned %v", err)
	}
}

// Guards against a drain that goes on for ever.
func TestDrainLimitEndsProcess(t *testing.T) {
	r := startProcess(t, time.Millisecond)
	close(r.stop)
	if err := <-r.result; !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("process returned %v", err)
	}
}

// Guards against a process that goes on half alive, or exits without an error, after a part of
// it failed.
func TestFailedDutyEndsProcess(t *testing.T) {
	r := startProcess(t, time.Minute)
	fault := errors.New("fault")
	r.role.fail <- fault
	if err := <-r.result; !errors.Is(err, fault) {
		t.Errorf("process returned %v", err)
	}
}

// Guards against metrics that leave out the process or the role.
func TestMetricsAreServed(t *testing.T) {
	r := startProcess(t, time.Minute)
	r.process.metrics.NewCounter("poplargw_test_total").Inc()
	got := r.get(operators, "/metrics")
	for _, want := range []string{"poplargw_test_total 1", "process_resident_memory_bytes"} {
		if !strings.Contains(got, want) {
			t.Errorf("%s is missing in /metrics", want)
		}
	}
	close(r.role.drained)
	close(r.stop)
	if err := <-r.result; err != nil {
		t.Error(err)
	}
}

// Guards against a start that goes on without one of its listeners.
func TestListenFailureIsReported(t *testing.T) {
	r := startProcess(t, time.Minute)
	second := *r.process.settings
	second.Role = settings.RoleAgent
	second.Listen = settings.Listen{Peers: "127.0.0.1:0", Local: "127.0.0.1:0", Operators: r.process.servers[operators].Addr()}
	conf, err := devTLS()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := start(&second, r.process.log, conf, nil); err == nil || !strings.Contains(err.Error(), "operators") {
		t.Errorf("start with an address in use returned %v", err)
	}
	close(r.role.drained)
	close(r.stop)
	<-r.result
}
