package sched

import "time"

// maxCandidates bounds the work of one placement. If more servers are available, a window
// of them that starts at a random position is considered.
const maxCandidates = 24

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
		s.candidateServers = append(s.candidateServers, v)
		s.candidates = append(s.candidates, s.candidate(now, v, q))
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
