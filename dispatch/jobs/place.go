package jobs

import (
	"slices"
	"sort"
	"time"

	"poplargw.example/dispatch/run"
)

const (
	// maxBlocked bounds how many jobs without a place one pass looks at.
	maxBlocked = 12
	// longTask is the run time from which a fast backend server matters more than an idle one: the
	// fixed part of the objective covers the difference for shorter ones.
	longTask = 250 * time.Millisecond
	// crowding is the cost of a full backend server against an empty one, as a share of the run time.
	crowding = 0.15
)

// dispatch places waiting tasks until nothing fits. It looks at every backend server for every waiting
// task, so it runs once a tick; room that becomes free in between goes through dispatchTo.
func (s *Scheduler) dispatch(now time.Time) { s.dispatchAmong(now, s.fleet) }

// dispatchTo places waiting tasks on one backend server, whose room has changed. It answers overload of
// a large fleet, in which jobs always wait and every end of a run is reported: a look at all backend
// servers for each report took more processor time than a small VM has.
func (s *Scheduler) dispatchTo(now time.Time, v *server) {
	s.single[0] = v
	s.dispatchAmong(now, s.single[:])
}

// dispatchJob places the waiting tasks of one job, unless enough others without a place come before it.
func (s *Scheduler) dispatchJob(now time.Time, j *job) {
	if !j.queued || slices.Index(*s.list(j), j) >= maxBlocked {
		return
	}
	s.requeue(now, j, s.placeJob(now, j, s.fleet))
}

func (s *Scheduler) dispatchAmong(now time.Time, servers []*server) {
	s.placeList(now, s.onTime, servers)
	s.placeList(now, s.late, servers)
}

func (s *Scheduler) placeList(now time.Time, list []*job, servers []*server) {
	blocked := 0
	var changed []tried
	for _, j := range list {
		if blocked >= maxBlocked {
			break
		}
		r := s.placeJob(now, j, servers)
		if r != allPlaced {
			blocked++
		}
		if r != nonePlaced {
			changed = append(changed, tried{j, r})
		}
	}
	for _, c := range changed {
		s.requeue(now, c.job, c.result)
	}
}

// placement is how many of a job's waiting tasks have found a place.
type placement int

const (
	nonePlaced placement = iota
	// firstPlaced: the job has begun, and some of its tasks still wait.
	firstPlaced
	allPlaced
)

// tried is a job with the result of placing its tasks.
type tried struct {
	job    *job
	result placement
}

// requeue corrects the job's place in the queue: one that has begun comes before those that have not, and
// one without waiting tasks leaves it.
func (s *Scheduler) requeue(now time.Time, j *job, r placement) {
	if r == nonePlaced {
		return
	}
	s.dequeue(j)
	if r == firstPlaced {
		s.enqueue(now, j)
	}
}

// placeJob places the job's runnable tasks among the servers.
func (s *Scheduler) placeJob(now time.Time, j *job, servers []*server) placement {
	started, all := j.started, true
	full := -1 // the step of which no task finds a place
	for _, t := range j.tasks {
		if t.state != waiting || t.step == full || !j.runnable(t) {
			continue
		}
		v := s.pick(now, j, t, servers)
		if v == nil {
			all = false
			// The tasks of a step are alike, and one that avoids no backend server can go to the most.
			if len(t.avoid) == 0 {
				full = t.step
			}
			continue
		}
		s.order(now, j, t, v)
	}
	switch {
	case all:
		return allPlaced
	case started != j.started:
		return firstPlaced
	}
	return nonePlaced
}

// pick chooses the backend server with the lowest cost among those that have room, or none.
func (s *Scheduler) pick(now time.Time, j *job, t *task, servers []*server) *server {
	var best *server
	lowest := 0.0
	for _, v := range servers {
		if !s.eligible(now, j, t, v) {
			continue
		}
		cost := s.cost(j, t, v)
		if best == nil || cost < lowest || cost == lowest && v.agent < best.agent {
			best, lowest = v, cost
		}
	}
	return best
}

func (s *Scheduler) eligible(now time.Time, j *job, t *task, v *server) bool {
	step := j.Steps[t.step]
	switch {
	case !v.takes(s.out), v.state.Service != j.Queue.Service, now.Before(v.pausedUntil), t.avoid[v.state.Instance]:
		return false
	case !step.Demand.Fits(v.room()), !v.state.HasLabel(step.Label), len(v.runs) >= v.health.Limit(now):
		return false
	case step.MaxPerServer > 0 && s.ofStep(j, t.step, v) >= step.MaxPerServer:
		return false
	}
	return s.fastEnough(now, j, t, v)
}

// fastEnough tells whether the task is expected to end there while its answer is of use. A backend
// server that is too slow gets one task now and then, which shows whether it still is. A place far from
// the data that would make the job late is taken only when it is late anyway.
func (s *Scheduler) fastEnough(now time.Time, j *job, t *task, v *server) bool {
	slow := v.slowness()
	distance := s.distance(j.Steps[t.step], v)
	usual := s.usual[j.Queue.Service]
	if slow*distance < slowPace*usual {
		return true
	}
	end := now.Add(time.Duration(float64(j.expected(t)) * slow * distance))
	switch {
	case !end.After(j.objective):
		return true
	case s.tooSlow(v):
		return len(v.runs) == 0 && now.Sub(v.lastOrder) > probeEvery<<min(v.probes, maxProbeDoublings)
	}
	return j.late && !end.After(j.useful())
}

const (
	// slowPace is how many times slower than the median of its service a backend server has to be to
	// count as slow; sound ones of one fleet differ by up to 2.5, and by 1.8 from their median. Measured
	// against declared run times, which may all be too low, the whole fleet could be slow at once.
	slowPace = 2.2
	// probeEvery is the time between two tasks that show whether a slow backend server still is. It
	// doubles while it is, because most jobs with such a task are late, and each entry sends its own.
	probeEvery        = 300 * time.Millisecond
	maxProbeDoublings = 3
)

// learnUsual computes the median pace of the backend servers of each service.
func (s *Scheduler) learnUsual() {
	paces := map[string][]float64{}
	for _, v := range s.fleet {
		if v.takes(s.out) {
			paces[v.state.Service] = append(paces[v.state.Service], v.slowness())
		}
	}
	clear(s.usual)
	for service, list := range paces {
		sort.Float64s(list)
		s.usual[service] = list[len(list)/2]
	}
}

// probesAfter is the number of orders in a row, with the next one, to a backend server that is too slow.
func (s *Scheduler) probesAfter(v *server) int {
	if !s.tooSlow(v) {
		return 0
	}
	return v.probes + 1
}

// tooSlow tells whether the backend server is far slower than is usual for its service.
func (s *Scheduler) tooSlow(v *server) bool {
	return v.slowness() >= slowPace*s.usual[v.state.Service]
}

func (s *Scheduler) ofStep(j *job, step int, v *server) int {
	n := 0
	for _, a := range v.runs {
		if a.job == j && a.task.step == step {
			n++
		}
	}
	return n
}

// cost is the expected run time in seconds, and a share of it for a crowded backend server. Short
// tasks count at the speed at which all backend servers meet the objective, so that the fast ones
// stay free for long tasks.
func (s *Scheduler) cost(j *job, t *task, v *server) float64 {
	expected := j.expected(t)
	slow := v.slowness() * s.distance(j.Steps[t.step], v)
	weight := crowding
	if expected < longTask && slow < j.Queue.Stretch {
		slow = 1
		weight = 1
	}
	seconds := expected.Seconds() * slow
	return seconds + seconds*weight*v.use()
}

// distance is how many times longer a task of the step runs on the backend server than near its data.
func (s *Scheduler) distance(step Step, v *server) float64 {
	if step.Affinity == "" || v.state.HasLabel(step.Affinity) {
		return 1
	}
	return max(1, s.limits.FarFactor)
}

// use is the share of the backend server's processor that is taken.
func (v *server) use() float64 {
	if v.state.Room.CPU <= 0 {
		return 1
	}
	return 1 - float64(v.room().CPU)/float64(v.state.Room.CPU)
}

func (s *Scheduler) order(now time.Time, j *job, t *task, v *server) {
	step := j.Steps[t.step]
	a := &attempt{
		ref: s.newRun(now, t), job: j, task: t, server: v, demand: step.Demand, seq: v.seq + 1, ordered: now, begun: now,
		distance: s.distance(step, v),
	}
	t.state = placed
	t.run = a
	t.attempts++
	s.note(Note{
		Kind: Placed, Agent: v.agent, Ref: a.ref, Attempt: t.attempts, Age: now.Sub(v.heard), Free: v.room().CPU,
		Expected: time.Duration(float64(j.expected(t)) * a.pace()),
	})
	v.runs[a.ref] = a
	v.lastOrder = now
	v.probes = s.probesAfter(v)
	v.unacked = append(v.unacked, a)
	if j.started.IsZero() {
		j.started = now
	}
	b := s.batch(v)
	b.Orders = append(b.Orders, Order{
		Ref: a.ref, Demand: a.demand, Spec: j.Spec, Checkpoint: t.checkpoint,
		Instance: v.state.Instance, MaxPerServer: step.MaxPerServer, Label: step.Label,
	})
}

// forget removes a run that has certainly ended.
func (s *Scheduler) forget(a *attempt) {
	delete(a.server.runs, a.ref)
	kept := a.server.unacked[:0]
	for _, o := range a.server.unacked {
		if o != a {
			kept = append(kept, o)
		}
	}
	clear(a.server.unacked[len(kept):])
	a.server.unacked = kept
	if a.task.run == a {
		a.task.run = nil
	}
}

// capacity is the processor room of the backend servers that take work, each at its own speed, and the
// part of the plain room that is in use.
func (s *Scheduler) capacity(service string) (atSpeed float64, used int64, servers, entries int) {
	for _, v := range s.fleet {
		if !v.takes(s.out) || v.state.Service != service {
			continue
		}
		servers++
		entries = max(entries, v.entries)
		used += v.state.Room.CPU - max(0, v.room().CPU)
		if !v.health.Suspended() {
			atSpeed += float64(v.state.Room.CPU) / v.slowness()
		}
	}
	return atSpeed, used, servers, entries
}

// own is the processor room that this entry's runs occupy.
func (s *Scheduler) own(service string) int64 {
	var sum int64
	for _, v := range s.fleet {
		if v.state.Service != service {
			continue
		}
		for _, a := range v.runs {
			sum += a.demand.CPU
		}
	}
	return sum
}

func requeue(t *task, e run.Event) {
	t.state = waiting
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
}
