package runentry

import (
	"testing"
	"time"
)

// claimWindow is how long a restarted agent keeps runs that no entry has claimed.
const claimWindow = 100 * time.Millisecond

// Guards against runs that a restarted agent stops as unclaimed because their entry waits to dial it again.
func TestAgentWithRunsIsRedialedWithinClaimWindow(t *testing.T) {
	delay := minRedialDelay
	for range 10 {
		delay = nextRedialDelay(delay, true)
		if longest := delay + delay/2; longest >= claimWindow {
			t.Fatalf("the agent is dialed again after up to %s", longest)
		}
	}
	for range 10 {
		delay = nextRedialDelay(delay, false)
	}
	if delay != maxRedialDelay {
		t.Errorf("an agent without runs is dialed again after %s, want %s", delay, maxRedialDelay)
	}
}
