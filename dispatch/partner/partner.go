// Package partner chooses the agents to which one entry keeps links, when there are too many for a link
// to each: with 55 entries and 240 agents, frames between all of them took most of the processor time.
// It answers callers who reach the entries unevenly, bursts at one entry, the loss of a failure domain,
// and empty backend servers that are added. It does no I/O, time is a parameter, and it is not safe for
// concurrent use.
//
// An entry takes agents in an order of its own, which is the same at each start: its base first, most of
// it in its own failure domain, then the rest. Partners that cannot take work are replaced by the next in
// the order, and the set grows while tasks wait or little of its room is free.
package partner

import "time"

const (
	// allOf is the number of agents up to which an entry keeps a link to each: the frames of as many links
	// take less than a twentieth of a small VM's processor.
	allOf = 64
	// nearBase is the number of agents of its own failure domain that an entry starts with, and farBase
	// that of each other domain. Random sets of two dozen spread over the agents evenly enough that free
	// room is within reach of every entry, and with a few far ones a lost domain leaves no entry without.
	nearBase = 24
	farBase  = 1
	// perTask is the number of agents beyond its base that an entry may add for each task that it runs or
	// that waits: the links of all entries together are bounded by what the fleet can run.
	perTask = 1
	// growStep is the least number of agents that are added at once, growPart the part of the set.
	growStep = 8
	growPart = 4
	// growFirst and growLast bound the pause between two additions, which doubles unless the entry runs more
	// tasks than before the last one: when the whole fleet is full, more agents bring no room.
	growFirst = 40 * time.Millisecond
	growLast  = 1280 * time.Millisecond
	// maxOpening bounds the links that are opened at the same time.
	maxOpening = allOf
	// openGrace is how long a new partner counts as one that can take work before it has said so: opening a
	// link takes two round trips, and a VM that is slow some tens of milliseconds.
	openGrace = 300 * time.Millisecond
	// announceGrace is the same for one with a link whose backend server has not announced itself: it does so
	// every 1.5 s, and after a loss of all power each of them is about to.
	announceGrace = 1600 * time.Millisecond
	// restFor is how long an agent that could not take work is not tried again.
	restFor = 5 * time.Second
	// sickLeast is the least number of partners of a failure domain that cannot take work, and are more than
	// half of it, for which the entry looks for others in other domains.
	sickLeast = 4
	// scarceRoom is the part of its partners' room below which an entry adds more, and ampleRoom the part
	// above which it lets some go.
	scarceRoom = 0.15
	ampleRoom  = 0.4
	// shrinkAfter is how long room has to be ample before partners are let go, and shrinkEvery the time
	// between two steps. A wave of load has a period of some seconds.
	shrinkAfter = 4 * time.Second
	shrinkEvery = time.Second
)

// Agent is an agent of the fleet.
type Agent struct {
	ID, Domain string
}

// Load is what the entry has to do and what its partners have room for.
type Load struct {
	// Waiting and Runs are the entry's tasks without a place and with one.
	Waiting, Runs int
	// Unfit tells that a job was refused because it fits on no partner.
	Unfit bool
	// Free and Room are the partners' processor room, in thousandths of a core.
	Free, Room int64
}

// View tells what the entry knows of its partners.
type View interface {
	// Linked tells whether the link to the agent is open.
	Linked(agent string) bool
	// Usable tells whether the agent's backend server can take work.
	Usable(agent string) bool
	// Busy tells whether tasks of the entry may be there.
	Busy(agent string) bool
}

// Change is what a step has decided: agents to open links to, and agents whose links to close.
type Change struct {
	Open, Close []string
}

// Set is the partners of one entry. See New.
type Set struct {
	entry, domain string
	ranked        []Agent // the fleet in the order in which the entry takes agents
	base          int
	members       map[string]*member
	resting       map[string]time.Time // until when agents are not tried again
	out           map[string]bool      // failure domains out of service
	extra         int                  // agents beyond the base
	pause         time.Duration
	grown         time.Time // newest growth
	added, runs   int       // agents that it added, and the entry's runs before it
	ampleSince    time.Time // zero while room is not ample
	shrunk        time.Time
	opening       int
}

type member struct {
	rank    int
	domain  string
	since   time.Time
	listed  bool
	opening bool
	usable  bool
}

// New returns an empty set for an entry in a failure domain.
func New(entry, domain string) *Set {
	return &Set{entry: entry, domain: domain, members: map[string]*member{}, resting: map[string]time.Time{}, pause: growFirst}
}

// SetOut replaces the failure domains that are out of service, of which no agent is taken.
func (s *Set) SetOut(domains []string) {
	s.out = make(map[string]bool, len(domains))
	for _, d := range domains {
		s.out[d] = true
	}
}

// SetFleet replaces the list of agents. Partners that are not listed any more stay until they are
// dropped: keys also vanish while the store is down.
func (s *Set) SetFleet(fleet []Agent) {
	s.ranked, s.base = s.rank(fleet)
	for _, m := range s.members {
		m.listed = false
		m.rank = len(s.ranked)
	}
	resting := map[string]time.Time{}
	for i, a := range s.ranked {
		if m := s.members[a.ID]; m != nil {
			m.rank = i
			m.listed = true
		}
		if until, ok := s.resting[a.ID]; ok {
			resting[a.ID] = until
		}
	}
	s.resting = resting
}

// Drop forgets a partner that is gone for good.
func (s *Set) Drop(agent string) { delete(s.members, agent) }

// Len returns the number of partners, with those that are not listed any more.
func (s *Set) Len() int { return len(s.members) }

// Opening returns the number of partners whose room is not known yet.
func (s *Set) Opening() int { return s.opening }

// Whole tells whether the entry has all agents as partners.
func (s *Set) Whole() bool {
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
	s.look(now, view)
	s.resize(now, load)
	var c Change
	if short := s.base + s.extra - s.working(); short > 0 {
		c.Open = s.open(now, min(short, maxOpening-s.opening))
	}
	c.Close = s.shed(now, view)
	return c
}

// look refreshes what is known of the partners.
func (s *Set) look(now time.Time, view View) {
	s.opening = 0
	for id, m := range s.members {
		m.usable = view.Usable(id)
		m.opening = !m.usable && now.Sub(m.since) < grace(view.Linked(id))
		if m.opening {
			s.opening++
		}
	}
}

func grace(linked bool) time.Duration {
	if linked {
		return announceGrace
	}
	return openGrace
}
