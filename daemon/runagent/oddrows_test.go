package runagent

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/runtable"
)

// Guards against an end that cannot be read and is lost without a trace, and against thousands of polls a second while
// it cannot be acknowledged: the backend server then answers each poll at once.
func TestUnreadableEndIsReportedAndPolledSlowly(t *testing.T) {
	handler := memory.New()
	set := metrics.NewSet()
	s := &scriptedBackend{steps: []func(context.Context, PollRequest) (runtable.Snapshot, error){
		func(context.Context, PollRequest) (runtable.Snapshot, error) {
			return runtable.Snapshot{Incarnation: 1, ClockMS: time.Now().UnixMilli(), UnreadableEnds: 1}, nil
		},
	}}
	a := New(Options{Backend: s, Limits: pollerLimits, Log: event.New(&log.Logger{Handler: handler, Level: log.InfoLevel}), Metrics: set})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	newPoller(a).run(ctx)
	if s.polls < 2 || s.polls > 31 {
		t.Errorf("%d polls in 0.3 s", s.polls)
	}
	lines := 0
	for _, e := range handler.Entries {
		if e.Message == event.Text(event.RowsUnreadable) {
			lines++
		}
	}
	if n := a.counters.unreadableEnds.Get(); lines != 1 || n < 2 {
		t.Errorf("%d lines, %d rows counted", lines, n)
	}
}
