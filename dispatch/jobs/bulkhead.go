package jobs

import (
	"maps"
	"slices"
	"time"
)

const (
	// simultaneousCrashes is the time within which crashes count as one: they have a cause outside the tasks,
	// such as a rack that lost power.
	simultaneousCrashes = 30 * time.Millisecond
	// burstCrashes within burstWindow make a burst, after which the kind of request that most likely causes it is
	// confined to a part of the backend servers. Two crashes suffice if both had the same task.
	burstCrashes  = 3
	burstWindow   = 3 * time.Second
	repeatCrashes = 2
	// bulkheadShare is the share of the backend servers of a service to which kinds are confined.
	bulkheadShare = 0.25
	// A confined kind is released when it has had backend servers for releaseAfter without another crash and
	// releaseJobs of its jobs have completed at this entry; after maxConfined without a crash in any case.
	releaseAfter = 2 * time.Second
	releaseJobs  = 20
	maxConfined  = 10 * time.Second
	// othersHold is how long a kind stays confined after the newest report that another entry confines it. Agents
	// send a frame at least every 120 ms.
	othersHold = 500 * time.Millisecond
	// kindMemory is how long a kind without new jobs counts as one that shares the service.
	kindMemory = 30 * time.Second
)

// kindState is what is known of one kind of request of a service.
type kindState struct {
	arrived time.Time // arrival of the newest job
	// confined is set while the kind is confined; served is for how long it has had backend servers, or the service
	// too few for a bulkhead, since the newest crash.
	confined bool
	served   time.Duration
	// completed counts the jobs that have completed since that crash, crashed the crashes since the kind was
	// confined.
	completed, crashed int
	// othersUntil is the end of the time for which the kind is confined because other entries confine it.
	othersUntil time.Time
	byOthers    bool // that time has not passed
}

// serviceCrashes is what is known of the crashes and kinds of request of a service.
type serviceCrashes struct {
	kinds  map[string]*kindState // by the name of the queue
	recent []recentCrash         // within burstWindow
	// active is set while some backend servers are set apart for confined kinds.
	active bool
}

// bulkheads confines the kinds of request that crash backend servers, so that the other kinds keep the rest.
type bulkheads struct {
	services map[string]*serviceCrashes
	active   bool      // a kind of some service is confined
	at       time.Time // time of the newest update
}

func newBulkheads() *bulkheads { return &bulkheads{services: map[string]*serviceCrashes{}} }

// service returns the state of a service.
func (b *bulkheads) service(name string) *serviceCrashes {
	if b.services[name] == nil {
		b.services[name] = &serviceCrashes{kinds: map[string]*kindState{}}
	}
	return b.services[name]
}

// kind returns the state of a kind.
func (c *serviceCrashes) kind(name string) *kindState {
	if c.kinds[name] == nil {
		c.kinds[name] = &kindState{}
	}
	return c.kinds[name]
}

// addCrash records a crash at the given time and returns the kind that is confined because of it, or "".
// Reports of crashes need not come in order of time.
func (b *bulkheads) addCrash(now time.Time, service string, crash recentCrash) string {
	c := b.service(service)
	if now.Sub(crash.at) > burstWindow || c.explains(crash) {
		return ""
	}
	c.recent = slices.DeleteFunc(c.recent, func(s recentCrash) bool { return now.Sub(s.at) > burstWindow })
	for i := range c.recent {
		if c.recent[i].at.Sub(crash.at).Abs() <= simultaneousCrashes {
			c.recent[i].merge(crash)
			return ""
		}
	}
	c.recent = append(c.recent, crash)
	name := c.likelyCause()
	if name == "" || c.kind(name).confined || !c.hasOthers(now, name) {
		return ""
	}
	c.releaseOthers()
	*c.kind(name) = kindState{arrived: c.kind(name).arrived, confined: true}
	c.recent = nil
	return name
}

// explains reports whether a confined kind had a run on the backend server that crashed. The crash is then no
// evidence against others. It is held against the confined kind that caused it most likely.
func (c *serviceCrashes) explains(crash recentCrash) bool {
	var cause *kindState
	best := 0.0
	for name, k := range c.kinds {
		if crash.present[name] && k.isConfined() && (cause == nil || crash.evidence[name] > best) {
			cause, best = k, crash.evidence[name]
		}
	}
	if cause == nil {
		return false
	}
	cause.served, cause.completed = 0, 0
	cause.crashed++
	return true
}

// releaseOthers releases the kinds that have crashed nothing since they were confined: another kind has caused
// the crashes.
func (c *serviceCrashes) releaseOthers() {
	for _, k := range c.kinds {
		if k.crashed == 0 {
			k.confined = false
		}
	}
}

// mayBeReleased reports whether the kind has done enough without another crash. Without a bulkhead, none of its
// jobs can run.
func (k *kindState) mayBeReleased(bulkhead bool) bool {
	return k.served > releaseAfter && (k.completed >= releaseJobs || !bulkhead) || k.served > maxConfined
}

// hasOthers reports whether another kind of the service has had jobs lately and is not confined. A kind that
// has the service to itself is not confined: there is nobody to protect from it.
func (c *serviceCrashes) hasOthers(now time.Time, name string) bool {
	for other, k := range c.kinds {
		if other != name && !k.isConfined() && now.Sub(k.arrived) <= kindMemory {
			return true
		}
	}
	return false
}

// allOthersConfined reports whether other kinds of the service have had jobs lately and all of them are confined.
func (c *serviceCrashes) allOthersConfined(now time.Time, name string) bool {
	known := false
	for other, k := range c.kinds {
		if other == name || now.Sub(k.arrived) > kindMemory {
			continue
		}
		if !k.isConfined() {
			return false
		}
		known = true
	}
	return known
}

// confineByOthers confines the kinds that other entries confine. One kind always keeps the rest of the service:
// entries with different evidence may together confine all of them.
func (c *serviceCrashes) confineByOthers(now time.Time) {
	for _, k := range c.kinds {
		k.byOthers = false
	}
	for _, name := range slices.Sorted(maps.Keys(c.kinds)) {
		k := c.kinds[name]
		k.byOthers = now.Before(k.othersUntil) && !c.allOthersConfined(now, name)
	}
}

// isConfined reports whether the kind is confined.
func (b *bulkheads) isConfined(service, name string) bool {
	c := b.services[service]
	if c == nil || c.kinds[name] == nil {
		return false
	}
	return c.kinds[name].isConfined()
}

// anyConfined reports whether a kind of the service is confined.
func (b *bulkheads) anyConfined(service string) bool {
	c := b.services[service]
	if c == nil {
		return false
	}
	for _, k := range c.kinds {
		if k.isConfined() {
			return true
		}
	}
	return false
}

func (k *kindState) isConfined() bool { return k.confined || k.byOthers }

// recordOthers records that other entries confine kinds of the service. It reports whether that is news.
func (b *bulkheads) recordOthers(now time.Time, service string, names []string) bool {
	changed := false
	for _, name := range names {
		k := b.service(service).kind(name)
		changed = changed || !now.Before(k.othersUntil)
		k.othersUntil = now.Add(othersHold)
	}
	return changed
}

// ConfinedKinds returns the kinds that this entry confines on the evidence of crashes, for the service of the
// agent's backend server.
func (s *Scheduler) ConfinedKinds(agent string) []string {
	v := s.servers[agent]
	if v == nil || s.bulkheads.services[v.state.Service] == nil {
		return nil
	}
	var names []string
	for name, k := range s.bulkheads.services[v.state.Service].kinds {
		if k.confined {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// confined reports whether the job's kind is confined.
func (s *Scheduler) confined(j *job) bool {
	return s.bulkheads.active && s.bulkheads.isConfined(j.Queue.Service, j.Queue.Name)
}

// updateBulkheads releases kinds, and chooses the backend servers of each bulkhead.
func (s *Scheduler) updateBulkheads(now time.Time) {
	b := s.bulkheads
	elapsed := now.Sub(b.at)
	b.at = now
	b.active = false
	s.crashes.sweep(now)
	for service, c := range b.services {
		c.confineByOthers(now)
		confined := b.anyConfined(service)
		if confined || c.active {
			s.chooseBulkhead(service, confined)
		}
		c.active = confined
		b.active = b.active || confined
		if !confined {
			continue
		}
		available := s.bulkheadAvailable(service) || !s.hasBulkhead(service)
		for name, k := range c.kinds {
			if k.confined && available {
				k.served += elapsed
			}
			if k.confined && k.mayBeReleased(s.hasBulkhead(service)) {
				k.confined = false
				c.recent = nil
				s.recordDecision(Decision{Kind: Released, Queue: name})
			}
		}
	}
}
