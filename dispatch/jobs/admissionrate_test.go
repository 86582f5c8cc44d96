package jobs

import (
	"math"
	"testing"
	"time"
)

// TestAdmissionRateFollowsArrivals checks that the admission rate follows a steady flow of work and
// decays after a burst; otherwise the expected wait of late jobs is wrong.
func TestAdmissionRateFollowsArrivals(t *testing.T) {
	var r admissionRate
	now := time.Unix(1000, 0)
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		r.add(now, 50)
	}
	if rate := r.rate(now); math.Abs(rate-5000) > 250 {
		t.Errorf("rate %.0f, want about 5000", rate)
	}
	if rate := r.rate(now.Add(3 * admissionWindow)); rate > 500 {
		t.Errorf("rate %.0f after the arrivals ended, want at most 500", rate)
	}
	if rate := (&admissionRate{}).rate(now); rate != 0 {
		t.Errorf("rate %.0f without arrivals, want 0", rate)
	}
}
