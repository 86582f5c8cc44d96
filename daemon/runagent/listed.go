package runagent

import (
	"cmp"
	"slices"
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/event"
	"poplargw.example/daemon/link"
)

// observeListedRuns tells all entries when the backend server has listed its runs for the first time since the agent's start,
// because their jobs may wait for that. The caller must hold a.mu.
func (a *Agent) observeListedRuns(now time.Time) {
	if a.runsListed || !a.table.RunsListed(now) {
		return
	}
	a.runsListed = true
	a.Log.Info(event.RunsListed, event.Fields{"after_ms": now.Sub(a.startedAt).Milliseconds(), "runs": a.table.Len()})
	a.sendStateToAll()
}

// recordListed records which agents have told the entry of the session that their runs are listed. Entries send the list only
// while jobs may wait for it.
func (s *session) recordListed(list []*peerv1.ListedAgent) {
	s.listed = list[:min(len(list), link.MaxListedAgents)]
	if len(list) == 0 {
		s.sentListed = nil
	}
}

// listedFor returns the union of the lists of all entries for an entry that sends one itself, or nil if it has been sent already.
// The caller must hold a.mu.
func (a *Agent) listedFor(s *session) []*peerv1.ListedAgent {
	if len(s.listed) == 0 {
		return nil
	}
	var union []*peerv1.ListedAgent
	for _, o := range a.sessions {
		union = append(union, o.listed...)
	}
	slices.SortFunc(union, func(x, y *peerv1.ListedAgent) int {
		return cmp.Or(cmp.Compare(x.GetId(), y.GetId()), cmp.Compare(x.GetIncarnation(), y.GetIncarnation()))
	})
	union = slices.CompactFunc(union, isSameProcess)
	if slices.EqualFunc(union, s.sentListed, isSameProcess) {
		return nil
	}
	s.sentListed = union
	return union
}

func isSameProcess(x, y *peerv1.ListedAgent) bool {
	return x.GetId() == y.GetId() && x.GetIncarnation() == y.GetIncarnation()
}
