package jobs

import "time"

const (
	// minEntryShare is the share of the backend servers that an entry assumes while it does not know
	// how many other entries use them.
	minEntryShare = 0.2
	// minLateShare is the least fraction of the throughput that late jobs are assumed to get.
	minLateShare = 0.05
)

// expectedWait returns how long the jobs in the lists that come before j take at this entry's
// throughput.
func (s *Scheduler) expectedWait(now time.Time, j *job, lists ...[]*job) time.Duration {
	backlog := s.backlog(j, lists)
	if backlog == 0 {
		return 0
	}
	throughput := s.throughput(now, j.Queue.Service, s.poolOf(j))
	if throughput <= 0 && s.WarmingUp(now) {
		return 0
	}
	if throughput <= 0 {
		return defaultRetryAfter
	}
	reserved := min(maxReservedFraction, s.reservedFraction(now, j))
	throughput *= 1 - reserved
	if reserved > 0 && !j.queued {
		backlog += j.cpuTimeBeforeLast()
	}
	return span(backlog / throughput * float64(time.Second))
}

// expectedLateWait returns how long a late job is expected to wait. New jobs come before all late ones,
// so late jobs get only the throughput that new jobs leave, which the admission rate estimates.
func (s *Scheduler) expectedLateWait(now time.Time, j *job) time.Duration {
	wait := s.expectedWait(now, j, s.onTime, s.late)
	admitted := s.admissionRates[s.loadKey(j)]
	throughput := s.throughput(now, j.Queue.Service, s.poolOf(j))
	if admitted == nil || throughput <= 0 {
		return wait
	}
	left := max(minLateShare, 1-admitted.rate(now)/throughput)
	return span(float64(wait) / left)
}

// loadKey identifies the backend servers whose load the job shares: those of its service, or of the bulkhead.
func (s *Scheduler) loadKey(j *job) loadKey {
	return loadKey{service: j.Queue.Service, confined: s.confined(j)}
}

// loadKey is the service of a job and whether its kind is confined.
type loadKey struct {
	service  string
	confined bool
}

// recordAdmission adds the work of an admitted job to the admission rate of the backend servers that it shares.
func (s *Scheduler) recordAdmission(now time.Time, j *job) {
	admitted := s.admissionRates[s.loadKey(j)]
	if admitted == nil {
		admitted = &admissionRate{}
		s.admissionRates[s.loadKey(j)] = admitted
	}
	admitted.add(now, j.cpuTime())
}

// backlog returns the CPU time, in millicore-seconds, that the jobs before j need on the backend
// servers that j may use.
func (s *Scheduler) backlog(j *job, lists [][]*job) float64 {
	own := s.poolOf(j)
	share := s.poolShare(j.Queue.Service, own)
	sum := 0.0
	for _, list := range lists {
		for _, o := range list {
			if o == j || o.Queue.Service != j.Queue.Service || o.late == j.late && o.queueKey.After(j.queueKey) {
				continue
			}
			switch other := s.poolOf(o); {
			case other.confined != own.confined:
			case other == own:
				sum += o.waitingCPUTime()
			case other.wholeService():
				sum += share * o.waitingCPUTime()
			}
		}
	}
	return sum
}

// poolShare returns the fraction of the service's capacity that belongs to the pool.
func (s *Scheduler) poolShare(service string, p pool) float64 {
	if p.wholeService() {
		return 1
	}
	all := s.capacity(service, pool{confined: p.confined})
	if all.effectiveCPU <= 0 {
		return 0
	}
	return s.capacity(service, p).effectiveCPU / all.effectiveCPU
}

// throughput returns the rate at which this entry completes work, in millicore-seconds of declared run
// time per second: its present share of the backend servers that accept tasks.
func (s *Scheduler) throughput(now time.Time, service string, p pool) float64 {
	c := s.capacity(service, p)
	connecting := s.opening
	if s.WarmingUp(now) {
		connecting = max(connecting, s.expected.agents-c.servers)
	}
	if c.servers > 0 {
		c.effectiveCPU *= float64(c.servers+connecting) / float64(c.servers)
	}
	share := minEntryShare
	if c.entries > 0 {
		share = 1 / float64(c.entries)
	}
	if c.usedCPU > 0 {
		share = max(share, float64(s.ownCPU(service, p))/float64(c.usedCPU))
	}
	return share * c.effectiveCPU
}

// capacity is the CPU capacity of the backend servers that accept tasks, in millicores.
type capacity struct {
	// effectiveCPU is the capacity of the servers that are not suspended, each divided by its
	// slowdown.
	effectiveCPU float64
	// usedCPU is the capacity in use, not adjusted for speed.
	usedCPU int64
	// servers is the number of servers, entries the largest number of entries that share one of them.
	servers, entries int
}

// capacity returns the capacity of the pool's backend servers.
func (s *Scheduler) capacity(service string, p pool) capacity {
	var c capacity
	for _, v := range s.fleet {
		if !v.acceptsTasks(s.outOfService) || v.state.Service != service || !p.contains(v) {
			continue
		}
		c.servers++
		c.entries = max(c.entries, v.entries)
		c.usedCPU += v.usedCPU()
		if !v.health.Suspended() {
			c.effectiveCPU += float64(v.state.Capacity.CPU) / v.slowdown()
		}
	}
	return c
}

// ownCPU returns the CPU capacity that this entry's runs occupy in the pool, in millicores.
func (s *Scheduler) ownCPU(service string, p pool) int64 {
	var sum int64
	for _, v := range s.fleet {
		if v.state.Service != service || !p.contains(v) {
			continue
		}
		sum += v.ownCPU()
	}
	return sum
}

// usedCPU returns the CPU capacity in use, at least that of the entry's own runs: the capacity may have shrunk
// below what runs.
func (v *server) usedCPU() int64 {
	return max(v.state.Capacity.CPU-max(0, v.available().CPU), v.ownCPU())
}

// ownCPU returns the CPU capacity that this entry's runs occupy.
func (v *server) ownCPU() int64 {
	var sum int64
	for _, a := range v.runs {
		sum += a.demand.CPU
	}
	return sum
}
