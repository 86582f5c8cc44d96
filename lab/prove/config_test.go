package prove

import (
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/store"
)

// propagationLimit is the longest time from the acceptance of a configuration change until every
// process applies it (invariant I9).
const propagationLimit = 3 * time.Second

// withDomainOut returns a copy of the configuration in which only the named failure domain is out.
func withDomainOut(c *poplargwv1.Config, domain string) *poplargwv1.Config {
	c = proto.Clone(c).(*poplargwv1.Config)
	for _, d := range c.GetDomains() {
		d.Out = d.GetName() == domain
	}
	return c
}

// checkInForce waits until every running entry and agent applies the version, and fails the test
// if that takes longer than propagationLimit from the time of the request. The reply to Apply
// comes only after most of them have confirmed the version, so the limit counts from the request.
func (s *system) checkInForce(version uint64, requested time.Time) {
	s.t.Helper()
	s.eventually(time.Until(requested.Add(propagationLimit)), "the version is in force everywhere", func() bool {
		for i, e := range s.entries {
			if e.Running() && !s.hasVersion(i, version) {
				return false
			}
		}
		return true
	})
	logResult(s.t, "version %d in force everywhere %v after the request", version, time.Since(requested).Round(time.Millisecond))
}

// hasVersion reports whether the entry applies exactly the version and lists no agent with an older one.
func (s *system) hasVersion(entry int, version uint64) bool {
	res, err := s.operator(entry).GetStatus(s.callContext(), connect.NewRequest(&poplargwv1.GetStatusRequest{}))
	if err != nil || res.Msg.GetConfigVersion() != version {
		return false
	}
	for _, a := range res.Msg.GetAgents() {
		if a.GetConfigVersion() < version {
			return false
		}
	}
	return true
}

// TestTwoOperators guards against two concurrent changes of the same base version that are both
// accepted or both refused, and against a conflict reply that names another version than the
// accepted one.
func TestTwoOperators(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 3, agents: 3, slots: 2})
	for range 10 {
		base, requested := s.currentConfig(0), time.Now()
		type reply struct {
			res *poplargwv1.ApplyResponse
			err error
		}
		replies := make(chan reply, 2)
		for i, d := range []string{"d1", "d2"} {
			go func() {
				res, err := s.apply(i, withDomainOut(base.GetConfig(), d), base.GetVersion())
				replies <- reply{res, err}
			}()
		}
		states := map[poplargwv1.ApplyState]int{}
		var acceptedVersion, conflictVersion uint64
		for range 2 {
			r := <-replies
			if r.err != nil {
				t.Fatal(r.err)
			}
			states[r.res.GetState()]++
			if r.res.GetState() == poplargwv1.ApplyState_APPLY_STATE_CONFLICT {
				conflictVersion = r.res.GetConflict().GetVersion()
			} else {
				acceptedVersion = r.res.GetVersion()
			}
		}
		if states[poplargwv1.ApplyState_APPLY_STATE_ACCEPTED] != 1 || states[poplargwv1.ApplyState_APPLY_STATE_CONFLICT] != 1 || acceptedVersion != conflictVersion {
			t.Fatalf("states %v, accepted version %d, version named by the conflict %d", states, acceptedVersion, conflictVersion)
		}
		s.checkInForce(acceptedVersion, requested)
	}
}

// TestLostStoreResponse guards against a change that the store wrote, but whose response was lost, and
// that is then reported as failed or as a conflict with itself.
func TestLostStoreResponse(t *testing.T) {
	s := newSystem(t, layout{entries: 3, agents: 3, slots: 2})
	base := s.currentConfig(0)
	s.setStoreFaults(store.Faults{LoseResponses: 1})
	requested := time.Now()
	res, err := s.apply(0, withDomainOut(base.GetConfig(), "d1"), base.GetVersion())
	if err != nil || res.GetState() != poplargwv1.ApplyState_APPLY_STATE_ACCEPTED || res.GetVersion() != base.GetVersion()+1 {
		t.Fatalf("got %v %v", res, err)
	}
	s.checkInForce(res.GetVersion(), requested)
}

// TestApplyWhileStoreDown guards against a change that is reported as accepted although the
// unavailable store did not write it, and checks that a retry of the change after the outage is
// accepted.
func TestApplyWhileStoreDown(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 3, agents: 3, slots: 2})
	base := s.currentConfig(0)
	s.setStoreFaults(store.Faults{Unavailable: true})
	change := &poplargwv1.ApplyRequest{BaseVersion: base.GetVersion(), ChangeId: uuid.NewString(), Author: "prove",
		Config: withDomainOut(base.GetConfig(), "d1")}
	res, err := s.operator(0).Apply(s.callContext(), connect.NewRequest(change))
	if err != nil {
		t.Fatal(err)
	}
	if st := res.Msg.GetState(); st != poplargwv1.ApplyState_APPLY_STATE_REJECTED && st != poplargwv1.ApplyState_APPLY_STATE_UNKNOWN {
		t.Errorf("state %v while the store is down", st)
	}
	logResult(t, "apply while the store is down: %v", res.Msg.GetState())
	s.setStoreFaults(store.Faults{})
	s.eventually(readyTimeout, "the same change is accepted after the outage", func() bool {
		res, err := s.operator(1).Apply(s.callContext(), connect.NewRequest(change))
		return err == nil && res.Msg.GetState() == poplargwv1.ApplyState_APPLY_STATE_ACCEPTED
	})
}

// TestStoreRestoresOlderValue guards against the loss of an accepted change when the store is
// restored from an older snapshot.
func TestStoreRestoresOlderValue(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 3, agents: 3, slots: 2})
	s.storeAdmin(http.MethodPost, "/admin/snapshot", nil)
	requested := s.setDomainOut(0, "d1", true)
	version := s.currentConfig(0).GetVersion()
	s.checkInForce(version, requested)
	s.setStoreFaults(store.Faults{Unavailable: true})
	time.Sleep(time.Second)
	s.storeAdmin(http.MethodPost, "/admin/restore", nil)
	s.setStoreFaults(store.Faults{})
	for range 100 {
		for i := range s.entries {
			if v := s.currentConfig(i).GetVersion(); v != version {
				t.Fatalf("entry %d: version %d, want %d", i, v, version)
			}
		}
		time.Sleep(pollInterval)
	}
	// The next change keeps the accepted one.
	s.setDomainOut(1, "d2", true)
	c := s.currentConfig(2)
	s.eventually(propagationLimit, "both changes are in force", func() bool { c = s.currentConfig(2); return c.GetVersion() == version+1 })
	for _, d := range c.GetConfig().GetDomains()[:2] {
		if !d.GetOut() {
			t.Errorf("failure domain %s is no longer out", d.GetName())
		}
	}
}

// TestWatchFaults guards against entries and agents that miss a configuration version or return
// to an older one when watch events are delayed, duplicated and stale.
func TestWatchFaults(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 3, agents: 3, slots: 2})
	for round := range 5 {
		s.setStoreFaults(store.Faults{WatchDelay: 2 * time.Second, WatchDuplicates: 3, WatchStale: 3})
		requested := s.setDomainOut(round%3, "d1", round%2 == 0)
		s.checkInForce(s.currentConfig(round%3).GetVersion(), requested)
	}
}
