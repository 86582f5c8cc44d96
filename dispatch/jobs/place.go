package jobs

import (
	"slices"
	"time"
)

// maxBlocked bounds how many jobs without a place one pass looks at.
const maxBlocked = 12

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
