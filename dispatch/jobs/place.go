package jobs

import "time"

// maxBlocked bounds how many jobs that wait for the same thing one pass looks at. Those that wait for
// something else are looked at all the same: a pass that ended at the first twelve jobs without a place left
// other services' backend servers idle.
const maxBlocked = 12

// pass is one look at waiting jobs and the backend servers that they may be placed on.
type pass struct {
	now     time.Time
	servers []*server
	blocked map[shape]int // jobs without a place
}

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

// dispatchJob places the waiting tasks of one job, unless enough others that wait for the same thing come
// before it.
func (s *Scheduler) dispatchJob(now time.Time, j *job) {
	if !j.queued || s.ahead(j) >= maxBlocked {
		return
	}
	s.requeue(now, j, s.placeJob(&pass{now: now, servers: s.fleet, blocked: map[shape]int{}}, j))
}

// ahead is the number of jobs of one shape with the job that come before it, up to maxBlocked.
func (s *Scheduler) ahead(j *job) int {
	n := 0
	want := j.waitsFor()
	for _, o := range *s.list(j) {
		if o == j || n == maxBlocked {
			break
		}
		if o.waitsFor() == want {
			n++
		}
	}
	return n
}

func (s *Scheduler) dispatchAmong(now time.Time, servers []*server) {
	s.placeList(now, s.onTime, servers)
	s.placeList(now, s.late, servers)
}

func (s *Scheduler) placeList(now time.Time, list []*job, servers []*server) {
	if len(list) == 0 {
		return
	}
	p := &pass{now: now, servers: servers, blocked: map[shape]int{}}
	var changed []tried
	for _, j := range list {
		if r := s.placeJob(p, j); r != nonePlaced {
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

// placeJob places the job's runnable tasks among the servers of the pass.
func (s *Scheduler) placeJob(p *pass, j *job) placement {
	started, all := j.started, true
	full := -1 // the step of which no task finds a place
	for _, t := range j.tasks {
		if t.state != waiting || !j.runnable(t) {
			continue
		}
		shape := j.steps[t.step].shape
		if t.step == full || p.blocked[shape] >= maxBlocked {
			all = false
			continue
		}
		v := s.pick(p.now, j, t, p.servers)
		if v != nil {
			s.order(p.now, j, t, v)
			continue
		}
		all = false
		// The tasks of a step are alike, and one that avoids no backend server can go to the most.
		if len(t.avoid) > 0 {
			continue
		}
		full = t.step
		if !s.blocksItself(p, j, t) {
			p.blocked[shape]++
		}
	}
	switch {
	case all:
		return allPlaced
	case started != j.started:
		return firstPlaced
	}
	return nonePlaced
}

// blocksItself tells whether the task waits only because as many of its step as may be are on each backend
// server with room. There are never more such jobs than runs.
func (s *Scheduler) blocksItself(p *pass, j *job, t *task) bool {
	step := j.Steps[t.step]
	if step.MaxPerServer <= 0 {
		return false
	}
	for _, v := range p.servers {
		if s.ofStep(j, t.step, v) >= step.MaxPerServer && s.hasRoom(p.now, j, t, v) {
			return true
		}
	}
	return false
}

// pick chooses the backend server with the lowest cost among those that have room, or none.
func (s *Scheduler) pick(now time.Time, j *job, t *task, servers []*server) *server {
	var best *server
	lowest := 0.0
	for _, v := range servers {
		if !s.eligible(now, j, t, v) {
			continue
		}
		cost := s.cost(now, j, t, v)
		if best == nil || cost < lowest || cost == lowest && v.agent < best.agent {
			best, lowest = v, cost
		}
	}
	return best
}
