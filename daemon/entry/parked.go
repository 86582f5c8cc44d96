package entry

import (
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/submission"
)

// parkedSubmission is a submission that waits until the claim of its key has ended.
type parkedSubmission struct {
	executeMsg
	until time.Time
}

// park lets a submission wait until the claim of its key has ended, for at most parkTimeout in
// total and not beyond the job's deadline. It answers the submission at once when that time is
// used up or maxParked submissions are parked.
func (h *home) park(now time.Time, m executeMsg) {
	if m.parkUntil.IsZero() {
		m.parkUntil = now.Add(parkTimeout)
		if m.job.Deadline.Before(m.parkUntil) {
			m.parkUntil = m.job.Deadline
		}
	}
	if len(h.parked) >= maxParked || !now.Before(m.parkUntil) {
		m.out <- reply{failure: rangeClosed()}
		return
	}
	h.parked = append(h.parked, parkedSubmission{executeMsg: m, until: m.parkUntil})
}

// readmitParked admits the parked submissions again, after a claim or a change of the table.
func (h *home) readmitParked(now time.Time) {
	waiting := h.parked
	h.parked = nil
	for _, p := range waiting {
		h.admit(now, p.executeMsg)
	}
}

// expireParked answers the parked submissions whose time to wait has passed.
func (h *home) expireParked(now time.Time) {
	expired := func(p parkedSubmission) bool { return !now.Before(p.until) }
	h.failParked(expired, rangeClosed)
}

// cancelParked answers the parked copies of a cancelled submission.
func (h *home) cancelParked(k submission.Key) {
	cancelled := func(p parkedSubmission) bool { return p.job.Key == k }
	h.failParked(cancelled, func() *result.Failure {
		return &result.Failure{Code: result.Cancelled, Effect: result.Unknown,
			Message: "the submission was cancelled while its home was claiming its key range"}
	})
}

// failParked removes the parked submissions that match and answers each with a failure of its own.
func (h *home) failParked(match func(parkedSubmission) bool, failure func() *result.Failure) {
	kept := h.parked[:0]
	for _, p := range h.parked {
		if !match(p) {
			kept = append(kept, p)
			continue
		}
		p.out <- reply{failure: failure()}
	}
	clear(h.parked[len(kept):])
	h.parked = kept
}

// rangeClosed returns the failure of a submission whose key is still being claimed. Its
// effect is unknown: a process that has not answered the claim may have started it.
func rangeClosed() *result.Failure {
	return &result.Failure{Code: result.RangeClosed, Effect: result.Unknown, RetryAfter: shortRetryAfter,
		Message: "the home of the submission is still claiming its key range"}
}
