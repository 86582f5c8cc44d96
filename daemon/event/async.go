package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds how many lines wait to be written.
	maxQueuedLines = 1024
	// maxQueuedTraceLines is the same for a logger with tracing, which writes several lines for each task.
	maxQueuedTraceLines = 16 * 1024
	// maxLinesPerSecond bounds the lines logged by Logger.InfoLimited in each second, so that logging a
	// burst of decisions does not take the processor time that the work needs. All other lines, such as
	// warnings and errors, are not counted.
	maxLinesPerSecond = 150
	// closeTimeout bounds how long Close waits for the queued lines to be written.
	closeTimeout = 200 * time.Millisecond
)

// AsyncWriter writes lines in the background and never blocks its caller: while the output does not keep
// up, lines are left out and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	once    sync.Once
	leftOut atomic.Int64
}

// NewAsyncWriter returns a writer that passes lines on to out and starts its goroutine. Close ends it.
func NewAsyncWriter(out io.Writer) *AsyncWriter { return newAsyncWriter(out, maxQueuedLines) }

func newAsyncWriter(out io.Writer, queued int) *AsyncWriter {
	a := &AsyncWriter{out: out, lines: make(chan []byte, queued), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It queues one line and reports it as written, even if it is left out because
// the queue is full. Write must not be called after Close.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.leftOut.Add(1)
	}
	return len(line), nil
}

// TakeLeftOut returns the number of lines that were left out since the last call and resets it to 0.
func (a *AsyncWriter) TakeLeftOut() int64 { return a.leftOut.Swap(0) }

// Close ends the writer. It waits until the queued lines are written, for at most closeTimeout.
func (a *AsyncWriter) Close() {
	a.once.Do(func() { close(a.lines) })
	select {
	case <-a.done:
	case <-time.After(closeTimeout):
	}
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	for line := range a.lines {
		if _, err := a.out.Write(line); err != nil {
			// The error cannot be logged, because it is the log that cannot be written.
			a.leftOut.Add(1)
		}
	}
}

// rateLimiter allows maxLinesPerSecond lines in each second of the clock and counts the others as skipped.
type rateLimiter struct {
	mu      sync.Mutex
	second  int64
	used    int
	skipped int64
}

// allow tells whether one more line may be written now, and counts it.
func (l *rateLimiter) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second, l.used = s, 0
	}
	if l.used >= maxLinesPerSecond {
		l.skipped++
		return false
	}
	l.used++
	return true
}

// takeSkipped returns the number of lines that were not allowed since the last call and resets it to 0.
func (l *rateLimiter) takeSkipped() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.skipped
	l.skipped = 0
	return n
}
