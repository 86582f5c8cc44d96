package quota

import "testing"

// TestReservedFraction guards against capacity that stays idle although the urgent queue uses what its bursts need, against a
// reserve for a queue without arrivals, and against one larger than the fleet.
func TestReservedFraction(t *testing.T) {
	for name, c := range map[string]struct {
		total float64
		loads []Load
		want  float64
	}{
		"no queue":                  {100, nil, 0},
		"no capacity":               {0, []Load{{Offered: 9, JobSize: 4}}, 0},
		"no arrivals":               {100, []Load{{JobSize: 4}}, 0},
		"one standard deviation":    {100, []Load{{Offered: 9, JobSize: 4, Used: 9}}, 0.06},
		"burst that is served":      {100, []Load{{Offered: 9, JobSize: 4, Used: 15}}, 0},
		"burst in another queue":    {100, []Load{{Offered: 9, JobSize: 4, Used: 30}, {Offered: 4, JobSize: 1, Used: 4}}, 0.02},
		"more than the whole fleet": {10, []Load{{Offered: 90, JobSize: 4}}, 1},
	} {
		if got := ReservedFraction(c.total, c.loads); got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("%s: %v of the capacity reserved, want %v", name, got, c.want)
		}
	}
}

// TestReservedFractionShrinksWithEntries guards against a reserve that grows with the number of entries: n entries with the same load
// together need less than n times the reserve of one, because their bursts do not coincide.
func TestReservedFractionShrinksWithEntries(t *testing.T) {
	one := Load{Offered: 9, JobSize: 4, Used: 9}
	if got := one.Scaled(4).Shortfall(); got != 2*one.Shortfall() {
		t.Errorf("four entries need %v, want twice the %v of one", got, one.Shortfall())
	}
}
