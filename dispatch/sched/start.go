package sched

import "time"

// attempt is a StartTask that has not been answered yet.
type attempt struct {
	ref         StartRef
	job         *job
	placement   Placement
	kind        *kind
	server      *server // nil if attachOnly
	team        *team
	incarnation string
	slots       int
	countNumber uint64 // server.countNumber at the time of emission
	emittedAt   time.Time
	attachOnly  bool
	answered    bool
}

// start emits the StartTask for the first task of a queue.
func (s *Scheduler) start(now time.Time, q *taskQueue, v *server) {
	j, k := q.job, q.class.kind
	s.endReservation(k)
	a := s.newAttempt(now, j, s.pop(q), v.placement)
	a.server, a.incarnation, a.slots, a.team = v, v.agent.incarnation, k.slots, j.team
	if a.team != nil {
		a.team.InUse += a.slots
	}
	j.held += a.slots
	s.takeSlots(now, v, a)
	j.service.lastStart = now
	s.applyFairShare(j)
	s.emitStart(a)
}

// newAttempt records a new start of task i of a job.
func (s *Scheduler) newAttempt(now time.Time, j *job, i uint32, placement Placement) *attempt {
	s.lastAttempt++
	a := &attempt{
		ref: StartRef{Key: j.Key, Task: i, Attempt: s.lastAttempt}, job: j, placement: placement, emittedAt: now,
		kind: j.service.kinds[j.Tasks[i].Kind],
	}
	s.attempts[a.ref] = a
	a.kind.running++
	j.outstanding++
	return a
}

// attach emits an attach-only StartTask for a task that an agent has already started.
func (s *Scheduler) attach(now time.Time, j *job, i uint32) {
	a := s.newAttempt(now, j, i, *j.Tasks[i].Prior)
	a.attachOnly = true
	s.emitStart(a)
}

// emitStart emits the StartTask of an attempt.
func (s *Scheduler) emitStart(a *attempt) {
	s.counters.starts++
	j := a.job
	s.emit(StartTask{
		Ref: a.ref, Placement: a.placement, Service: j.Service, Kind: a.kind.name, Payload: j.Tasks[a.ref.Task].Payload,
		Hash: j.Hash, TimeLimit: a.kind.timeLimit, AttachOnly: a.attachOnly,
	})
}

// applyFairShare marks a job as capped if it holds at least half of this entry's share of
// the slots of the service. Capped jobs let other jobs of their priority go first.
func (s *Scheduler) applyFairShare(j *job) {
	limit := max(s.serviceShare(j.service)/2, 1)
	s.setCapped(j, j.held >= limit)
}
