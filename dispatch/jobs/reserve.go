package jobs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"poplargw.example/dispatch/quota"
)

const (
	// maxReservedFraction is the largest part of a backend server that tasks of less urgent queues leave free.
	maxReservedFraction = 0.25
	// queueLoadTTL is how long after its last arrival a queue counts. Its capacity is lent meanwhile, because its arrival rate falls
	// within admissionWindow.
	queueLoadTTL = 30 * time.Second
	// queueLoadWeight is the weight of a new job in the means of a queue.
	queueLoadWeight = 0.05
)

// queueName identifies a queue of one service.
type queueName struct{ service, name string }

// queueLoad is what arrives in one queue at this entry.
type queueLoad struct {
	priority  int
	rate      admissionRate // of all arriving work, also of rejected jobs
	jobCPU    float64       // mean CPU demand of a job, in millicores
	taskCPU   int64         // largest CPU demand of a task, in millicores
	objective time.Duration // mean latency objective
	at        time.Time     // of the newest arrival
}

// reserveKey identifies the jobs that leave the same capacity free.
type reserveKey struct {
	service  string
	priority int
}

// reserve is the part of the capacity that jobs leave free, as computed at a time.
type reserve struct {
	at       time.Time
	fraction float64
}

// recordArrival adds a job to the load of its queue.
func (s *Scheduler) recordArrival(now time.Time, j *job) {
	if !s.limits.ReserveForUrgent {
		return
	}
	key := queueName{j.Queue.Service, j.Queue.Name}
	q := s.queueLoads[key]
	if q == nil {
		maps.DeleteFunc(s.queueLoads, func(_ queueName, q *queueLoad) bool { return now.Sub(q.at) > queueLoadTTL })
		q = &queueLoad{jobCPU: j.cpuDemand(), objective: j.latencyObjective()}
		s.queueLoads[key] = q
	}
	q.priority, q.at = j.Queue.Priority, now
	q.rate.add(now, j.cpuTime())
	q.jobCPU += queueLoadWeight * (j.cpuDemand() - q.jobCPU)
	q.objective += time.Duration(queueLoadWeight * float64(j.latencyObjective()-q.objective))
	q.taskCPU = 0
	for _, step := range j.Steps {
		q.taskCPU = max(q.taskCPU, step.Demand.CPU)
	}
}

// cpuDemand returns the CPU demand of all tasks together, in millicores.
func (j *job) cpuDemand() float64 {
	sum := 0.0
	for _, t := range j.tasks {
		sum += float64(j.Steps[t.step].Demand.CPU)
	}
	return sum
}

// protects reports whether tasks of the job leave capacity free for the queue. A kind that is confined to the bulkhead of its service
// cannot use the other backend servers.
func (s *Scheduler) protects(now time.Time, key queueName, q *queueLoad, j *job) bool {
	if s.bulkheads.active && s.bulkheads.isConfined(key.service, key.name) {
		return false
	}
	return key.service == j.Queue.Service && q.priority < j.Queue.Priority && now.Sub(q.at) <= queueLoadTTL
}

// reservedFraction returns the part of the capacity that a job which has not started leaves free for more urgent queues of its
// service. It is 0 where no queue is more urgent.
func (s *Scheduler) reservedFraction(now time.Time, j *job) float64 {
	if !s.limits.ReserveForUrgent || j.Queue.Priority == 0 || len(s.queueLoads) < 2 || !j.startedAt.IsZero() || s.confined(j) {
		return 0
	}
	key := reserveKey{j.Queue.Service, j.Queue.Priority}
	if r, ok := s.reserves[key]; ok && r.at.Equal(now) {
		return r.fraction
	}
	fraction := s.computeReserve(now, j)
	s.reserves[key] = reserve{now, fraction}
	return fraction
}

// reserveTTL is how long Stats reports a reserve that no decision has computed again.
const reserveTTL = time.Second

// forgetReserves drops the reserves that no decision has computed again for reserveTTL.
func (s *Scheduler) forgetReserves(now time.Time) {
	maps.DeleteFunc(s.reserves, func(_ reserveKey, r reserve) bool { return now.Sub(r.at) > reserveTTL })
}

// computeReserve is reservedFraction without the cache. The loads of the other entries are taken to be like those of this one.
func (s *Scheduler) computeReserve(now time.Time, j *job) float64 {
	var keys []queueName
	for key, q := range s.queueLoads {
		if s.protects(now, key, q, j) {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return 0
	}
	// The sum of the loads depends on their order in the last bit.
	slices.SortFunc(keys, func(a, b queueName) int { return cmp.Compare(a.name, b.name) })
	c := s.capacity(j.Queue.Service, pool{})
	used := s.ownCPUByQueue(j.Queue.Service)
	var loads []quota.Load
	for _, key := range keys {
		q := s.queueLoads[key]
		own := quota.Load{Offered: q.rate.rate(now), JobSize: q.jobCPU, Used: used[key.name]}
		loads = append(loads, own.Scaled(max(1, c.entries)))
	}
	return quota.ReservedFraction(c.effectiveCPU, loads)
}

// ownCPUByQueue returns the CPU capacity that the runs of this entry take, by queue, in millicores.
func (s *Scheduler) ownCPUByQueue(service string) map[string]float64 {
	used := map[string]float64{}
	for _, v := range s.fleet {
		if v.state.Service != service {
			continue
		}
		for _, a := range v.runs {
			used[a.job.Queue.Name] += float64(a.demand.CPU)
		}
	}
	return used
}

// reservedCPU returns the CPU capacity, in millicores, that the task leaves free on the backend server. It is at most one task of each
// more urgent queue whose objective is shorter than the task runs: a shorter task ends in time for such a queue to follow it.
func (s *Scheduler) reservedCPU(now time.Time, j *job, t *task, v *server) int64 {
	fraction := s.reservedFraction(now, j)
	if fraction <= 0 {
		return 0
	}
	limit := int64(0)
	for key, q := range s.queueLoads {
		if s.protects(now, key, q, j) && j.expectedRunTime(t) > q.objective {
			limit += q.taskCPU
		}
	}
	capacity := float64(v.state.Capacity.CPU)
	return min(limit, int64(min(fraction, maxReservedFraction)*capacity))
}

// leavesReserve reports whether the backend server keeps the reserved capacity free with one more task like t.
func (s *Scheduler) leavesReserve(now time.Time, j *job, t *task, v *server) bool {
	reserved := s.reservedCPU(now, j, t, v)
	return reserved == 0 || v.available().CPU-j.Steps[t.step].Demand.CPU >= reserved
}

// cpuTimeBeforeLast returns the CPU time, in millicore-seconds, that the tasks of a new job need without the last one. A job that must
// leave capacity free seldom starts all its tasks at once: the last one starts when runs have ended for the others as well. Without
// it, a quarter of the rejections in a burst came late.
func (j *job) cpuTimeBeforeLast() float64 {
	return j.waitingCPUTime() * float64(len(j.tasks)-1) / float64(len(j.tasks))
}
