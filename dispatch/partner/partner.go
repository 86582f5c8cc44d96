// Package partner chooses the agents to which an entry keeps links, its partners, when there are
// too many agents for a link to each: with 55 entries and 240 agents, frames between all of them
// took most of the CPU time. It copes with callers that load the entries unevenly, bursts at
// one entry, the loss of a failure domain, and empty backend servers that join. It does no I/O,
// takes the time as a parameter, and is not safe for concurrent use.
//
// Each entry ranks the agents in an order of its own, which is the same after every restart. Its
// base comes first, most of it in the entry's own failure domain, then the other agents. Partners
// that cannot take work are replaced by the next agents in the ranking, and the set grows while
// tasks wait or little of its capacity is free.
package partner

import "time"

const (
	// fullMeshLimit is the number of agents up to which an entry keeps a link to each. The frames
	// of that many links take less than a twentieth of a small VM's CPU time.
	fullMeshLimit = 64
	// localBase is the number of base agents in the entry's own failure domain, and
	// remoteBasePerDomain that in each other domain. Random sets of two dozen agents spread evenly
	// enough that every entry can reach free capacity, and the few remote agents keep an entry
	// working when its own domain is lost.
	localBase           = 24
	remoteBasePerDomain = 1
	// extraPerTask is the number of agents beyond its base that an entry may add for each task that
	// it runs or that waits. The links of all entries together are thus bounded by the number of
	// tasks that the fleet can run.
	extraPerTask = 1
	// minGrowth is the smallest number of agents to add at once. Larger sets grow by one part in
	// growthDivisor.
	minGrowth     = 8
	growthDivisor = 4
	// minGrowthPause and maxGrowthPause bound the pause between two additions. It doubles with each
	// one, because more agents bring no capacity when the whole fleet is full. It returns to the
	// minimum once the last addition has brought at least one run for every two agents, or is more
	// than twice maxGrowthPause ago.
	minGrowthPause = 40 * time.Millisecond
	maxGrowthPause = 1280 * time.Millisecond
	// maxOpening bounds the number of links that are being opened at the same time.
	maxOpening = fullMeshLimit
	// openGrace is how long a new partner counts as working before it has reported that it can take
	// work. Opening a link takes two round trips, and some tens of milliseconds on a slow VM.
	openGrace = 300 * time.Millisecond
	// announceGrace is the corresponding time for a partner with an open link whose backend server
	// has not announced itself. Servers announce themselves every 1.5 s, and after a power failure
	// all of them are about to do so.
	announceGrace = 1600 * time.Millisecond
	// retryBackoff is how long an agent that could not take work is not tried again.
	retryBackoff = 5 * time.Second
	// minFailingPartners is the smallest number of failing partners, if they are also more than
	// half of the partners in their failure domain, that makes the entry choose agents in other
	// domains.
	minFailingPartners = 4
	// scarceCapacity is the free share of the partners' capacity below which an entry adds
	// partners, and ampleCapacity the share above which it removes some.
	scarceCapacity = 0.15
	ampleCapacity  = 0.4
	// shrinkAfter is how long capacity must be ample before partners are removed, and
	// shrinkInterval the time between two removals. Load fluctuates with a period of some seconds.
	shrinkAfter    = 4 * time.Second
	shrinkInterval = time.Second
)

// Agent identifies an agent of the fleet and its failure domain.
type Agent struct {
	ID, Domain string
}

// Load is the entry's work and the capacity of its partners.
type Load struct {
	// Waiting and Runs are the numbers of the entry's waiting and running tasks.
	Waiting, Runs int
	// JobRefused reports that a job was refused because it fits on no partner.
	JobRefused bool
	// Free and Capacity are the free and the total CPU capacity of the partners, in millicores.
	Free, Capacity int64
}

// View is what the entry knows of its partners.
type View interface {
	// Linked reports whether the link to the agent is open.
	Linked(agent string) bool
	// Usable reports whether the agent's backend server can take work: it accepts tasks and is
	// neither suspended nor too slow.
	Usable(agent string) bool
	// HasRuns reports whether the agent may have tasks of the entry.
	HasRuns(agent string) bool
}

// Change is the decision of one step: the agents to open links to, and those whose links to close.
type Change struct {
	Open, Close []string
}

// Set is the set of partners of one entry. Create one with New.
type Set struct {
	entry, domain       string
	ranked              []Agent // the fleet in the entry's order of preference
	base                int     // number of agents in the base, the first in ranked
	members             map[string]*member
	retryAfter          map[string]time.Time // when agents may be tried again
	domainsOut          map[string]bool      // failure domains out of service
	extra               int                  // target number of agents beyond the base
	growthPause         time.Duration
	lastGrowth          time.Time // time of the last growth
	added, runsAtGrowth int       // agents added by the last growth, and the entry's runs before it
	ampleSince          time.Time // zero while capacity is not ample
	lastShrink          time.Time
	opening             int
}

// member is the state of one partner.
type member struct {
	rank    int // position in Set.ranked
	domain  string
	since   time.Time // when it became a partner
	listed  bool      // it is in the newest fleet list
	opening bool      // it is in its grace period
	usable  bool      // it can take work
}

// New returns an empty set for an entry in the given failure domain.
func New(entry, domain string) *Set {
	return &Set{entry: entry, domain: domain, members: map[string]*member{}, retryAfter: map[string]time.Time{}, growthPause: minGrowthPause}
}

// SetDomainsOut replaces the failure domains that are out of service. Agents beyond the base are
// not chosen from them.
func (s *Set) SetDomainsOut(domains []string) {
	s.domainsOut = make(map[string]bool, len(domains))
	for _, d := range domains {
		s.domainsOut[d] = true
	}
}

// SetFleet replaces the list of agents. The required ones belong to the base of every entry, whatever
// their rank. Partners that are no longer listed stay until they are dropped, because keys also
// disappear while the store is down.
func (s *Set) SetFleet(fleet []Agent, required ...string) {
	s.ranked, s.base = s.rank(fleet)
	s.base = moveToFront(s.ranked, s.base, required)
	for _, m := range s.members {
		m.listed = false
		m.rank = len(s.ranked)
	}
	retryAfter := map[string]time.Time{}
	for i, a := range s.ranked {
		if m := s.members[a.ID]; m != nil {
			m.rank = i
			m.listed = true
		}
		if until, ok := s.retryAfter[a.ID]; ok {
			retryAfter[a.ID] = until
		}
	}
	s.retryAfter = retryAfter
}

// Drop removes a partner that has not been listed for some time.
func (s *Set) Drop(agent string) { delete(s.members, agent) }

// Len returns the number of partners, including those that are no longer listed.
func (s *Set) Len() int { return len(s.members) }

// Opening returns the number of partners whose capacity is not known yet.
func (s *Set) Opening() int { return s.opening }

// Complete reports whether the entry has all listed agents as partners.
func (s *Set) Complete() bool {
	listed := 0
	for _, m := range s.members {
		if m.listed {
			listed++
		}
	}
	return listed == len(s.ranked)
}

// Step decides which links to open and to close.
func (s *Set) Step(now time.Time, load Load, view View) Change {
	s.refresh(now, view)
	s.resize(now, load)
	var c Change
	if missing := s.base + s.extra - s.working(); missing > 0 {
		c.Open = s.open(now, min(missing, maxOpening-s.opening))
	}
	c.Close = s.closeSurplus(now, view)
	return c
}

// refresh updates which partners are usable and which are still opening.
func (s *Set) refresh(now time.Time, view View) {
	s.opening = 0
	for id, m := range s.members {
		m.usable = view.Usable(id)
		m.opening = !m.usable && now.Sub(m.since) < gracePeriod(view.Linked(id))
		if m.opening {
			s.opening++
		}
	}
}

// gracePeriod returns how long a new partner counts as working before it can take work.
func gracePeriod(linked bool) time.Duration {
	if linked {
		return announceGrace
	}
	return openGrace
}
