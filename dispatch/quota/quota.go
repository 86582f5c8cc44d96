// Package quota divides the slots of running tasks among teams. It does no I/O and is
// not safe for concurrent use.
package quota

import "time"

// Team is the share of one team at one entry.
type Team struct {
	// Quota is the number of slots that the team is guaranteed over all entries.
	Quota int
	// Held is the number of slots that the team's running tasks take at this entry.
	Held int
}

// Share is the part of the quota that one of n entries grants. Submissions spread
// evenly over the entries; rounding up keeps a small quota usable at every entry.
func (t *Team) Share(n int) int { return (t.Quota + n - 1) / n }

// Guaranteed tells whether the next task of the team belongs to its guaranteed share.
// Other tasks use what the guaranteed ones leave.
func (t *Team) Guaranteed(n int) bool { return t.Held < t.Share(n) }

// Demand is the load of a team that competes for slots.
type Demand struct {
	Share int // guaranteed slots at this entry
	// Queued is the run time of the team's queued tasks times their slots.
	Queued time.Duration
}

// Available returns the slots out of total that a team with the given share can count
// on for the time d while the others are served first within their shares. Others whose
// queued work ends sooner do not reduce it.
func Available(total, share int, others []Demand, d time.Duration) int {
	rest := total
	for _, o := range others {
		if o.Share > 0 && o.Queued >= time.Duration(o.Share)*d {
			rest -= o.Share
		}
	}
	return max(rest, min(share, total), 0)
}
