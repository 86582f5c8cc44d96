package runagent

import (
	"testing"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
)

// Guards against entries that learn nothing of agents to which only others have links, against a list in each frame although it
// has not changed, and against lists for entries that do not wait.
func TestListedAgentsArePassedOn(t *testing.T) {
	named := func(ids ...string) []*peerv1.ListedAgent {
		var list []*peerv1.ListedAgent
		for _, id := range ids {
			list = append(list, &peerv1.ListedAgent{Id: id, Incarnation: "1"})
		}
		return list
	}
	first, second, third := &session{entry: "first"}, &session{entry: "second"}, &session{entry: "third"}
	a := &Agent{sessions: map[string]*session{"first": first, "second": second, "third": third}}
	first.recordListed(named("a", "b"))
	second.recordListed(named("c", "b"))
	union := a.listedFor(first)
	if len(union) != 3 || union[0].GetId() != "a" || union[2].GetId() != "c" {
		t.Errorf("the first entry learns of %v", union)
	}
	if list := a.listedFor(first); list != nil {
		t.Errorf("sent again: %v", list)
	}
	if list := a.listedFor(third); list != nil {
		t.Errorf("an entry that sends no list learns of %v", list)
	}
	second.recordListed(named("c", "d"))
	if union = a.listedFor(first); len(union) != 4 {
		t.Errorf("after a change the first entry learns of %v", union)
	}
	second.recordListed(nil)
	first.recordListed(nil)
	first.recordListed(named("a"))
	if union = a.listedFor(first); len(union) != 1 {
		t.Errorf("after the others have ended the first entry learns of %v", union)
	}
}
