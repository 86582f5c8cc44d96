package quota

import (
	"testing"
	"time"
)

// TestAvailable guards against a team that cannot count on its own share, and against counting
// slots of another team's share while that team has queued work for them.
func TestAvailable(t *testing.T) {
	busy, idle := Demand{Share: 6, Queued: time.Minute}, Demand{Share: 6, Queued: time.Second}
	for _, c := range []struct{ share, want int }{{0, 4}, {2, 4}, {5, 5}, {20, 10}} {
		if got := Available(10, c.share, []Demand{busy, idle}, 5*time.Second); got != c.want {
			t.Errorf("share %d: %d slots available, want %d", c.share, got, c.want)
		}
	}
}
