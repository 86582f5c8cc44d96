// Package event logs numbered events. docs/events.md lists them; a test keeps both in step.
package event

import "github.com/apex/log"

// ID is the stable number of an event. A number is never reused.
type ID int

// Fields are the fields of one event.
type Fields = log.Fields

// Logger logs numbered events. The zero value is not usable; see New.
type Logger struct {
	log log.Interface
}

// New returns a logger that writes through l.
func New(l log.Interface) *Logger { return &Logger{log: l} }

// Info logs an event of normal operation.
func (l *Logger) Info(id ID, f Fields) { l.entry(id, f).Info(Text(id)) }

// Warn logs an event that an operator may have to look at.
func (l *Logger) Warn(id ID, f Fields) { l.entry(id, f).Warn(Text(id)) }

// Error logs an event that needs an operator.
func (l *Logger) Error(id ID, f Fields) { l.entry(id, f).Error(Text(id)) }

func (l *Logger) entry(id ID, f Fields) *log.Entry {
	return l.log.WithFields(f).WithField("event", int(id))
}
