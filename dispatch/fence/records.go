package fence

import (
	"time"

	"poplargw.example/dispatch/result"
)

// Outcome is how a started task ended: a result, or a failure when Failure is set.
type Outcome struct {
	Payload []byte
	Failure *result.Failure
	// RunTime is the time that the backend server took.
	RunTime time.Duration
}

// outcomeOverhead is the approximate memory of a kept outcome besides its payload and message, in bytes.
const outcomeOverhead = 128

func (o *Outcome) bytes() int64 {
	n := int64(outcomeOverhead + len(o.Payload))
	if o.Failure != nil {
		n += int64(len(o.Failure.Message))
	}
	return n
}

// record is the start record of one task.
type record struct {
	hash    string
	server  *server
	outcome *Outcome
	slots   uint32
	running bool
}

func (r *record) release() {
	r.server.used -= r.slots
	r.server.running--
	r.server, r.running = nil, false
}

// records holds the start records, and the outcomes within a byte bound.
type records struct {
	byTask map[Task]*record
	// due lists tasks by the second in which they can be forgotten.
	due map[int64][]Task
	// forgotten is the latest ID time of a forgotten record.
	forgotten time.Time
	// kept lists tasks with a held outcome, oldest first.
	kept  []Task
	bytes int64
	limit int64
}

func newRecords(limit int64) records {
	return records{byTask: make(map[Task]*record), due: make(map[int64][]Task), limit: limit}
}

func (rs *records) get(t Task) *record { return rs.byTask[t] }

func (rs *records) put(t Task, forgetAt time.Time, r *record) {
	rs.byTask[t] = r
	rs.schedule(t, forgetAt)
}

func (rs *records) schedule(t Task, at time.Time) {
	second := at.Unix() + 1
	rs.due[second] = append(rs.due[second], t)
}

// remove drops the record of a task that did not start.
func (rs *records) remove(t Task) { delete(rs.byTask, t) }

func (rs *records) keep(t Task, r *record, o Outcome) {
	r.outcome = &o
	rs.bytes += o.bytes()
	rs.kept = append(rs.kept, t)
	for rs.bytes > rs.limit && len(rs.kept) > 0 {
		oldest := rs.kept[0]
		rs.kept = rs.kept[1:]
		rs.evict(rs.byTask[oldest])
	}
}

func (rs *records) evict(r *record) {
	if r != nil && r.outcome != nil {
		rs.bytes -= r.outcome.bytes()
		r.outcome = nil
	}
}

// runningGrace is how much later the record of a task that still runs is looked at again.
const runningGrace = 5 * time.Second

func (rs *records) forget(wall time.Time) {
	for second, tasks := range rs.due {
		if second > wall.Unix() {
			continue
		}
		delete(rs.due, second)
		for _, t := range tasks {
			rs.forgetTask(t, wall)
		}
	}
	rs.compact()
}

func (rs *records) forgetTask(t Task, wall time.Time) {
	r := rs.byTask[t]
	switch {
	case r == nil:
		return
	case r.running:
		rs.schedule(t, wall.Add(runningGrace))
		return
	}
	rs.evict(r)
	delete(rs.byTask, t)
	if at := t.Key.Time(); at.After(rs.forgotten) {
		rs.forgotten = at
	}
}

// compact drops forgotten tasks from the front of the kept list, which bounds
// the list by the number of records and those that outlived an older one.
func (rs *records) compact() {
	for len(rs.kept) > 0 {
		if r := rs.byTask[rs.kept[0]]; r != nil && r.outcome != nil {
			return
		}
		rs.kept = rs.kept[1:]
	}
}

// barred remembers, for the age of a token, at which time a start of a task was
// refused.
type barred struct {
	at    map[Task]time.Duration
	order []refusal
}

type refusal struct {
	task Task
	at   time.Duration
}

func newBarred() barred { return barred{at: make(map[Task]time.Duration)} }

func (b *barred) add(t Task, at time.Duration) {
	b.at[t] = at
	b.order = append(b.order, refusal{t, at})
}

func (b *barred) bars(t Task, issued time.Duration) bool {
	at, ok := b.at[t]
	return ok && issued <= at
}

func (b *barred) prune(before time.Duration) {
	n := 0
	for n < len(b.order) && b.order[n].at < before {
		r := b.order[n]
		if b.at[r.task] == r.at {
			delete(b.at, r.task)
		}
		n++
	}
	b.order = b.order[n:]
}
