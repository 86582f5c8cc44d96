package prove

import (
	"testing"
	"time"

	"poplargw.example/lab/testbed"
	"poplargw.example/store"
)

// startLimit is how long after an accepted change a task may still start on a backend server that
// the change excludes (invariants I3 and I7).
const startLimit = 3 * time.Second

// checkNoStartsAfter checks that the backend server recorded no start between startLimit after the
// request and until. It also logs the time of the last start before until, relative to the request.
func (s *system) checkNoStartsAfter(server string, requested, until time.Time) {
	s.t.Helper()
	if n := s.startsBetween(server, requested.Add(startLimit), until); n > 0 {
		s.t.Errorf("%d starts at %s more than %v after the change", n, server, startLimit)
	}
	at := s.startsAt(server)
	last := time.Duration(0)
	for _, a := range at {
		if a.Before(until) {
			last = a.Sub(requested)
		}
	}
	logResult(s.t, "last start at %s relative to the request: %v", server, last)
}

// checkStartsIn checks that the backend server recorded at least one start in [from, to).
func (s *system) checkStartsIn(server string, from, to time.Time) {
	s.t.Helper()
	n := s.startsBetween(server, from, to)
	logResult(s.t, "%d starts at %s in %v", n, server, to.Sub(from).Round(time.Millisecond))
	if n == 0 {
		s.t.Errorf("no starts at %s", server)
	}
}

// steadyLoad is the load of the tests that take a failure domain out.
var steadyLoad = loadShape{entries: []int{0, 1, 2}, interval: 20 * time.Millisecond, tasks: 4, ms: 30}

// TestDomainOut guards against starts in a failure domain that was taken out, failed jobs or no
// starts in the other domains, and a domain that gets no work after it was put back in.
func TestDomainOut(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 3, agents: 3, slots: 8})
	l := s.startLoad(steadyLoad)
	time.Sleep(time.Second)
	out := s.setDomainOut(0, "d1", true)
	time.Sleep(startLimit + 2*time.Second)
	in := s.setDomainOut(1, "d1", false)
	time.Sleep(3 * time.Second)
	end := time.Now()
	jobs := l.stop()
	logResult(t, "failure domain taken out and put back in under load: %v", countOutcomes(jobs))
	s.checkNoStartsAfter("server-1", out, in)
	s.checkStartsIn("server-2", out, in)
	s.checkStartsIn("server-1", in, end)
	if c := countOutcomes(jobs); c.complete != len(jobs) {
		t.Errorf("not every job completed: %v", c)
	}
	s.verify(jobs...)
}

// TestDomainOutThenStoreDown guards against starts in a failure domain when the store becomes
// unavailable right after the domain was taken out, and against jobs that fail meanwhile.
func TestDomainOutThenStoreDown(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 3, agents: 3, slots: 8})
	l := s.startLoad(steadyLoad)
	time.Sleep(time.Second)
	out := s.setDomainOut(0, "d1", true)
	s.setStoreFaults(store.Faults{Unavailable: true})
	time.Sleep(8 * time.Second)
	end := time.Now()
	jobs := l.stop()
	logResult(t, "store unavailable right after the change: %v", countOutcomes(jobs))
	s.checkNoStartsAfter("server-1", out, end)
	s.checkStartsIn("server-2", out.Add(5*time.Second), end)
	if c := countOutcomes(jobs); c.complete != len(jobs) {
		t.Errorf("not every job completed: %v", c)
	}
	s.verify(jobs...)
}

// isolate silently drops all traffic between an entry and the store and between it and the other
// entries. Agents and callers still reach the entry. reconnect undoes it.
func (s *system) isolate(entry int) {
	e := s.entries[entry]
	s.storeForwarders[e.Name].SetMode(testbed.AnySource, testbed.LinkSilent)
	for i, other := range s.entries {
		if i != entry {
			s.peerForwarders[e.Name].SetMode(other.IP, testbed.LinkSilent)
			s.peerForwarders[other.Name].SetMode(e.IP, testbed.LinkSilent)
		}
	}
}

// TestDomainOutEntryCutOff guards against starts ordered by an entry that cannot learn that a
// failure domain was taken out, because it is cut off from the store and the other entries but
// not from agents and callers.
func TestDomainOutEntryCutOff(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 3, agents: 3, slots: 8})
	l := s.startLoad(steadyLoad)
	time.Sleep(time.Second)
	s.isolate(2)
	out := s.setDomainOut(0, "d1", true)
	time.Sleep(8 * time.Second)
	end := time.Now()
	jobs := l.stop()
	logResult(t, "one entry cut off from the store and the other entries: %v", countOutcomes(jobs))
	s.checkNoStartsAfter("server-1", out, end)
	s.checkStartsIn("server-2", out.Add(6*time.Second), end)
	s.verify(jobs...)
}

// TestDomainOutAgentFrozen guards against a start request that waits in the socket buffer of a
// frozen agent while its failure domain is taken out, and is run once the agent continues.
func TestDomainOutAgentFrozen(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 3, agents: 3, slots: 8})
	l := s.startLoad(steadyLoad)
	time.Sleep(time.Second)
	s.agents[0].freeze()
	time.Sleep(300 * time.Millisecond)
	out := s.setDomainOut(0, "d1", true)
	time.Sleep(startLimit + time.Second)
	s.agents[0].unfreeze()
	time.Sleep(3 * time.Second)
	end := time.Now()
	jobs := l.stop()
	logResult(t, "agent frozen with start requests in its socket buffer: %v", countOutcomes(jobs))
	s.checkNoStartsAfter("server-1", out, end)
	s.verify(jobs...)
}

// TestDomainOutStartDelayed guards against a start request that the network delivers after the
// failure domain was taken out, to an agent that has not received the change either.
func TestDomainOutStartDelayed(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 3, agents: 3, slots: 8})
	l := s.startLoad(steadyLoad)
	time.Sleep(time.Second)
	setLinkMode := func(m testbed.LinkMode, toAgent bool) {
		for _, e := range s.entries {
			if toAgent {
				s.peerForwarders[s.agents[0].Name].SetMode(e.IP, m)
			} else {
				s.peerForwarders[e.Name].SetMode(s.agents[0].IP, m)
			}
		}
	}
	setLinkMode(testbed.LinkHold, false)
	setLinkMode(testbed.LinkHold, true)
	time.Sleep(300 * time.Millisecond)
	out := s.setDomainOut(0, "d1", true)
	time.Sleep(time.Until(out.Add(startLimit + 500*time.Millisecond)))
	setLinkMode(testbed.LinkOpen, true)
	time.Sleep(500 * time.Millisecond)
	setLinkMode(testbed.LinkOpen, false)
	time.Sleep(2 * time.Second)
	end := time.Now()
	jobs := l.stop()
	logResult(t, "start requests delivered late to an agent: %v", countOutcomes(jobs))
	s.checkNoStartsAfter("server-1", out, end)
	s.verify(jobs...)
}

// TestServerLeaves guards against new starts on a backend server that is stopping gracefully, and
// against interrupting its running tasks.
func TestServerLeaves(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 3, agents: 3, slots: 8})
	l := s.startLoad(loadShape{entries: []int{0, 1, 2}, interval: 20 * time.Millisecond, tasks: 2, ms: 200})
	time.Sleep(time.Second)
	left := time.Now()
	if err := s.servers[0].terminate(readyTimeout); err != nil {
		t.Errorf("graceful stop of the backend server: %v", err)
	}
	time.Sleep(time.Second)
	jobs := l.stop()
	logResult(t, "backend server stopped gracefully under load: %v", countOutcomes(jobs))
	s.checkNoStartsAfter("server-1", left, time.Now())
	if c := countOutcomes(jobs); c.complete != len(jobs) {
		t.Errorf("not every job completed: %v", c)
	}
	s.verify(jobs...)
}
