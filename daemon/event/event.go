// Package event logs numbered events. docs/events.md lists them; a test keeps both in step.
package event

import (
	"io"
	"time"

	"github.com/apex/log"
)

// ID is the stable number of an event. A number is never reused.
type ID int

// Fields are the fields of one event.
type Fields = log.Fields

// Logger logs numbered events. The zero value is not usable; see New.
type Logger struct {
	log    log.Interface
	output *Async
	limit  limiter
}

// New returns a logger that writes through l.
func New(l log.Interface) *Logger { return &Logger{log: l} }

// NewBounded returns a logger for a process under load: it writes JSON in the background, never
// blocks, and leaves lines out when there are too many. ReportLeftOut says how many. Close ends it.
func NewBounded(out io.Writer) (*Logger, error) {
	async := NewAsync(out)
	l, err := open("info", FormatJSON, async)
	if err != nil {
		return nil, err
	}
	l.output = async
	return l, nil
}

// Info logs an event of normal operation.
func (l *Logger) Info(id ID, f Fields) { l.entry(id, f).Info(Text(id)) }

// Sample logs an event of normal operation that may come very often; under load some are left out.
func (l *Logger) Sample(id ID, f Fields) {
	if l.limit.allow(time.Now()) {
		l.Info(id, f)
	}
}

// ReportLeftOut logs how many lines were left out since the last call, if any.
func (l *Logger) ReportLeftOut() {
	n := l.limit.takeSkipped()
	if l.output != nil {
		n += l.output.LeftOut()
	}
	if n > 0 {
		l.Info(LinesLeftOut, Fields{"lines": n})
	}
}

// Close writes the lines that wait.
func (l *Logger) Close() {
	if l.output != nil {
		l.output.Close()
	}
}

// Warn logs an event that an operator may have to look at.
func (l *Logger) Warn(id ID, f Fields) { l.entry(id, f).Warn(Text(id)) }

// Error logs an event that needs an operator.
func (l *Logger) Error(id ID, f Fields) { l.entry(id, f).Error(Text(id)) }

func (l *Logger) entry(id ID, f Fields) *log.Entry {
	return l.log.WithFields(f).WithField("event", int(id))
}
