// Package owner keeps an agent's record of which entry owns which job. An entry starts tasks of a job only
// while it owns the job, so that no two entries run one job at the same time, however soon a caller submits it
// to another entry. The package does no I/O, takes the time as a parameter, and is not safe for concurrent use.
package owner

import (
	"slices"
	"time"

	"poplargw.example/dispatch/uptime"
)

// Limits are the time limits of a Table.
type Limits struct {
	// LostAfter is the time since the newest message of an entry after which all runs that it ordered
	// have certainly ended.
	LostAfter time.Duration
	// RestoreWindow is how long after the start of the agent no ownership is granted. Entries that own
	// jobs connect again within it and say so.
	RestoreWindow time.Duration
	// MaxTickGap is the longest time between two calls of Tick in an agent that runs. A longer one does not count as
	// silence of the entries, because their messages may wait unread.
	MaxTickGap time.Duration
}

// Request asks for the ownership of a job. Number is chosen by the entry and part of the answer, so that the entry can
// tell an answer to a request that it has withdrawn since.
type Request struct {
	Job    string
	Number uint64
}

// Answer tells an entry that an agent has granted it a job, or that another entry owns the job. In that case the
// grant follows once the owner has released the job or is lost. Cancelled is set if the job was cancelled: it is not granted.
// OwnerLost is set in a grant if another entry that owned the job was lost, whose runs may go on on a suspended VM.
type Answer struct {
	Entry string
	Request
	Granted   bool
	Cancelled bool
	OwnerLost bool
}

// claimant is an entry with the number of its newest request.
type claimant struct {
	entry  string
	number uint64
}

// record is a job with its owner and the entries that want to own it, in the order of their requests.
type record struct {
	owner   string
	waiting []claimant
}

// remove removes an entry from those that wait, and reports whether it was one of them.
func (r *record) remove(entry string) bool {
	before := len(r.waiting)
	r.waiting = slices.DeleteFunc(r.waiting, func(c claimant) bool { return c.entry == entry })
	return len(r.waiting) < before
}

// waitLast puts an entry behind those that wait, and waitFirst before them. An entry that waits already is moved.
func (r *record) waitLast(c claimant) {
	r.remove(c.entry)
	r.waiting = append(r.waiting, c)
}

func (r *record) waitFirst(c claimant) {
	r.remove(c.entry)
	r.waiting = slices.Insert(r.waiting, 0, c)
}

// Table records the owners of jobs. Create one with New.
type Table struct {
	limits   Limits
	uptime   uptime.Clock // of the agent
	restored bool         // the RestoreWindow has passed
	jobs     map[string]*record
	// contacts holds the uptime at the newest message of each entry that owns a job or waits for one.
	contacts   map[string]time.Duration
	cancels    jobTimes // the jobs that were cancelled
	lostOwners lostOwners
}

// New returns the table of an agent that has just started.
func New(now time.Time, limits Limits) *Table {
	return &Table{
		limits: limits, uptime: uptime.New(now, limits.MaxTickGap), jobs: map[string]*record{}, contacts: map[string]time.Duration{},
		cancels: newJobTimes(maxCancels), lostOwners: newLostOwners(),
	}
}

// Len returns the number of jobs that have an owner or are requested.
func (t *Table) Len() int { return len(t.jobs) }

// Owner returns the entry that owns the job, or the empty string.
func (t *Table) Owner(job string) string {
	if r := t.jobs[job]; r != nil {
		return r.owner
	}
	return ""
}

// Contact records a message of the entry.
func (t *Table) Contact(now time.Time, entry string) {
	if _, ok := t.contacts[entry]; ok {
		t.contacts[entry] = t.uptime.At(now)
	}
}

// Silence returns the time during which the agent ran since the newest message of an entry that owns a job or waits for
// one, and 0 for any other.
func (t *Table) Silence(now time.Time, entry string) time.Duration {
	contact, ok := t.contacts[entry]
	if !ok {
		return 0
	}
	return t.uptime.Since(contact, now)
}

// Request records that the entry wants to own the job, and returns the answer. It returns false if the answer
// follows: Tick returns it after the RestoreWindow.
func (t *Table) Request(now time.Time, entry string, in Request) (Answer, bool) {
	return t.request(now, entry, in, (*record).waitLast)
}

// Register is Request for an entry that owns the job by the records of other agents and is to be recorded here too. It goes
// before the entries that wait, which would otherwise be granted the job here although it has an owner.
func (t *Table) Register(now time.Time, entry string, in Request) (Answer, bool) {
	return t.request(now, entry, in, (*record).waitFirst)
}

// request implements Request and Register; wait adds the entry to those that wait.
func (t *Table) request(now time.Time, entry string, in Request, wait func(*record, claimant)) (Answer, bool) {
	t.contacts[entry] = t.uptime.At(now)
	if t.Cancelled(in.Job) {
		return Answer{Entry: entry, Request: in, Cancelled: true}, true
	}
	r := t.record(in.Job)
	if r.owner == entry {
		return Answer{Entry: entry, Request: in, Granted: true, OwnerLost: t.lostOwners.hasOther(in.Job, entry)}, true
	}
	wait(r, claimant{entry, in.Number})
	if r.owner != "" {
		return Answer{Entry: entry, Request: in}, true
	}
	return t.settle(in.Job, r)
}

func (t *Table) record(job string) *record {
	r := t.jobs[job]
	if r == nil {
		r = &record{}
		t.jobs[job] = r
	}
	return r
}

// grantNext gives a job without an owner to the first entry that waits for it.
func (t *Table) grantNext(job string, r *record) Answer {
	next := r.waiting[0]
	r.owner, r.waiting = next.entry, r.waiting[1:]
	return Answer{Entry: next.entry, Request: Request{Job: job, Number: next.number}, Granted: true, OwnerLost: t.lostOwners.hasOther(job, next.entry)}
}

// Release records that the entry neither owns nor wants the job any more: none of its runs of the job is left. It
// returns the resulting grant to another entry, if there is one.
func (t *Table) Release(entry, job string) (Answer, bool) {
	t.lostOwners.forget(entry, job)
	return t.release(entry, job)
}

// release is Release for an entry that may have runs of the job left.
func (t *Table) release(entry, job string) (Answer, bool) {
	r := t.jobs[job]
	if r == nil {
		return Answer{}, false
	}
	r.remove(entry)
	if r.owner == entry {
		r.owner = ""
	}
	return t.settle(job, r)
}

// settle grants a job without an owner to the next entry, or forgets a job that no entry wants. Until the RestoreWindow has
// passed it grants nothing.
func (t *Table) settle(job string, r *record) (Answer, bool) {
	switch {
	case r.owner != "":
		return Answer{}, false
	case len(r.waiting) == 0:
		delete(t.jobs, job)
		return Answer{}, false
	case !t.restored:
		return Answer{}, false
	}
	return t.grantNext(job, r), true
}

// Restore records the complete list of jobs that the entry owns, which it sends over a new link. Jobs that are
// not in the list have been released meanwhile, and requests from before have to be repeated. A job that has another
// owner by now keeps that one; Restore returns such jobs as conflicts, and the grants to other entries. The entry is recorded
// as the owner once the other one has released the job, before all entries that wait, because it relies on this record.
func (t *Table) Restore(now time.Time, entry string, jobs []string) (grants []Answer, conflicts []string) {
	owned := make(map[string]bool, len(jobs))
	for _, job := range jobs {
		owned[job] = true
	}
	t.lostOwners.restore(entry, owned)
	grants = t.drop(entry, func(job string) bool { return !owned[job] })
	if len(jobs) > 0 {
		t.contacts[entry] = t.uptime.At(now)
	}
	for _, job := range jobs {
		r := t.record(job)
		switch r.owner {
		case "", entry:
			r.owner = entry
		default:
			conflicts = append(conflicts, job)
			r.waitFirst(claimant{entry: entry})
		}
	}
	return grants, conflicts
}

// drop removes the entry from the jobs that the filter accepts, and returns the grants to other entries.
func (t *Table) drop(entry string, accepts func(job string) bool) []Answer {
	var grants []Answer
	for job, r := range t.jobs {
		if !accepts(job) || r.owner != entry && !r.remove(entry) {
			continue
		}
		if a, ok := t.release(entry, job); ok {
			grants = append(grants, a)
		}
	}
	return grants
}

// Tick ends the ownerships of lost entries and returns the grants to others, and once the answers that were held back
// during the RestoreWindow.
func (t *Table) Tick(now time.Time) []Answer {
	t.uptime.Tick(now)
	var grants []Answer
	for entry, contact := range t.contacts {
		if t.uptime.Since(contact, now) <= t.limits.LostAfter {
			continue
		}
		delete(t.contacts, entry)
		for job, r := range t.jobs {
			if r.owner == entry {
				t.lostOwners.add(entry, job, t.uptime.At(now))
			}
		}
		grants = append(grants, t.drop(entry, func(string) bool { return true })...)
	}
	t.expireRecords(now)
	if !t.restored && t.uptime.At(now) >= t.limits.RestoreWindow {
		t.restored = true
		grants = append(grants, t.answerAll()...)
	}
	return grants
}

// answerAll returns the answers that were held back during the RestoreWindow.
func (t *Table) answerAll() []Answer {
	var answers []Answer
	for job, r := range t.jobs {
		if a, ok := t.settle(job, r); ok {
			answers = append(answers, a)
		}
		for _, c := range r.waiting {
			answers = append(answers, Answer{Entry: c.entry, Request: Request{Job: job, Number: c.number}})
		}
	}
	return answers
}
