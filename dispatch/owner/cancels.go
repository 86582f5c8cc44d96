package owner

import "time"

const (
	// cancelRetention is how long a cancel is kept, in uptime of the agent. Requests of a cancelled job may arrive again for seconds.
	cancelRetention = time.Minute
	// maxCancels bounds the cancels that are kept. A fleet that cancels 1,000 jobs a second, and so records up to 1,000 a second at each of
	// its registrars, exceeds it; further cancels are passed on and not recorded, which the answer says.
	maxCancels = 16384
)

// CancelAnswer is the answer to a cancel.
type CancelAnswer struct {
	// Owner is the entry that owns the job by this record; empty if none does.
	Owner string
	// Recorded is set if the cancel is recorded, so that the job is granted to no entry.
	Recorded bool
	// MayHave is set if an entry may have the job although this record names no owner: the record may be incomplete, an entry waits for the
	// job, or its owner was lost and may come back.
	MayHave bool
}

// jobTimes holds the uptime at which something was recorded of each job, for a limited time and a limited number of jobs.
type jobTimes struct {
	limit int
	at    map[string]time.Duration
	// order holds the jobs in the order in which they were added. A job that was added again is in it twice.
	order []jobTime
}

type jobTime struct {
	job string
	at  time.Duration
}

func newJobTimes(limit int) jobTimes { return jobTimes{limit: limit, at: map[string]time.Duration{}} }

// add records a job, or reports false if there are too many. A job that is recorded already keeps its time for half of
// cancelRetention, so that repetition takes little space.
func (l *jobTimes) add(job string, at time.Duration) bool {
	before, ok := l.at[job]
	if ok && at-before < cancelRetention/2 {
		return true
	}
	if len(l.order) >= l.limit {
		return ok
	}
	l.at[job] = at
	l.order = append(l.order, jobTime{job, at})
	return true
}

func (l *jobTimes) has(job string) bool {
	_, ok := l.at[job]
	return ok
}

// expire removes the jobs that were added before the given uptime.
func (l *jobTimes) expire(before time.Duration) {
	n := 0
	for n < len(l.order) && l.order[n].at < before {
		if l.at[l.order[n].job] == l.order[n].at {
			delete(l.at, l.order[n].job)
		}
		n++
	}
	l.order = l.order[n:]
}

// Cancelled reports whether a cancel of the job is recorded.
func (t *Table) Cancelled(job string) bool { return t.cancels.has(job) }

// Restored reports whether the RestoreWindow has passed: all owners that the agent can reach have reported.
func (t *Table) Restored() bool { return t.restored }

// Cancels returns the number of cancels that are recorded.
func (t *Table) Cancels() int { return len(t.cancels.at) }

// Cancel records a cancel of the job on behalf of an entry, and returns the answer to that entry and the answers to those that wait for the
// job, which they do not get any more. The owner on record keeps the job until it releases it; the caller passes the cancel on to it.
func (t *Table) Cancel(now time.Time, entry, job string) (CancelAnswer, []Answer) {
	answer := CancelAnswer{Recorded: t.cancels.add(job, t.uptime.At(now))}
	answer.MayHave = !answer.Recorded || !t.restored || t.lostOwners.has(job)
	r := t.jobs[job]
	if r == nil {
		return answer, nil
	}
	answer.Owner = r.owner
	answer.MayHave = answer.MayHave || r.waitedForByOther(entry)
	if !answer.Recorded {
		return answer, nil
	}
	return answer, t.refuseWaiting(job, r)
}

// refuseWaiting removes the entries that wait for a cancelled job and returns the answers to them.
func (t *Table) refuseWaiting(job string, r *record) []Answer {
	var answers []Answer
	for _, c := range r.waiting {
		answers = append(answers, Answer{Entry: c.entry, Request: Request{Job: job, Number: c.number}, Cancelled: true})
	}
	r.waiting = nil
	if r.owner == "" {
		delete(t.jobs, job)
	}
	return answers
}

// waitedForByOther reports whether an entry other than the given one waits for the job.
func (r *record) waitedForByOther(entry string) bool {
	for _, c := range r.waiting {
		if c.entry != entry {
			return true
		}
	}
	return false
}

// expireRecords forgets cancels after cancelRetention and lost owners after lostRetention.
func (t *Table) expireRecords(now time.Time) {
	at := t.uptime.At(now)
	t.cancels.expire(at - cancelRetention)
	t.lostOwners.expire(at - lostRetention)
}
