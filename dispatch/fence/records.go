package fence

import (
	"time"

	"poplargw.example/dispatch/result"
)

// Outcome is how a started task ended: with a result in Payload, or with a failure if Failure is set.
type Outcome struct {
	Payload []byte
	Failure *result.Failure
	// RunTime is how long the backend server ran the task.
	RunTime time.Duration
}

// outcomeOverhead is the approximate memory of a kept outcome in bytes, without its payload and message.
const outcomeOverhead = 128

// bytes returns the approximate memory of the outcome.
func (o *Outcome) bytes() int64 {
	n := int64(outcomeOverhead + len(o.Payload))
	if o.Failure != nil {
		n += int64(len(o.Failure.Message))
	}
	return n
}

// record is the start record of one task.
type record struct {
	hash string
	// server is nil once the task has ended.
	server *server
	// outcome is nil while the task runs and after the outcome was evicted.
	outcome *Outcome
	slots   uint32
	running bool
}

// release frees the slots of a running task.
func (r *record) release() {
	r.server.usedSlots -= r.slots
	r.server.running--
	r.server, r.running = nil, false
}

// records holds the start records and, up to a limit in bytes, the outcomes.
type records struct {
	byTask map[Task]*record
	// due lists tasks by the Unix second from which their record can be forgotten.
	due map[int64][]Task
	// forgottenUpTo is the latest submission time of a forgotten record.
	forgottenUpTo time.Time
	// kept lists the tasks that ended, in the order of their ends. It can hold tasks whose
	// record was forgotten since.
	kept []Task
	// bytes is the approximate memory of the kept outcomes, and limit its bound.
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

// schedule lists the task under the first full second after the time at.
func (rs *records) schedule(t Task, at time.Time) {
	second := at.Unix() + 1
	rs.due[second] = append(rs.due[second], t)
}

// remove drops the record of a task that did not start.
func (rs *records) remove(t Task) { delete(rs.byTask, t) }

// keep stores the outcome of a task and evicts the oldest outcomes beyond the limit.
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

// evict drops the outcome of a record; the record stays.
func (rs *records) evict(r *record) {
	if r != nil && r.outcome != nil {
		rs.bytes -= r.outcome.bytes()
		r.outcome = nil
	}
}

// runningRecheckDelay is the time after which an expired record of a task that still runs is checked again.
const runningRecheckDelay = 5 * time.Second

// forget drops the records that are due at the given wall-clock time.
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

// forgetTask drops the record of a task, or schedules another check if the task still runs.
func (rs *records) forgetTask(t Task, wall time.Time) {
	r := rs.byTask[t]
	switch {
	case r == nil:
		return
	case r.running:
		rs.schedule(t, wall.Add(runningRecheckDelay))
		return
	}
	rs.evict(r)
	delete(rs.byTask, t)
	if at := t.Key.Time(); at.After(rs.forgottenUpTo) {
		rs.forgottenUpTo = at
	}
}

// compact drops tasks without an outcome from the front of the kept list. The list is then
// no longer than the number of records plus the forgotten tasks that ended after the oldest
// kept outcome.
func (rs *records) compact() {
	for len(rs.kept) > 0 {
		if r := rs.byTask[rs.kept[0]]; r != nil && r.outcome != nil {
			return
		}
		rs.kept = rs.kept[1:]
	}
}

// refusalLog holds, for each task whose start was refused or withdrawn within the last
// TokenAge, the time of the latest refusal on the monotonic clock.
type refusalLog struct {
	latest map[Task]time.Duration
	// order lists all refusals, oldest first.
	order []refusal
}

// refusal is a refused or withdrawn start of a task at a time on the monotonic clock.
type refusal struct {
	task Task
	at   time.Duration
}

func newRefusalLog() refusalLog { return refusalLog{latest: make(map[Task]time.Duration)} }

func (l *refusalLog) add(t Task, at time.Duration) {
	l.latest[t] = at
	l.order = append(l.order, refusal{t, at})
}

// refusedSince reports whether a start of the task was refused at the time issued or later.
func (l *refusalLog) refusedSince(t Task, issued time.Duration) bool {
	at, ok := l.latest[t]
	return ok && issued <= at
}

// prune drops the refusals before the given time.
func (l *refusalLog) prune(before time.Duration) {
	n := 0
	for n < len(l.order) && l.order[n].at < before {
		r := l.order[n]
		if l.latest[r.task] == r.at {
			delete(l.latest, r.task)
		}
		n++
	}
	l.order = l.order[n:]
}
