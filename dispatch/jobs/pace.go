package jobs

import "time"

const (
	// minShare is the least share of the backend servers that an entry counts on while it does not know
	// with how many others it shares them.
	minShare = 0.2
	// leastLeft is the least part of the pace that late jobs are taken to get.
	leastLeft = 0.05
)

// wait is how long the tasks of those jobs that come before j need at the rate at which this entry
// gets room.
func (s *Scheduler) wait(now time.Time, j *job, lists ...[]*job) time.Duration {
	backlog := s.backlog(j, lists)
	if backlog == 0 {
		return 0
	}
	pace := s.pace(now, j.Queue.Service, j.waitsFor().pool())
	if pace <= 0 && s.Warming(now) {
		return 0
	}
	if pace <= 0 {
		return retryLater
	}
	return time.Duration(backlog / pace * float64(time.Second))
}

// waitBehind is how long a late job waits at what new jobs, which all come before it, leave of the pace.
func (s *Scheduler) waitBehind(now time.Time, j *job) time.Duration {
	wait := s.wait(now, j, s.onTime, s.late)
	in := s.intakes[j.Queue.Service]
	pace := s.pace(now, j.Queue.Service, j.waitsFor().pool())
	if in == nil || pace <= 0 {
		return wait
	}
	left := max(leastLeft, 1-in.rate(now)/pace)
	return time.Duration(float64(wait) / left)
}

// admitted notes the work of a job that was taken in.
func (s *Scheduler) admitted(now time.Time, j *job) {
	in := s.intakes[j.Queue.Service]
	if in == nil {
		in = &intake{}
		s.intakes[j.Queue.Service] = in
	}
	in.add(now, j.demand())
}

// backlog is the processor time, in thousandths of a core times seconds, that the jobs before j need of the
// backend servers which j may use.
func (s *Scheduler) backlog(j *job, lists [][]*job) float64 {
	mine := j.waitsFor().pool()
	common := s.commonShare(j.Queue.Service, mine)
	sum := 0.0
	for _, list := range lists {
		for _, o := range list {
			if o == j || o.Queue.Service != j.Queue.Service || o.late == j.late && o.key.After(j.key) {
				continue
			}
			switch theirs := o.waitsFor().pool(); {
			case theirs == mine:
				sum += o.waitingDemand()
			case theirs.plain():
				sum += common * o.waitingDemand()
			}
		}
	}
	return sum
}

// commonShare is the share of the service's room that is in the pool.
func (s *Scheduler) commonShare(service string, p pool) float64 {
	if p.plain() {
		return 1
	}
	all := s.capacity(service, pool{})
	if all.atSpeed <= 0 {
		return 0
	}
	return s.capacity(service, p).atSpeed / all.atSpeed
}

// pace is the processor time, in thousandths of a core times seconds of declared run time, that this
// entry's tasks get done each second: its present share of the backend servers that work.
func (s *Scheduler) pace(now time.Time, service string, p pool) float64 {
	c := s.capacity(service, p)
	coming := s.opening
	if s.Warming(now) {
		coming = max(coming, s.expected.agents-c.servers)
	}
	if c.servers > 0 {
		c.atSpeed *= float64(c.servers+coming) / float64(c.servers)
	}
	share := minShare
	if c.entries > 0 {
		share = 1 / float64(c.entries)
	}
	if c.used > 0 {
		share = max(share, float64(s.own(service, p))/float64(c.used))
	}
	return share * c.atSpeed
}

// capacity is the processor room of backend servers that take work.
type capacity struct {
	// atSpeed is the room at each backend server's own speed.
	atSpeed float64
	// used is the part of the plain room that is in use.
	used             int64
	servers, entries int
}

func (s *Scheduler) capacity(service string, p pool) capacity {
	var c capacity
	for _, v := range s.fleet {
		if !v.takes(s.out) || v.state.Service != service || !p.has(&v.state) {
			continue
		}
		c.servers++
		c.entries = max(c.entries, v.entries)
		c.used += v.state.Room.CPU - max(0, v.room().CPU)
		if !v.health.Suspended() {
			c.atSpeed += float64(v.state.Room.CPU) / v.slowness()
		}
	}
	return c
}

// own is the processor room that this entry's runs occupy.
func (s *Scheduler) own(service string, p pool) int64 {
	var sum int64
	for _, v := range s.fleet {
		if v.state.Service != service || !p.has(&v.state) {
			continue
		}
		for _, a := range v.runs {
			sum += a.demand.CPU
		}
	}
	return sum
}
