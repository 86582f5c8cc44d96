package prove

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

// load submits jobs in the background, at a constant rate, until it is stopped.
type load struct {
	s    *system
	quit chan struct{}
	done sync.WaitGroup

	mu   sync.Mutex
	jobs []*job
}

// loadShape describes a load: the entries that receive the jobs in turn, the interval between jobs,
// and the number of tasks of a job and their run time in milliseconds.
type loadShape struct {
	entries  []int
	interval time.Duration
	tasks    int
	ms       int
	// resend sends a submission again with the same ID to the next entry, up to five times, after a
	// connection error.
	resend bool
}

// loadTimeout is the timeout that callers give with a job.
const loadTimeout = 15 * time.Second

// startLoad starts a load in the background; load.stop ends it.
func (s *system) startLoad(shape loadShape) *load {
	l := &load{s: s, quit: make(chan struct{})}
	l.done.Go(func() {
		tick := time.NewTicker(shape.interval)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-l.quit:
				return
			case <-tick.C:
				l.submit(shape, i)
			}
		}
	})
	return l
}

func (l *load) submit(shape loadShape, i int) {
	j := newJob("quick", shape.tasks, shape.ms, loadTimeout)
	l.mu.Lock()
	l.jobs = append(l.jobs, j)
	l.mu.Unlock()
	l.done.Go(func() {
		for n := 0; ; n++ {
			o := j.send(l.s, shape.entries[(i+n)%len(shape.entries)])
			if o.connErr == nil || !shape.resend || n == 5 {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// stop ends the load, waits until every job has an outcome and returns the jobs.
func (l *load) stop() []*job {
	close(l.quit)
	l.done.Wait()
	return l.jobs
}

// last returns the latest attempt that has ended. It panics if there is none.
func (j *job) last() attempt {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.attempts[len(j.attempts)-1]
}

// outcomeCounts counts jobs by the outcome of their last attempt, and failures also by result code.
type outcomeCounts struct {
	complete, notRun, failed, connErr int
	codes                             map[uint32]int
}

// countOutcomes counts the outcomes of the last attempts of the jobs. Each job must have at least one attempt.
func countOutcomes(jobs []*job) outcomeCounts {
	c := outcomeCounts{codes: map[uint32]int{}}
	for _, j := range jobs {
		switch o := j.last(); {
		case o.answer != nil:
			c.complete++
		case o.connErr != nil:
			c.connErr++
		default:
			c.codes[o.failure.GetCode()]++
			if o.failure.GetEffect() == poplargwv1.Effect_EFFECT_NOT_RUN {
				c.notRun++
			} else {
				c.failed++
			}
		}
	}
	return c
}

func (c outcomeCounts) String() string {
	return fmt.Sprintf("%d complete, %d not run, %d failed, %d connection errors, codes %v", c.complete, c.notRun, c.failed, c.connErr, c.codes)
}

// logResult logs a measured result. "make prove" prints these lines by their prefix "result: ".
func logResult(t *testing.T, format string, args ...any) {
	t.Helper()
	t.Logf("result: "+format, args...)
}

// startsAt returns the start times that a backend server recorded, in ascending order.
func (s *system) startsAt(server string) []time.Time {
	var at []time.Time
	for _, st := range s.starts() {
		if st.Server == server {
			at = append(at, time.Unix(0, st.UnixNS))
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	return at
}

// startsBetween counts the starts at a backend server in [from, to).
func (s *system) startsBetween(server string, from, to time.Time) int {
	n := 0
	for _, at := range s.startsAt(server) {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// skipIfShort skips the test in short mode: "make test" runs only the short tests of this package,
// "make prove" runs all of them.
func skipIfShort(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("runs in make prove")
	}
}
