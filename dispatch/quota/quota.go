// Package quota computes how teams share slots by their quotas. It does no I/O and is not safe
// for concurrent use.
package quota

import "time"

// Team is the quota of one team and its use at one entry.
type Team struct {
	// Quota is the number of slots that the team is guaranteed in all entries together.
	Quota int
	// InUse is the number of slots that the team's running tasks of this entry take.
	InUse int
}

// Share returns the slots of the quota that each of n entries grants. Each grants the same
// part, because submissions spread evenly over the entries. It is rounded up, so that a team
// with a small quota can use it at every entry.
func (t *Team) Share(n int) int { return (t.Quota + n - 1) / n }

// Guaranteed reports whether the next task of the team is within its share at one of n
// entries. Tasks beyond the share use slots that tasks within their team's share leave free.
func (t *Team) Guaranteed(n int) bool { return t.InUse < t.Share(n) }

// Demand is the load of a team that competes for slots.
type Demand struct {
	// Share is the number of slots that the team is guaranteed at this entry.
	Share int
	// Queued is the sum, over the team's queued tasks, of the run time times the slots.
	Queued time.Duration
}

// Available returns how many of the total slots a team with the given share can count on for
// the time d: its share or, if that is more, what the shares of the others leave. Others whose
// queued work fills their share for less than d do not reduce it.
func Available(total, share int, others []Demand, d time.Duration) int {
	available := total
	for _, o := range others {
		if o.Share > 0 && o.Queued >= time.Duration(o.Share)*d {
			available -= o.Share
		}
	}
	return max(available, min(share, total), 0)
}
