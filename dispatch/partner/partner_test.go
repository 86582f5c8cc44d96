package partner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleetOf returns agents spread over five failure domains.
func fleetOf(n int) []Agent {
	var list []Agent
	for i := range n {
		list = append(list, Agent{ID: fmt.Sprintf("side-%d-%d", i%5, i), Domain: domain(i)})
	}
	return list
}

func domain(i int) string { return fmt.Sprintf("domain-%d", i%5) }

// fakeView is a fleet in which all agents have links and are usable except the named ones. The busy
// agents have tasks of the entry.
type fakeView struct {
	failing, busy, unlinked map[string]bool
}

func (v fakeView) Linked(agent string) bool  { return !v.unlinked[agent] }
func (v fakeView) Usable(agent string) bool  { return !v.failing[agent] && !v.unlinked[agent] }
func (v fakeView) HasRuns(agent string) bool { return v.busy[agent] }

var start = time.Unix(1000, 0)

// idle is a load under which a set neither grows nor shrinks.
var idle = Load{Free: 30, Capacity: 100}

// settle steps for two seconds, until the set no longer changes, and returns the time.
func settle(s *Set, now time.Time, v View) time.Time {
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		s.Step(now, idle, v)
	}
	return now
}

func (s *Set) memberIDs() []string {
	var ids []string
	for id := range s.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Guards against an entry that has links to only a part of a small fleet and rejects jobs although
// there is capacity elsewhere.
func TestSmallFleetUsesAllAgents(t *testing.T) {
	s := New("entry", domain(0))
	s.SetFleet(fleetOf(fullMeshLimit))
	if c := s.Step(start, Load{}, fakeView{}); len(c.Open) != fullMeshLimit || !s.Complete() {
		t.Errorf("%d of %d agents are partners", len(c.Open), fullMeshLimit)
	}
}

// Guards against a number of links that grows with the fleet, and against agents that are partners
// of no entry or of too many. With 55 entries and 240 or 880 agents, links are spread evenly and
// the number of partners of an entry does not depend on the size of the fleet.
func TestBaseIsEvenlySpread(t *testing.T) {
	for _, size := range []int{240, 880} {
		linksPerAgent := map[string]int{}
		for i := range 55 {
			s := New(fmt.Sprintf("front-%d", i), domain(i))
			s.SetFleet(fleetOf(size))
			settle(s, start, fakeView{})
			if s.Len() > localBase+4*remoteBasePerDomain {
				t.Errorf("%d agents: an entry has %d partners", size, s.Len())
			}
			for _, id := range s.memberIDs() {
				linksPerAgent[id]++
			}
		}
		most := 0
		for _, n := range linksPerAgent {
			most = max(most, n)
		}
		mean := 55 * (localBase + 4*remoteBasePerDomain) / float64(size)
		if float64(most) > 3*mean+3 {
			t.Errorf("%d agents: one agent has links to %d entries, the mean is %.1f", size, most, mean)
		}
		if size == 240 && len(linksPerAgent) < size {
			t.Errorf("%d of %d agents have a link to an entry", len(linksPerAgent), size)
		}
	}
}

// Guards against entries without a link to an agent that all of them need, and against required agents that displace
// the entry's own choice.
func TestRequiredAgentsArePartnersOfEveryEntry(t *testing.T) {
	fleet := fleetOf(240)
	required := []string{fleet[7].ID, fleet[100].ID, fleet[239].ID}
	for i := range 20 {
		s, plain := New(fmt.Sprintf("front-%d", i), domain(i)), New(fmt.Sprintf("front-%d", i), domain(i))
		s.SetFleet(fleet, required...)
		plain.SetFleet(fleet)
		settle(s, start, fakeView{})
		settle(plain, start, fakeView{})
		ids := s.memberIDs()
		for _, id := range append(plain.memberIDs(), required...) {
			if !slices.Contains(ids, id) {
				t.Errorf("entry %d has no link to %s", i, id)
			}
		}
		if s.Len() > plain.Len()+len(required) {
			t.Errorf("entry %d has %d partners, %d without required agents", i, s.Len(), plain.Len())
		}
	}
}

// Guards against partners that change when an entry restarts or agents join the fleet. Each change
// costs a connection and the estimates about the agent.
func TestChoiceIsStable(t *testing.T) {
	a, b := New("entry", domain(0)), New("entry", domain(0))
	fleet := fleetOf(240)
	a.SetFleet(fleet)
	slices.Reverse(fleet)
	b.SetFleet(fleet)
	now := settle(a, start, fakeView{})
	settle(b, start, fakeView{})
	if !slices.Equal(a.memberIDs(), b.memberIDs()) {
		t.Error("two starts of one entry chose other partners")
	}
	a.SetFleet(fleetOf(250))
	settle(a, now, fakeView{})
	moved := 0
	for _, id := range b.memberIDs() {
		if a.members[id] == nil {
			moved++
		}
	}
	if moved > 3 {
		t.Errorf("%d partners changed when ten agents joined", moved)
	}
}

// Guards against an entry in an evacuated failure domain that waits for its partners there while
// the other domains have capacity. After one step, it has opened links to as many agents elsewhere
// as the domain had in its base.
func TestEvacuatedDomainIsReplacedInOneStep(t *testing.T) {
	s := New("entry", domain(0))
	fleet := fleetOf(240)
	s.SetFleet(fleet)
	now := settle(s, start, fakeView{})
	v := fakeView{failing: map[string]bool{}}
	for _, a := range fleet {
		v.failing[a.ID] = a.Domain == domain(0)
	}
	s.SetDomainsOut([]string{domain(0)})
	c := s.Step(now.Add(time.Millisecond), idle, v)
	if len(c.Open) != localBase {
		t.Errorf("opened links to %d agents to replace %d of the evacuated domain", len(c.Open), localBase)
	}
	for _, id := range c.Open {
		if v.failing[id] {
			t.Errorf("agent %s of the evacuated domain was chosen", id)
		}
	}
	s.SetDomainsOut(nil)
	settle(s, now.Add(time.Second), fakeView{})
	if s.Len() > localBase+4*remoteBasePerDomain {
		t.Errorf("%d partners after the domain returned to service", s.Len())
	}
}

// Guards against trying one by one the agents of a lost failure domain that no operator has taken
// out of service. Each attempt takes a third of a second while callers wait.
func TestAgentsOfLostDomainAreNotRetried(t *testing.T) {
	s := New("entry", domain(0))
	fleet := fleetOf(240)
	s.SetFleet(fleet)
	now := settle(s, start, fakeView{})
	v := fakeView{unlinked: map[string]bool{}}
	for _, a := range fleet {
		v.unlinked[a.ID] = a.Domain == domain(0)
	}
	opened := s.Step(now.Add(time.Millisecond), idle, v).Open
	working := 0
	for _, id := range opened {
		if !v.unlinked[id] {
			working++
		}
	}
	if working != localBase {
		t.Errorf("%d of %d new partners can take work", working, len(opened))
	}
}

// Guards against replacing agents that wait for their backend servers after a power failure by
// others that wait as well, until each entry has a link to every agent.
func TestColdStartDoesNotUseWholeFleet(t *testing.T) {
	s := New("entry", domain(0))
	fleet := fleetOf(240)
	s.SetFleet(fleet)
	v := fakeView{failing: map[string]bool{}}
	for _, a := range fleet {
		v.failing[a.ID] = true
	}
	now, most := start, 0
	for i := range 75 {
		// Backend servers announce themselves one after the other within 1.5 s.
		for j, a := range fleet {
			if j%75 == i {
				delete(v.failing, a.ID)
			}
		}
		now = now.Add(20 * time.Millisecond)
		s.Step(now, Load{}, v)
		most = max(most, s.Len())
	}
	if most > 2*(localBase+4*remoteBasePerDomain) {
		t.Errorf("%d partners while backend servers announced themselves", most)
	}
}

// Guards against a burst at one entry whose partners are full while the rest of the fleet is idle,
// and against links that stay open after the burst.
func TestSetGrowsAndShrinksWithLoad(t *testing.T) {
	s := New("entry", domain(0))
	s.SetFleet(fleetOf(240))
	now := settle(s, start, fakeView{})
	base := s.Len()
	for range 50 {
		now = now.Add(20 * time.Millisecond)
		s.Step(now, Load{Waiting: 40, Runs: 100, Free: 0, Capacity: 100}, fakeView{})
	}
	if s.Len() < 2*base {
		t.Errorf("%d partners after one second with waiting tasks, %d before", s.Len(), base)
	}
	for range 2000 {
		now = now.Add(20 * time.Millisecond)
		s.Step(now, Load{Runs: 5, Free: 80, Capacity: 100}, fakeView{})
	}
	if s.Len() != base {
		t.Errorf("%d partners after 40 s with ample capacity, %d at first", s.Len(), base)
	}
}

// Guards against an idle entry that links to the whole fleet because its few partners are full with
// other entries' tasks. The number of agents it may add is bounded by its running and waiting
// tasks.
func TestGrowthIsBoundedByTasks(t *testing.T) {
	s := New("entry", domain(0))
	s.SetFleet(fleetOf(880))
	now := settle(s, start, fakeView{})
	base := s.Len()
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		s.Step(now, Load{Runs: 4, Free: 0, Capacity: 100}, fakeView{})
	}
	if s.Len() > base+4*extraPerTask {
		t.Errorf("%d partners for 4 tasks, %d at first", s.Len(), base)
	}
}

// Guards against steps that open a link twice, or close one that has tasks or was not open, under
// any changes of agents and load.
func TestStepProperties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := New("entry", domain(rapid.IntRange(0, 4).Draw(r, "domain")))
		fleet := fleetOf(rapid.IntRange(0, 200).Draw(r, "agents"))
		s.SetFleet(fleet)
		openLinks, now := map[string]bool{}, start
		agent := rapid.IntRange(0, 199)
		for range 40 {
			v := fakeView{failing: map[string]bool{}, busy: map[string]bool{}, unlinked: map[string]bool{}}
			for _, set := range []map[string]bool{v.failing, v.busy, v.unlinked} {
				for _, i := range rapid.SliceOfN(agent, 0, 60).Draw(r, "set") {
					if i < len(fleet) {
						set[fleet[i].ID] = true
					}
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(r, "ms")) * time.Millisecond)
			free := rapid.Int64Range(0, 100).Draw(r, "free")
			c := s.Step(now, Load{Waiting: rapid.IntRange(0, 50).Draw(r, "waiting"), Runs: len(v.busy), Free: free, Capacity: 100}, v)
			for _, id := range c.Open {
				if openLinks[id] {
					r.Fatalf("link to %s was opened twice", id)
				}
				openLinks[id] = true
			}
			for _, id := range c.Close {
				if !openLinks[id] || v.busy[id] {
					r.Fatalf("link to %s was closed: open %v, busy %v", id, openLinks[id], v.busy[id])
				}
				delete(openLinks, id)
			}
			if len(openLinks) != s.Len() {
				r.Fatalf("%d open links, %d partners", len(openLinks), s.Len())
			}
		}
	})
}

// Guards against never trying the few agents on which a job fits. The set extends to the whole
// fleet within a few seconds of refusing such jobs.
func TestUnfitJobsExtendSetToWholeFleet(t *testing.T) {
	s := New("entry", domain(0))
	s.SetFleet(fleetOf(240))
	now := settle(s, start, fakeView{})
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		s.Step(now, Load{JobRefused: true, Free: 90, Capacity: 100}, fakeView{})
	}
	if !s.Complete() {
		t.Errorf("%d of 240 agents are partners after ten seconds", s.Len())
	}
}
