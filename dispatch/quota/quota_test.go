package quota

import (
	"testing"
	"time"
)

// Guards against a team that loses its share, or lent slots that are counted although
// their owner's queue lasts.
func TestAvailable(t *testing.T) {
	busy, idle := Demand{Share: 6, Queued: time.Minute}, Demand{Share: 6, Queued: time.Second}
	for _, c := range []struct{ share, want int }{{0, 4}, {2, 4}, {5, 5}, {20, 10}} {
		if got := Available(10, c.share, []Demand{busy, idle}, 5*time.Second); got != c.want {
			t.Errorf("share %d: %d, want %d", c.share, got, c.want)
		}
	}
}
