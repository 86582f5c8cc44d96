package health

import (
	"testing"
	"time"
)

// Guards against a bad server that stays in use, too many suspensions at once, and a
// return without probation.
func TestSuspendProbeReturn(t *testing.T) {
	var g Group
	servers := []*Server{g.Add(), g.Add(), g.Add(), g.Add()}
	now, bad := time.Unix(0, 0), servers[0]
	for range 3 {
		bad.Failure(now)
	}
	if !bad.Suspended() || bad.Limit(now) != 0 {
		t.Fatalf("not suspended after three failures")
	}
	for range 9 {
		servers[1].Failure(now)
	}
	if servers[1].Suspended() || servers[1].Limit(now) != 1 {
		t.Errorf("half of the group suspended, or no limit: %d", servers[1].Limit(now))
	}
	now = now.Add(firstBackoff)
	if bad.Limit(now) != 1 {
		t.Fatalf("probation limit %d", bad.Limit(now))
	}
	bad.Failure(now)
	if now = now.Add(firstBackoff); bad.Limit(now) != 0 {
		t.Errorf("the back-off does not grow")
	}
	now = now.Add(firstBackoff)
	limits := []int{}
	for i := 0; i < 30 && bad.Limit(now) != Unlimited; i++ {
		limits = append(limits, bad.Limit(now))
		bad.Success()
	}
	if bad.Limit(now) != Unlimited || limits[0] != 1 || limits[probes] != suspectLimit || limits[probes+1] != suspectLimit+1 {
		t.Errorf("limits %v", limits)
	}
}
