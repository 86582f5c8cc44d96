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

// fakeView is a fleet in which all agents work but those that are named.
type fakeView struct {
	failing, busy, unlinked map[string]bool
}

func (v fakeView) Linked(agent string) bool { return !v.unlinked[agent] }
func (v fakeView) Usable(agent string) bool { return !v.failing[agent] && !v.unlinked[agent] }
func (v fakeView) Busy(agent string) bool   { return v.busy[agent] }

var start = time.Unix(1000, 0)

// idle is a load that neither grows nor shrinks a set.
var idle = Load{Free: 30, Room: 100}

// settle steps until the set is at rest.
func settle(s *Set, now time.Time, v View) time.Time {
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		s.Step(now, idle, v)
	}
	return now
}

func (s *Set) ids() []string {
	var ids []string
	for id := range s.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Guards against a small fleet of which an entry knows a part only, as if there were no room elsewhere.
func TestSmallFleetIsTakenWhole(t *testing.T) {
	s := New("entry", domain(0))
	s.SetFleet(fleetOf(allOf))
	if c := s.Step(start, Load{}, fakeView{}); len(c.Open) != allOf || !s.Whole() {
		t.Errorf("%d of %d agents are partners", len(c.Open), allOf)
	}
}

// Guards against links that grow with the fleet, and against agents that no entry, or that too many, have
// as a partner: at 55 entries with 240 and 880 agents each agent has some, and an entry as many as ever.
func TestBaseIsEven(t *testing.T) {
	for _, size := range []int{240, 880} {
		links := map[string]int{}
		for i := range 55 {
			s := New(fmt.Sprintf("front-%d", i), domain(i))
			s.SetFleet(fleetOf(size))
			settle(s, start, fakeView{})
			if s.Len() > nearBase+4*farBase {
				t.Errorf("%d agents: an entry has %d partners", size, s.Len())
			}
			for _, id := range s.ids() {
				links[id]++
			}
		}
		most := 0
		for _, n := range links {
			most = max(most, n)
		}
		mean := 55 * (nearBase + 4*farBase) / float64(size)
		if float64(most) > 3*mean+3 {
			t.Errorf("%d agents: one has links to %d entries, the mean is %.1f", size, most, mean)
		}
		if size == 240 && len(links) < size {
			t.Errorf("%d of %d agents have a link to an entry", len(links), size)
		}
	}
}

// Guards against partners that change with each start of an entry, or when others join the fleet: each
// change costs a connection and what was learned of the agent.
func TestChoiceIsStable(t *testing.T) {
	a, b := New("entry", domain(0)), New("entry", domain(0))
	fleet := fleetOf(240)
	a.SetFleet(fleet)
	slices.Reverse(fleet)
	b.SetFleet(fleet)
	now := settle(a, start, fakeView{})
	settle(b, start, fakeView{})
	if !slices.Equal(a.ids(), b.ids()) {
		t.Error("two starts of one entry chose other partners")
	}
	a.SetFleet(fleetOf(250))
	settle(a, now, fakeView{})
	moved := 0
	for _, id := range b.ids() {
		if a.members[id] == nil {
			moved++
		}
	}
	if moved > 3 {
		t.Errorf("%d partners moved when ten agents joined", moved)
	}
}

// Guards against an entry whose failure domain is evacuated and that waits for its partners there, while
// the other domains have room: it has as many working partners as before after one step and their links.
func TestEvacuatedDomainIsReplacedAtOnce(t *testing.T) {
	s := New("entry", domain(0))
	fleet := fleetOf(240)
	s.SetFleet(fleet)
	now := settle(s, start, fakeView{})
	v := fakeView{failing: map[string]bool{}}
	for _, a := range fleet {
		v.failing[a.ID] = a.Domain == domain(0)
	}
	s.SetOut([]string{domain(0)})
	c := s.Step(now.Add(time.Millisecond), idle, v)
	if len(c.Open) != nearBase {
		t.Errorf("%d agents replace %d of the evacuated domain", len(c.Open), nearBase)
	}
	for _, id := range c.Open {
		if v.failing[id] {
			t.Errorf("%s of the evacuated domain was taken", id)
		}
	}
	s.SetOut(nil)
	settle(s, now.Add(time.Second), fakeView{})
	if s.Len() > nearBase+4*farBase {
		t.Errorf("%d partners after the return of the domain", s.Len())
	}
}

// Guards against a lost failure domain, which no operator has taken out, whose agents are tried one after
// the other: each attempt takes a third of a second, while callers wait.
func TestLostDomainIsNotTriedOnAndOn(t *testing.T) {
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
	if working != nearBase {
		t.Errorf("%d of %d new partners work", working, len(opened))
	}
}

// Guards against agents that wait for their backend servers after a loss of all power and are replaced by
// others that wait as well, until each entry has a link to every agent.
func TestStartDoesNotTakeTheWholeFleet(t *testing.T) {
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
	if most > 2*(nearBase+4*farBase) {
		t.Errorf("%d partners while backend servers announced themselves", most)
	}
}

// Guards against a burst at one entry whose partners are full while the rest of the fleet is idle, and
// against links that stay when it is over.
func TestSetGrowsWithTheLoadAndShrinks(t *testing.T) {
	s := New("entry", domain(0))
	s.SetFleet(fleetOf(240))
	now := settle(s, start, fakeView{})
	base := s.Len()
	for range 50 {
		now = now.Add(20 * time.Millisecond)
		s.Step(now, Load{Waiting: 40, Runs: 100, Free: 0, Room: 100}, fakeView{})
	}
	if s.Len() < 2*base {
		t.Errorf("%d partners after a second in which tasks waited, %d before", s.Len(), base)
	}
	for range 2000 {
		now = now.Add(20 * time.Millisecond)
		s.Step(now, Load{Runs: 5, Free: 80, Room: 100}, fakeView{})
	}
	if s.Len() != base {
		t.Errorf("%d partners after 40 s with room, %d at first", s.Len(), base)
	}
}

// Guards against an idle entry that takes the whole fleet because its few partners are full of others'
// tasks: what it may add is bounded by what it runs and what waits.
func TestGrowthIsBoundedByTasks(t *testing.T) {
	s := New("entry", domain(0))
	s.SetFleet(fleetOf(880))
	now := settle(s, start, fakeView{})
	base := s.Len()
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		s.Step(now, Load{Runs: 4, Free: 0, Room: 100}, fakeView{})
	}
	if s.Len() > base+4*perTask {
		t.Errorf("%d partners for 4 tasks, %d at first", s.Len(), base)
	}
}

// Guards against steps that open a link twice, close one with tasks or one that was not open, or leave the
// entry short of partners although others work, whatever happens to agents and load.
func TestStepProperties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := New("entry", domain(rapid.IntRange(0, 4).Draw(r, "domain")))
		fleet := fleetOf(rapid.IntRange(0, 200).Draw(r, "agents"))
		s.SetFleet(fleet)
		open, now := map[string]bool{}, start
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
			room := rapid.Int64Range(0, 100).Draw(r, "free")
			c := s.Step(now, Load{Waiting: rapid.IntRange(0, 50).Draw(r, "waiting"), Runs: len(v.busy), Free: room, Room: 100}, v)
			for _, id := range c.Open {
				if open[id] {
					r.Fatalf("%s was opened twice", id)
				}
				open[id] = true
			}
			for _, id := range c.Close {
				if !open[id] || v.busy[id] {
					r.Fatalf("%s was closed: open %v, busy %v", id, open[id], v.busy[id])
				}
				delete(open, id)
			}
			if len(open) != s.Len() {
				r.Fatalf("%d links, %d partners", len(open), s.Len())
			}
		}
	})
}

// Guards against a job that fits on few agents only, none of which is ever tried: the whole fleet is, within a
// few seconds in which such jobs are refused.
func TestUnfitJobsReachTheWholeFleet(t *testing.T) {
	s := New("entry", domain(0))
	s.SetFleet(fleetOf(240))
	now := settle(s, start, fakeView{})
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		s.Step(now, Load{Unfit: true, Free: 90, Room: 100}, fakeView{})
	}
	if !s.Whole() {
		t.Errorf("%d of 240 agents after ten seconds", s.Len())
	}
}
