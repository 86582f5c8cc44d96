package sched

import "time"

// maxCandidates bounds the work of one placement. With more open servers, a window
// of them at a random position is considered.
const maxCandidates = 24

// floorFactor bounds how far below the typical run time a server's estimate counts:
// a server that answers implausibly fast must not attract all tasks.
const floorFactor = 8

// dispatch starts queued tasks of a service as long as servers have room.
func (s *Scheduler) dispatch(now time.Time, sv *service) {
	if !s.active {
		return
	}
	sv.round++
	sv.findLongest()
	for len(sv.waiting) > 0 && len(sv.open) > 0 {
		c := s.next(sv)
		if c == nil {
			return
		}
		l, _ := c.head()
		v := s.choose(now, sv, l)
		if v == nil {
			c.kind.blocked = sv.round
			s.tryReserve(now, l)
			continue
		}
		s.start(now, l, v)
	}
}

// next returns the class whose head is to start next, or nil. Tasks within the quota
// of their team go before others. A job that holds its fair share waits while another
// job of the same priority can start.
func (s *Scheduler) next(sv *service) *class {
	var ready [2][maxPriority + 1]bool
	for _, c := range sv.waiting {
		if c.kind.blocked != sv.round && len(c.ready) > 0 {
			ready[s.tier(c)][c.kind.priority] = true
		}
	}
	var best *class
	var bestLane *lane
	bestTier := 0
	for _, c := range sv.waiting {
		if c.kind.blocked == sv.round {
			continue
		}
		tier := s.tier(c)
		l, capped := c.head()
		if capped && ready[tier][c.kind.priority] {
			continue
		}
		if best == nil || tier < bestTier || tier == bestTier && before(l, bestLane) {
			best, bestLane, bestTier = c, l, tier
		}
	}
	return best
}

// tier is 0 for tasks within a team's guaranteed share and 1 for others.
func (s *Scheduler) tier(c *class) int {
	if c.team == nil || c.team.Guaranteed(s.entries) {
		return 0
	}
	return 1
}

func before(a, b *lane) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.job.sequence < b.job.sequence
}

// choose picks a server for the first task of a lane, or returns nil.
func (s *Scheduler) choose(now time.Time, sv *service, l *lane) *server {
	s.candidates, s.servers = s.candidates[:0], s.servers[:0]
	n, first := len(sv.open), 0
	if n > maxCandidates {
		first = s.rng.IntN(n)
	}
	for i := 0; i < n && len(s.servers) < maxCandidates; i++ {
		v := sv.open[(first+i)%n]
		if !s.hasRoom(now, v, l) {
			continue
		}
		if c, ok := s.candidate(now, v, l); ok {
			s.servers = append(s.servers, v)
			s.candidates = append(s.candidates, c)
		}
	}
	if len(s.servers) == 0 {
		return nil
	}
	i := s.opts.Picker.Pick(l.class.kind.name, s.candidates)
	if s.holdSlow && sv.fasterSoon(now, l, s.candidates[i].Expected, s.entries) {
		return nil
	}
	return s.servers[i]
}

func (s *Scheduler) hasRoom(now time.Time, v *server, l *lane) bool {
	k := l.class.kind
	if v.free < k.slots || v.blocked.After(now) || v.cells[k.name] == nil {
		return false
	}
	if r := v.reserved; r != nil && r.kind != k && r.key < l.key && now.Before(r.until) {
		return false
	}
	return v.tasks < v.health.Limit(now) && s.mayUse(now, v, k.slots)
}

// candidate describes a server to the picker. It returns false when the task is better
// off waiting a little for a faster server.
func (s *Scheduler) candidate(now time.Time, v *server, l *lane) (Candidate, bool) {
	k := l.class.kind
	cell := v.cells[k.name]
	expected := cell.Expected(l.job.Tasks[l.first()].Declared)
	if typical, servers := k.times.Typical(); servers > 1 {
		expected = max(expected, typical/floorFactor)
		if !cell.Learned() {
			expected = max(expected, time.Duration(float64(typical)*v.overdue(now)))
		}
	}
	return Candidate{
		At: v.at, Slots: v.Slots, Free: v.free, Outstanding: v.tasks,
		Expected: expected, Reserve: v.reserveFor(k), Shared: !s.owns(v, k.slots),
		Local: v.agent.domain == s.opts.Domain, SameRegion: v.agent.region == s.opts.Region,
	}, true
}

// overdue is the time of the oldest unanswered start relative to the typical run time
// of its kind. It shows a slow server before its first answer.
func (v *server) overdue(now time.Time) float64 {
	if len(v.unanswered) == 0 {
		return 0
	}
	a := v.unanswered[0]
	typical, _ := a.kind.times.Typical()
	if typical == 0 {
		return 0
	}
	return float64(now.Sub(a.at)) / float64(typical)
}

// fasterSoon tells whether a task does better to wait for a slot of a faster server than to
// start where it is expected to take the given time. It does if the gain exceeds the wait
// of the job's queued tasks, and that of one slot for each queued job that goes before or
// with it. The wait ends when nothing has started for as long as it would save, so that a
// fleet left with slow servers is soon used.
func (sv *service) fasterSoon(now time.Time, l *lane, expected time.Duration, entries int) bool {
	k := l.class.kind
	saved := expected - k.times.Fastest()
	if sv.load >= holdNone || saved == expected || saved < expected/fasterMargin || now.Sub(sv.startedAt) > saved {
		return false
	}
	rate, faster := sv.fasterSlots(k, expected-expected/fasterMargin)
	if rate == 0 {
		return false
	}
	// Other entries want the slots too: some of them all, some none.
	interval := float64(entries+1) / 2 / rate
	gain := (expected.Seconds() - faster) * min((holdNone-sv.load)/(holdNone-holdFull), 1)
	return gain > float64(len(l.waiting))*interval && gain > float64(sv.lanesUpTo(k)+1)*interval
}

// fasterSlots returns the number of slots that come free in a second at servers where a
// task of the kind takes less than the limit, and its mean run time there in seconds.
func (sv *service) fasterSlots(k *kind, limit time.Duration) (rate, run float64) {
	mean := sv.meanRun()
	typical, _ := k.times.Typical()
	if mean == 0 || typical == 0 {
		return 0, 0
	}
	for _, v := range sv.servers {
		cell := v.cells[k.name]
		if cell == nil || !cell.Learned() || !v.wasIn || v.health.Suspended() {
			continue
		}
		if e := cell.Expected(0); e < limit {
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

// A slot that is kept free for a while lengthens all queues, the more so the higher the
// load: up to holdFull the gain of a wait counts whole, from holdNone not at all.
const (
	holdFull = 0.55
	holdNone = 0.75
)

// loadTime is the time over which the load is smoothed.
const loadTime = 2 * time.Second

// measureLoad updates the share of the slots of healthy servers that is in use.
func (sv *service) measureLoad(now time.Time) {
	slots, used := 0, 0
	for _, v := range sv.servers {
		if v.wasIn && !v.health.Suspended() {
			slots += v.Slots
			used += v.Slots - v.free
		}
	}
	passed := now.Sub(sv.loadAt)
	if slots == 0 || passed <= 0 {
		return
	}
	weight := min(float64(passed)/float64(loadTime), 1)
	sv.load += weight * (float64(used)/float64(slots) - sv.load)
	sv.loadAt = now
}

// fasterMargin is the reciprocal of the share by which a server must be faster to be
// worth a wait.
const fasterMargin = 10

// meanRun is the typical run time of the running tasks.
func (sv *service) meanRun() time.Duration {
	var total time.Duration
	n := 0
	for _, k := range sv.list {
		typical, _ := k.times.Typical()
		total += typical * time.Duration(k.running)
		n += k.running
	}
	return total / time.Duration(max(n, 1))
}

// lanesUpTo counts the jobs with queued tasks of a kind and of those that go before it.
func (sv *service) lanesUpTo(k *kind) int {
	n := 0
	for _, c := range sv.waiting {
		if c.kind == k || c.kind.rank() > k.rank() {
			n += len(c.ready) + len(c.capped)
		}
	}
	return n
}

// findLongest sets the running kind with the longest typical run time.
func (sv *service) findLongest() {
	sv.longest = nil
	var longest time.Duration
	for _, k := range sv.list {
		if d, _ := k.times.Typical(); k.running > 0 && d > longest {
			sv.longest, longest = k, d
		}
	}
}

// reserveFor is the run time that the longest kind of the service is expected to lose
// when kind k takes a slot here: what it saves on this server, weighted with its share
// of the running tasks and with the share of slots in use. It is 0 for kinds of
// similar length.
func (v *server) reserveFor(k *kind) time.Duration {
	sv := v.service
	long := sv.longest
	if long == nil || long == k || sv.slots == 0 {
		return 0
	}
	typical, _ := long.times.Typical()
	if own, _ := k.times.Typical(); 2*own > typical {
		return 0
	}
	cell := v.cells[long.name]
	if cell == nil {
		return 0
	}
	saved := max(typical-cell.Expected(0), 0)
	running := 0
	for _, o := range sv.list {
		running += o.running
	}
	used := float64(sv.slots-sv.free) / float64(sv.slots)
	return time.Duration(float64(saved) * used * float64(long.running) / float64(running))
}

// start emits the StartTask of the first task of a lane.
func (s *Scheduler) start(now time.Time, l *lane, v *server) {
	j, k := l.job, l.class.kind
	s.endReservation(k)
	a := s.newAttempt(now, j, s.pop(l), v.at)
	a.server, a.incarnation, a.slots, a.team = v, v.agent.incarnation, k.slots, j.team
	if a.team != nil {
		a.team.Held += a.slots
	}
	j.held += a.slots
	s.reserve(now, v, a)
	j.service.startedAt = now
	s.share(j)
	s.emitStart(a)
}

func (s *Scheduler) newAttempt(now time.Time, j *job, i uint32, to Placement) *attempt {
	s.attempt++
	a := &attempt{
		ref: StartRef{Key: j.Key, Task: i, Attempt: s.attempt}, job: j, to: to, at: now,
		kind: j.service.kinds[j.Tasks[i].Kind],
	}
	s.attempts[a.ref] = a
	a.kind.running++
	j.outstanding++
	return a
}

// attach emits the attach-only StartTask of a task that an agent has already started.
func (s *Scheduler) attach(now time.Time, j *job, i uint32) {
	a := s.newAttempt(now, j, i, *j.Tasks[i].Prior)
	a.attach = true
	s.emitStart(a)
}

func (s *Scheduler) emitStart(a *attempt) {
	s.counters.starts++
	j := a.job
	s.emit(StartTask{
		Ref: a.ref, To: a.to, Service: j.Service, Kind: a.kind.name, Payload: j.Tasks[a.ref.Task].Payload,
		Hash: j.Hash, TimeLimit: a.kind.timeLimit, AttachOnly: a.attach,
	})
}

// share applies the fair share: a job that holds half of this entry's part of the
// slots lets other jobs of its priority go first.
func (s *Scheduler) share(j *job) {
	limit := max(s.part(j.service)/2, 1)
	s.setCapped(j, j.held >= limit)
}
