package sched

import "time"

// maxCandidates bounds the work of one placement. If more servers are available, a window
// of them that starts at a random position is considered.
const maxCandidates = 24

// estimateFloorDivisor limits how far the estimate of a server may be below the typical
// run time of a kind: the estimate is at least the typical run time divided by it. A
// server that answers implausibly fast must not attract all tasks.
const estimateFloorDivisor = 8

// dispatch starts queued tasks of a service as long as servers have capacity for them. It
// starts none while this entry is not fresh.
func (s *Scheduler) dispatch(now time.Time, svc *service) {
	if !s.fresh {
		return
	}
	svc.dispatchRound++
	svc.updateLongestKind()
	for len(svc.waitingClasses) > 0 && len(svc.available) > 0 {
		c := s.nextClass(svc)
		if c == nil {
			return
		}
		q, _ := c.head()
		v := s.chooseServer(now, svc, q)
		if v == nil {
			c.kind.blockedRound = svc.dispatchRound
			s.tryReserve(now, q)
			continue
		}
		s.start(now, q, v)
	}
}

// nextClass returns the class whose head is to start next, or nil if there is none. Tasks
// of teams within their quota go before others. A job that holds its fair share of the
// slots waits while another job of the same tier and priority can start.
func (s *Scheduler) nextClass(svc *service) *class {
	var ready [2][maxPriority + 1]bool
	for _, c := range svc.waitingClasses {
		if c.kind.blockedRound != svc.dispatchRound && len(c.ready) > 0 {
			ready[s.tier(c)][c.kind.priority] = true
		}
	}
	var best *class
	var bestQueue *taskQueue
	bestTier := 0
	for _, c := range svc.waitingClasses {
		if c.kind.blockedRound == svc.dispatchRound {
			continue
		}
		tier := s.tier(c)
		q, capped := c.head()
		if capped && ready[tier][c.kind.priority] {
			continue
		}
		if best == nil || tier < bestTier || tier == bestTier && queueBefore(q, bestQueue) {
			best, bestQueue, bestTier = c, q, tier
		}
	}
	return best
}

// tier returns 0 for classes without a team or of a team within its quota, and 1 for
// others.
func (s *Scheduler) tier(c *class) int {
	if c.team == nil || c.team.Guaranteed(s.entryCount) {
		return 0
	}
	return 1
}

// queueBefore reports whether the tasks of queue a start before those of queue b.
func queueBefore(a, b *taskQueue) bool {
	if a.orderKey != b.orderKey {
		return a.orderKey < b.orderKey
	}
	return a.job.sequence < b.job.sequence
}

// chooseServer returns the server for the first task of a queue. It returns nil if no
// server has capacity or if the task should wait for a faster server.
func (s *Scheduler) chooseServer(now time.Time, svc *service, q *taskQueue) *server {
	s.candidates, s.candidateServers = s.candidates[:0], s.candidateServers[:0]
	n, first := len(svc.available), 0
	if n > maxCandidates {
		first = s.rng.IntN(n)
	}
	for i := 0; i < n && len(s.candidateServers) < maxCandidates; i++ {
		v := svc.available[(first+i)%n]
		if !s.hasCapacity(now, v, q) {
			continue
		}
		if c, ok := s.candidate(now, v, q); ok {
			s.candidateServers = append(s.candidateServers, v)
			s.candidates = append(s.candidates, c)
		}
	}
	if len(s.candidateServers) == 0 {
		return nil
	}
	i := s.opts.Picker.Pick(q.class.kind.name, s.candidates)
	if s.waitEnabled && svc.worthWaiting(now, q, s.candidates[i].Expected, s.entryCount) {
		return nil
	}
	return s.candidateServers[i]
}

// hasCapacity reports whether the first task of a queue may start on a server now, given
// its free slots and kinds, a block after a refusal, reservations, its health and the
// shares of the entries.
func (s *Scheduler) hasCapacity(now time.Time, v *server, q *taskQueue) bool {
	k := q.class.kind
	if v.free < k.slots || v.blockedUntil.After(now) || v.estimates[k.name] == nil {
		return false
	}
	if r := v.reservation; r != nil && r.kind != k && r.orderKey < q.orderKey && now.Before(r.until) {
		return false
	}
	return v.outstanding < v.health.Limit(now) && s.mayUse(now, v, k.slots)
}

// candidate describes a server to the picker. The second result is always true.
func (s *Scheduler) candidate(now time.Time, v *server, q *taskQueue) (Candidate, bool) {
	k := q.class.kind
	est := v.estimates[k.name]
	expected := est.Expected(q.job.Tasks[q.first()].Declared)
	if typical, servers := k.runTimes.Typical(); servers > 1 {
		expected = max(expected, typical/estimateFloorDivisor)
		if !est.Learned() {
			expected = max(expected, time.Duration(float64(typical)*v.overdueRatio(now)))
		}
	}
	return Candidate{
		Placement: v.placement, Slots: v.Slots, Free: v.free, Outstanding: v.outstanding,
		Expected: expected, OpportunityCost: v.opportunityCost(k), Contended: !s.withinServerShare(v, k.slots),
		Local: v.agent.domain == s.opts.Domain, SameRegion: v.agent.region == s.opts.Region,
	}, true
}

// overdueRatio returns the age of the oldest unanswered start divided by the typical run
// time of its kind, or 0 if either is unknown. It reveals a slow server before its first
// answer.
func (v *server) overdueRatio(now time.Time) float64 {
	if len(v.unanswered) == 0 {
		return 0
	}
	a := v.unanswered[0]
	typical, _ := a.kind.runTimes.Typical()
	if typical == 0 {
		return 0
	}
	return float64(now.Sub(a.emittedAt)) / float64(typical)
}

// worthWaiting reports whether the first task of a queue should wait for a slot of a
// faster server instead of starting on a server where its run time is the given one. It
// should if the expected gain exceeds both the time in which enough such slots come free
// for the queued tasks of the job, and the time in which one comes free for each queue of
// its kind and of kinds with a higher rank, and one more. Waiting ends when nothing has
// started for as long as the wait would save, so that the slow servers are used soon if
// only these are left.
func (svc *service) worthWaiting(now time.Time, q *taskQueue, expected time.Duration, entryCount int) bool {
	k := q.class.kind
	saved := expected - k.runTimes.Fastest()
	if svc.load >= noWaitLoad || saved == expected || saved < expected/minGainDivisor || now.Sub(svc.lastStart) > saved {
		return false
	}
	rate, faster := svc.fasterSlotRate(k, expected-expected/minGainDivisor)
	if rate == 0 {
		return false
	}
	// Other entries use these slots too. On average, half of them are assumed to compete.
	interval := float64(entryCount+1) / 2 / rate
	gain := (expected.Seconds() - faster) * min((noWaitLoad-svc.load)/(noWaitLoad-fullWaitLoad), 1)
	return gain > float64(len(q.waiting))*interval && gain > float64(svc.queuesAtOrAbove(k)+1)*interval
}

// fasterSlotRate considers the servers on which a task of the kind takes less than the
// limit. It returns the number of their slots that come free per second, and the mean run
// time of the task there in seconds, weighted by that number. It returns 0, 0 if there
// are none.
func (svc *service) fasterSlotRate(k *kind, limit time.Duration) (rate, run float64) {
	mean := svc.meanRunTime()
	typical, _ := k.runTimes.Typical()
	if mean == 0 || typical == 0 {
		return 0, 0
	}
	for _, v := range svc.servers {
		est := v.estimates[k.name]
		if est == nil || !est.Learned() || !v.wasInService || v.health.Suspended() {
			continue
		}
		if e := est.Expected(0); e < limit {
			r := float64(v.Slots-v.free) / (mean.Seconds() * float64(e) / float64(typical))
			rate += r
			run += r * e.Seconds()
		}
	}
	if rate == 0 {
		return 0, 0
	}
	return rate, run / rate
}

// Loads that limit waiting for a faster server. Keeping a slot free lengthens all queues,
// and more so at higher load. The gain of a wait counts in full up to fullWaitLoad,
// decreases linearly above it, and does not count from noWaitLoad on.
const (
	fullWaitLoad = 0.55
	noWaitLoad   = 0.75
)

// loadTimeConstant is the time constant of the smoothing of service.load.
const loadTimeConstant = 2 * time.Second

// updateLoad updates the smoothed share of slots in use. Only servers that are in service
// and not suspended count.
func (svc *service) updateLoad(now time.Time) {
	slots, used := 0, 0
	for _, v := range svc.servers {
		if v.wasInService && !v.health.Suspended() {
			slots += v.Slots
			used += v.Slots - v.free
		}
	}
	passed := now.Sub(svc.loadMeasuredAt)
	if slots == 0 || passed <= 0 {
		return
	}
	weight := min(float64(passed)/float64(loadTimeConstant), 1)
	svc.load += weight * (float64(used)/float64(slots) - svc.load)
	svc.loadMeasuredAt = now
}

// minGainDivisor is the reciprocal of the share of the run time that a server must save
// to be worth a wait.
const minGainDivisor = 10

// meanRunTime returns the mean of the typical run times of the running tasks, or 0 if
// none is running.
func (svc *service) meanRunTime() time.Duration {
	var total time.Duration
	n := 0
	for _, k := range svc.kindList {
		typical, _ := k.runTimes.Typical()
		total += typical * time.Duration(k.running)
		n += k.running
	}
	return total / time.Duration(max(n, 1))
}

// queuesAtOrAbove returns the number of queues of the given kind and of kinds with a
// higher rank.
func (svc *service) queuesAtOrAbove(k *kind) int {
	n := 0
	for _, c := range svc.waitingClasses {
		if c.kind == k || c.kind.rank() > k.rank() {
			n += len(c.ready) + len(c.capped)
		}
	}
	return n
}

// updateLongestKind sets longestKind to the running kind with the longest typical run
// time.
func (svc *service) updateLongestKind() {
	svc.longestKind = nil
	var longest time.Duration
	for _, k := range svc.kindList {
		if d, _ := k.runTimes.Typical(); k.running > 0 && d > longest {
			svc.longestKind, longest = k, d
		}
	}
}

// opportunityCost returns the run time that the longest kind of the service is expected
// to lose if a task of kind k takes a slot of this server. It is the time that the
// longest kind saves on this server compared with its typical run time, multiplied by its
// share of the running tasks and by the share of slots in use. It is 0 if the typical run
// time of k is more than half that of the longest kind.
func (v *server) opportunityCost(k *kind) time.Duration {
	svc := v.service
	long := svc.longestKind
	if long == nil || long == k || svc.slots == 0 {
		return 0
	}
	typical, _ := long.runTimes.Typical()
	if own, _ := k.runTimes.Typical(); 2*own > typical {
		return 0
	}
	est := v.estimates[long.name]
	if est == nil {
		return 0
	}
	saved := max(typical-est.Expected(0), 0)
	running := 0
	for _, o := range svc.kindList {
		running += o.running
	}
	used := float64(svc.slots-svc.free) / float64(svc.slots)
	return time.Duration(float64(saved) * used * float64(long.running) / float64(running))
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
