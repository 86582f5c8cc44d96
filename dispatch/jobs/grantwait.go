package jobs

import "time"

// Jobs that wait for their grants leave the capacity idle that their tasks will use. When the grants come, they start side by side,
// not one after the other at the throughput of the entry.

// lateWait returns how long a late job is expected to wait. For one that waits for its grant, only the tasks before it count that do
// not fit on the entry's share of the idle capacity: in the second after a loss of power, jobs were rejected for a backlog that could
// have started at once.
func (s *Scheduler) lateWait(now time.Time, j *job) time.Duration {
	wait := s.expectedLateWait(now, j)
	if wait == 0 || j.mayOrder {
		return wait
	}
	waiting := s.waitingCPU(j)
	excess := waiting - s.idleShare(now, j)
	if excess <= 0 {
		return 0
	}
	return span(float64(wait) * excess / waiting)
}

// waitingCPU returns the CPU capacity, in millicores, that the waiting tasks of the job and of those before it in the queues need.
func (s *Scheduler) waitingCPU(j *job) float64 {
	sum := 0.0
	for _, list := range [][]*job{s.onTime, s.late} {
		for _, o := range list {
			if o.Queue.Service != j.Queue.Service || o.late == j.late && o.queueKey.After(j.queueKey) {
				continue
			}
			for _, t := range o.tasks {
				if t.state == taskWaiting && o.runnable(t) {
					sum += float64(o.Steps[t.step].Demand.CPU)
				}
			}
		}
	}
	return sum
}

// idleShare returns the part of the idle capacity that this entry may use, in millicores: the share of the backend servers that it
// has in its throughput.
func (s *Scheduler) idleShare(now time.Time, j *job) float64 {
	p := s.poolOf(j)
	c := s.capacity(j.Queue.Service, p)
	if c.effectiveCPU <= 0 {
		return 0
	}
	idle := 0.0
	for _, v := range s.fleet {
		if v.acceptsTasks(s.outOfService) && v.state.Service == j.Queue.Service && p.contains(v) && !v.health.Suspended() {
			idle += float64(max(0, v.available().CPU))
		}
	}
	return min(1, s.throughput(now, j.Queue.Service, p)/c.effectiveCPU) * idle
}
