package jobs

import "time"

// recordWait is what a job waits for because records of owners may be lost.
type recordWait int

const (
	awaitsNothing recordWait = iota
	// awaitsOwner: another entry owned the job when the link to its registrar was lost.
	awaitsOwner
	// awaitsReports: links to agents are about to open, or their first reports are on the way.
	awaitsReports
	// awaitsOwnerLost: an agent has run on since the loss, or both records of an owner may have been lost since the agents
	// started. Limits.OwnerLostAfter has to pass.
	awaitsOwnerLost
	// awaitsAgent: a link to an agent was lost that may have run since before the loss.
	awaitsAgent
	// awaitsLeases: an agent has not said that its runs are listed. Limits.FormerRunsEnd has to pass.
	awaitsLeases
)

// String returns the name of the cause in logs and metrics.
func (w recordWait) String() string {
	return [...]string{"none", "owner", "reports", "owner_lost", "agent", "leases"}[w]
}

// recordWaits is the wait of a job so far, and its newest cause.
type recordWaits struct {
	since, until time.Time
	cause        recordWait
}

// add records that the job waits.
func (w *recordWaits) add(now time.Time, cause recordWait) {
	if w.since.IsZero() {
		w.since = now
	}
	w.until, w.cause = now, cause
}

// RecordWait tells for how long a job has waited because records of owners may have been lost, and what for last. Begun is false
// if it has ended without having begun.
type RecordWait struct {
	Waited time.Duration
	Cause  string
	Begun  bool
}

// maxRecordWaits bounds the waits that TakeRecordWaits has not returned yet.
const maxRecordWaits = 4096

// endRecordWait records the wait of a job that begins, or that ends without having begun.
func (s *Scheduler) endRecordWait(o *ownership, begun bool) {
	w := o.recordWaits
	if !w.since.IsZero() && len(s.recordWaits) < maxRecordWaits {
		s.recordWaits = append(s.recordWaits, RecordWait{Waited: w.until.Sub(w.since), Cause: w.cause.String(), Begun: begun})
	}
	o.recordWaits = recordWaits{}
}

// TakeRecordWaits returns the waits of jobs that have ended since the last call.
func (s *Scheduler) TakeRecordWaits() []RecordWait {
	list := s.recordWaits
	s.recordWaits = nil
	return list
}
