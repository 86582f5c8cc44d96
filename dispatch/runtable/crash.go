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
	run.Crash
	At time.Time
}

// ServerGone records that no process listens at the backend server's address. It returns false if that is no
// news or the server has left. The runs stay in the table: what refuses connections may be something between
// the agent and the server.
func (t *Table) ServerGone(now time.Time) bool {
	t.noteSilence(now)
	return t.recordCrash()
}

// Crashes returns the crashes with a number above the given one that happened within crashRetention.
func (t *Table) Crashes(now time.Time, number uint64) []Crash {
	t.crashes = slices.DeleteFunc(t.crashes, func(c Crash) bool { return now.Sub(c.At) > crashRetention })
	i, _ := slices.BinarySearchFunc(t.crashes, number+1, func(c Crash, n uint64) int { return cmp.Compare(c.Number, n) })
	return t.crashes[i:]
}

// noteSilence remembers the runs that the backend server had when it was last known to run, in case it has
// crashed. Only runs that this incarnation has started can have caused a crash.
func (t *Table) noteSilence(at time.Time) {
	if t.silent != nil || t.serverLeft {
		return
	}
	c := &Crash{Crash: run.Crash{Instance: t.server.Instance, Starts: t.starts.PerSecond(at)}, At: at}
	for _, r := range t.runs {
		if r.accepted && !r.unsettled {
			c.Suspects = append(c.Suspects, run.Suspect{Task: r.ref.Task, Kind: r.kind, Age: max(0, at.Sub(r.runningSince))})
		}
	}
	if len(c.Suspects) == 0 {
		return
	}
	slices.SortFunc(c.Suspects, func(a, b run.Suspect) int { return cmp.Compare(a.Task, b.Task) })
	t.silent = c
}

// recordCrash records that the backend server has crashed with the runs that it had when it became silent. It
// returns false if there were none, or if the crash is known.
func (t *Table) recordCrash() bool {
	if t.silent == nil || t.silent.Number > 0 {
		return false
	}
	t.lastCrash++
	t.silent.Number = t.lastCrash
	t.crashes = append(t.crashes, *t.silent)
	return true
}
