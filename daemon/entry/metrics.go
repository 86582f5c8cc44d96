package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"poplargw.example/dispatch/result"
)

// entryMetrics are the metrics of the data path.
type entryMetrics struct {
	set      *metrics.Set
	response *metrics.Histogram
	starts   *metrics.Counter
	// wasted counts messages that did no work: refused starts and sends without a response.
	wasted *metrics.Counter
	claims *metrics.Histogram
}

func newEntryMetrics(s *metrics.Set) *entryMetrics {
	return &entryMetrics{
		set:      s,
		response: s.GetOrCreateHistogram("poplargw_job_response_seconds"),
		starts:   s.GetOrCreateCounter("poplargw_starts_total"),
		wasted:   s.GetOrCreateCounter("poplargw_wasted_messages_total"),
		claims:   s.GetOrCreateHistogram("poplargw_claim_seconds"),
	}
}

// ended counts a submission that this entry received. Code 0 is a whole answer.
func (m *entryMetrics) ended(f *result.Failure, took time.Duration) {
	code := result.Code(0)
	if f != nil {
		code = f.Code
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("poplargw_submissions_total{code=%q}", fmt.Sprint(code))).Inc()
	if f == nil {
		m.response.Update(seconds(took))
	}
}

// refused counts a refusal of an agent.
func (m *entryMetrics) refused(c result.Code) {
	m.wasted.Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf("poplargw_start_refusals_total{code=%q}", fmt.Sprint(c))).Inc()
}

// queue exports the number of queued and running tasks of a kind.
func (m *entryMetrics) queue(service, kind string, queued, running int) {
	labels := fmt.Sprintf("{service=%q,kind=%q}", service, kind)
	m.set.GetOrCreateGauge("poplargw_queued_tasks"+labels, nil).Set(float64(queued))
	m.set.GetOrCreateGauge("poplargw_running_tasks"+labels, nil).Set(float64(running))
}
