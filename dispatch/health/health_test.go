package health

import (
	"testing"
	"time"
)

// Guards against a failing server that stays in use, too many suspensions at once, and a return
// without probation.
func TestSuspensionProbationAndWarmUp(t *testing.T) {
	var g Group
	servers := []*Server{g.Add(), g.Add(), g.Add(), g.Add()}
	now, failing := time.Unix(0, 0), servers[0]
	for range 3 {
		failing.Failure(now)
	}
	if !failing.Suspended() || failing.Limit(now) != 0 {
		t.Fatalf("not suspended after three failures")
	}
	for range 9 {
		servers[1].Failure(now)
	}
	if servers[1].Suspended() || servers[1].Limit(now) != 1 {
		t.Errorf("half of the group is suspended, or the limit is not 1: %d", servers[1].Limit(now))
	}
	now = now.Add(firstBackoff)
	if failing.Limit(now) != 1 {
		t.Fatalf("limit during probation is %d", failing.Limit(now))
	}
	failing.Failure(now)
	if now = now.Add(firstBackoff); failing.Limit(now) != 0 {
		t.Errorf("the back-off does not grow after a failure on probation")
	}
	now = now.Add(firstBackoff)
	limits := []int{}
	for i := 0; i < 30 && failing.Limit(now) != Unlimited; i++ {
		limits = append(limits, failing.Limit(now))
		failing.Success()
	}
	if failing.Limit(now) != Unlimited || limits[0] != 1 || limits[probationSuccesses] != suspectLimit || limits[probationSuccesses+1] != suspectLimit+1 {
		t.Errorf("limits during probation and warm-up: %v", limits)
	}
}
