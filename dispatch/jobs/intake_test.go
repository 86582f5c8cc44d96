package jobs

import (
	"math"
	"testing"
	"time"
)

// Guards against late jobs that wait for room which new jobs take: the rate of admitted work follows a
// steady flow, and forgets a burst.
func TestIntakeFollowsTheFlow(t *testing.T) {
	var in intake
	now := time.Unix(1000, 0)
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		in.add(now, 50)
	}
	if rate := in.rate(now); math.Abs(rate-5000) > 250 {
		t.Errorf("rate %.0f of a flow of 5000", rate)
	}
	if rate := in.rate(now.Add(3 * intakeTime)); rate > 500 {
		t.Errorf("rate %.0f after the flow has ended", rate)
	}
	if rate := (&intake{}).rate(now); rate != 0 {
		t.Errorf("rate %.0f of nothing", rate)
	}
}
