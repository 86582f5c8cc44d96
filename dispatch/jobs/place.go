package jobs

import "time"

// maxBlocked bounds how many blocked jobs of the same shape a pass examines. Jobs of other shapes are
// still examined: a pass that ended at the first twelve blocked jobs left backend servers of other
// services idle.
const maxBlocked = 12

// pass is one attempt to place waiting jobs on a set of backend servers.
type pass struct {
	now     time.Time
	servers []*server
	blocked map[shape]int // number of blocked jobs
}

// dispatch places waiting tasks on all backend servers until nothing fits. It compares every waiting
// task with every server, so it runs once per tick; capacity that becomes free in between is handled by
// dispatchTo.
func (s *Scheduler) dispatch(now time.Time) { s.dispatchAmong(now, s.fleet) }

// dispatchTo places waiting tasks on a single backend server whose free capacity has changed. In an
// overloaded large fleet jobs always wait and every end of a run is reported: examining all servers for
// each report took more CPU time than a small VM has.
func (s *Scheduler) dispatchTo(now time.Time, v *server) {
	s.singleServer[0] = v
	s.dispatchAmong(now, s.singleServer[:])
}

// dispatchJob places the waiting tasks of one job, unless maxBlocked jobs of its shape come before it.
func (s *Scheduler) dispatchJob(now time.Time, j *job) {
	if !j.queued || s.jobsAhead(j) >= maxBlocked {
		return
	}
	s.updateQueue(now, j, s.placeJob(&pass{now: now, servers: s.fleet, blocked: map[shape]int{}}, j))
}

// jobsAhead returns how many jobs of the same shape come before the job in its queue. It stops counting
// at maxBlocked.
func (s *Scheduler) jobsAhead(j *job) int {
	n := 0
	want := j.waitingShape()
	for _, o := range *s.queueOf(j) {
		if o == j || n == maxBlocked {
			break
		}
		if o.waitingShape() == want {
			n++
		}
	}
	return n
}

// dispatchAmong places waiting tasks on the given backend servers, those of jobs on time first.
func (s *Scheduler) dispatchAmong(now time.Time, servers []*server) {
	s.placeList(now, s.onTime, servers)
	s.placeList(now, s.late, servers)
}

// placeList places the waiting tasks of the jobs in the list, in order.
func (s *Scheduler) placeList(now time.Time, list []*job, servers []*server) {
	if len(list) == 0 {
		return
	}
	p := &pass{now: now, servers: servers, blocked: map[shape]int{}}
	var changed []placementResult
	for _, j := range list {
		if r := s.placeJob(p, j); r != nonePlaced {
			changed = append(changed, placementResult{j, r})
		}
	}
	for _, c := range changed {
		s.updateQueue(now, c.job, c.result)
	}
}

// placement is the result of an attempt to place a job's waiting tasks.
type placement int

const (
	// nonePlaced: the job's position in the queue stays the same.
	nonePlaced placement = iota
	// firstPlaced: the job has started, and some of its tasks still wait.
	firstPlaced
	// allPlaced: no task waits.
	allPlaced
)

// placementResult is a job with the result of placing its tasks.
type placementResult struct {
	job    *job
	result placement
}

// updateQueue corrects the position of a job after a placement: a job that has started comes before
// those that have not, and a job without waiting tasks leaves the queue.
func (s *Scheduler) updateQueue(now time.Time, j *job, r placement) {
	if r == nonePlaced {
		return
	}
	s.dequeue(j)
	if r == firstPlaced {
		s.enqueue(now, j)
	}
}

// placeJob places the job's runnable tasks on the backend servers of the pass.
func (s *Scheduler) placeJob(p *pass, j *job) placement {
	if !j.mayOrder {
		return nonePlaced
	}
	started, all := j.startedAt, true
	blockedStep := -1 // the step of which no more tasks can be placed
	for _, t := range j.tasks {
		if t.state != taskWaiting || !j.runnable(t) {
			continue
		}
		shape := j.steps[t.step].shape
		if t.step == blockedStep || p.blocked[shape] >= maxBlocked {
			all = false
			continue
		}
		v := s.pickServer(p.now, j, t, p.servers)
		if v != nil {
			s.orderRun(p.now, j, t, v)
			continue
		}
		all = false
		// The tasks of a step are alike, but a task that avoids some servers may be blocked while
		// another can be placed.
		if len(t.avoided) > 0 {
			continue
		}
		blockedStep = t.step
		if !s.blockedByOwnTasks(p, j, t) {
			p.blocked[shape]++
		}
	}
	switch {
	case all:
		return allPlaced
	case started != j.startedAt:
		return firstPlaced
	}
	return nonePlaced
}

// blockedByOwnTasks reports whether some backend server has capacity for the task and only the step's
// MaxPerServer prevents its placement there. There are never more such jobs than runs, so they do not
// count towards maxBlocked.
func (s *Scheduler) blockedByOwnTasks(p *pass, j *job, t *task) bool {
	step := j.Steps[t.step]
	if step.MaxPerServer <= 0 {
		return false
	}
	for _, v := range p.servers {
		if s.runsOfStep(j, t.step, v) >= step.MaxPerServer && s.hasCapacity(p.now, j, t, v) {
			return true
		}
	}
	return false
}

// pickServer returns the eligible backend server with the lowest cost, or nil if there is none.
func (s *Scheduler) pickServer(now time.Time, j *job, t *task, servers []*server) *server {
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
