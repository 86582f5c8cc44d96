package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncLines bounds the lines that wait to be written.
	asyncLines = 1024
	// linesPerSecond bounds the lines of normal operation, so that a burst of decisions does not cost
	// the processor time that the work needs. Warnings and errors are not counted.
	linesPerSecond = 150
	// closeLimit bounds the wait for lines that are still to be written when the process ends.
	closeLimit = 200 * time.Millisecond
)

// Async writes lines in the background and never blocks its caller: when the output does not keep up,
// lines are left out and counted.
type Async struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	once    sync.Once
	leftOut atomic.Int64
}

// NewAsync returns a writer in front of out. Close ends it.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: make(chan []byte, asyncLines), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It reports every line as written.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.leftOut.Add(1)
	}
	return len(line), nil
}

// LeftOut returns the number of lines that were left out since the last call.
func (a *Async) LeftOut() int64 { return a.leftOut.Swap(0) }

// Close writes what waits, for a moment at most, and ends the writer.
func (a *Async) Close() {
	a.once.Do(func() { close(a.lines) })
	select {
	case <-a.done:
	case <-time.After(closeLimit):
	}
}

func (a *Async) run() {
	defer close(a.done)
	for line := range a.lines {
		if _, err := a.out.Write(line); err != nil {
			// Nobody can be told: the log itself cannot be written.
			a.leftOut.Add(1)
		}
	}
}

// limiter bounds lines to a number each second.
type limiter struct {
	mu      sync.Mutex
	second  int64
	used    int
	skipped int64
}

// allow tells whether one more line may be written now.
func (l *limiter) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second, l.used = s, 0
	}
	if l.used >= linesPerSecond {
		l.skipped++
		return false
	}
	l.used++
	return true
}

func (l *limiter) takeSkipped() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.skipped
	l.skipped = 0
	return n
}
