package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"poplargw.example/dispatch/result"
)

// entryMetrics holds the metrics of the data path.
type entryMetrics struct {
	set             *metrics.Set
	responseSeconds *metrics.Histogram
	startCount      *metrics.Counter
	// wasted counts messages without effect: refused starts and calls without a response.
	wasted       *metrics.Counter
	claimSeconds *metrics.Histogram
}

func newEntryMetrics(s *metrics.Set) *entryMetrics {
	return &entryMetrics{
		set:             s,
		responseSeconds: s.GetOrCreateHistogram("poplargw_job_response_seconds"),
		startCount:      s.GetOrCreateCounter("poplargw_starts_total"),
		wasted:          s.GetOrCreateCounter("poplargw_wasted_messages_total"),
		claimSeconds:    s.GetOrCreateHistogram("poplargw_claim_seconds"),
	}
}

// submissionEnded counts a submission that this entry received, by result code. Code 0
// stands for a complete answer; only those count in the response times.
func (m *entryMetrics) submissionEnded(f *result.Failure, took time.Duration) {
	code := result.Code(0)
	if f != nil {
		code = f.Code
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("poplargw_submissions_total{code=%q}", fmt.Sprint(code))).Inc()
	if f == nil {
		m.responseSeconds.Update(seconds(took))
	}
}

// startRefused counts a start that an agent refused, by result code.
func (m *entryMetrics) startRefused(c result.Code) {
	m.wasted.Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf("poplargw_start_refusals_total{code=%q}", fmt.Sprint(c))).Inc()
}

// setQueue sets the number of queued and running tasks of a kind.
func (m *entryMetrics) setQueue(service, kind string, queued, running int) {
	labels := fmt.Sprintf("{service=%q,kind=%q}", service, kind)
	m.set.GetOrCreateGauge("poplargw_queued_tasks"+labels, nil).Set(float64(queued))
	m.set.GetOrCreateGauge("poplargw_running_tasks"+labels, nil).Set(float64(running))
}
