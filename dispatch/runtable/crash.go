package runtable

import (
	"cmp"
	"slices"
	"time"

	"poplargw.example/dispatch/run"
)

// crashRetention is how long a crash is reported to entries that open a link. It covers the time for which
// callers submit a job again.
const crashRetention = 30 * time.Second

// Crash is a crash of the backend server. Numbers rise with each crash that the table records.
type Crash struct {
	Number uint64
	run.Crash
	At time.Time
}

// ServerGone records that no process listens at the backend server's address. It returns false if that is no
// news or the server has left. The runs stay in the table: what refuses connections may be something between
// the agent and the server.
func (t *Table) ServerGone(now time.Time) bool { return t.recordCrash(now) }

// Crashes returns the crashes with a number above the given one that happened within crashRetention.
func (t *Table) Crashes(now time.Time, number uint64) []Crash {
	t.crashes = slices.DeleteFunc(t.crashes, func(c Crash) bool { return now.Sub(c.At) > crashRetention })
	i, _ := slices.BinarySearchFunc(t.crashes, number+1, func(c Crash, n uint64) int { return cmp.Compare(c.Number, n) })
	return t.crashes[i:]
}

// recordCrash records that the present incarnation of the backend server crashed at the given time, with the
// runs that it may have. It returns false if there are none, or if the crash is known.
func (t *Table) recordCrash(at time.Time) bool {
	if len(t.runs) == 0 || t.serverLeft || t.crashedIncarnation == t.incarnation {
		return false
	}
	t.crashedIncarnation = t.incarnation
	c := run.Crash{Instance: t.server.Instance, Starts: t.starts.PerSecond(at)}
	for _, r := range t.runs {
		c.Suspects = append(c.Suspects, run.Suspect{Task: r.ref.Task, Kind: r.kind, Age: max(0, at.Sub(r.startedBy()))})
	}
	slices.SortFunc(c.Suspects, func(a, b run.Suspect) int { return cmp.Compare(a.Task, b.Task) })
	t.lastCrash++
	t.crashes = append(t.crashes, Crash{Number: t.lastCrash, Crash: c, At: at})
	return true
}

// startedBy returns when the run started, or when it was ordered if that is not known.
func (r *record) startedBy() time.Time {
	if r.accepted {
		return r.runningSince
	}
	return r.firstSeen
}
