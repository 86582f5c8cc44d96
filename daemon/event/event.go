// Package event logs numbered events with fixed texts. docs/events.md lists them; a test checks that the list
// matches the code.
package event

import (
	"io"
	"time"

	"github.com/apex/log"
)

// ID is the stable number of an event. The number of a removed event is never reused.
type ID int

// Fields holds the fields of one event by name.
type Fields = log.Fields

// Logger logs numbered events. The zero value is not usable; use New, NewBounded or Open.
type Logger struct {
	log     log.Interface
	output  *AsyncWriter
	limit   rateLimiter
	tracing bool // log every step of every run
}

// New returns a logger that writes through l.
func New(l log.Interface) *Logger { return &Logger{log: l} }

// NewBounded returns a logger for a process under load. It writes JSON lines of level info and above to
// out in the background, never blocks, and leaves lines out when out does not keep up. ReportLeftOut
// logs how many. With tracing, it also writes the events of Trace and does not limit those of
// InfoLimited. Close ends it.
func NewBounded(out io.Writer, tracing bool) (*Logger, error) {
	queued := maxQueuedLines
	if tracing {
		queued = maxQueuedTraceLines
	}
	writer := newAsyncWriter(out, queued)
	l, err := open("info", FormatJSON, writer)
	if err != nil {
		return nil, err
	}
	l.output = writer
	l.tracing = tracing
	return l, nil
}

// Info logs an event of normal operation.
func (l *Logger) Info(id ID, f Fields) { l.entry(id, f).Info(Text(id)) }

// InfoLimited logs an event of normal operation that may occur very often. Events above maxLinesPerSecond are
// left out.
func (l *Logger) InfoLimited(id ID, f Fields) {
	if l.tracing || l.limit.allow(time.Now()) {
		l.Info(id, f)
	}
}

// Trace logs one step of a run or a job, if the logger was made with tracing.
func (l *Logger) Trace(id ID, f Fields) {
	if l.tracing {
		l.Info(id, f)
	}
}

// Tracing reports whether Trace logs its events, so that callers can avoid the cost of their fields.
func (l *Logger) Tracing() bool { return l.tracing }

// ReportLeftOut logs how many lines were left out since the last call, if any.
func (l *Logger) ReportLeftOut() {
	n := l.limit.takeSkipped()
	if l.output != nil {
		n += l.output.TakeLeftOut()
	}
	if n > 0 {
		l.Info(LinesLeftOut, Fields{"lines": n})
	}
}

// Close waits for the queued lines of a logger made by NewBounded, for at most closeTimeout, and ends it.
// Other loggers need no Close.
func (l *Logger) Close() {
	if l.output != nil {
		l.output.Close()
	}
}

// Warn logs an event that an operator may have to investigate.
func (l *Logger) Warn(id ID, f Fields) { l.entry(id, f).Warn(Text(id)) }

// Error logs an event that requires action by an operator.
func (l *Logger) Error(id ID, f Fields) { l.entry(id, f).Error(Text(id)) }

func (l *Logger) entry(id ID, f Fields) *log.Entry {
	return l.log.WithFields(f).WithField("event", int(id))
}
