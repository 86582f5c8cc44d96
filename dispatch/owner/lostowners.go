package owner

import "time"

const (
	// lostRetention is how long the loss of an owner is kept, in uptime of the agent. A run of that owner ends 809 ms of its agent's own
	// running time after the loss; VMs are suspended for seconds.
	lostRetention = time.Minute
	// maxLostJobs bounds the jobs of lost owners that are kept by name. While more are lost, every job counts as one of them.
	maxLostJobs = 16384
)

// lostOwner is an entry that owned a job when it was lost.
type lostOwner struct {
	entry string
	at    time.Duration // uptime
	more  bool          // other entries owned the job before, and were lost too
}

// lostJob is a job of a lost owner, in the order of the losses.
type lostJob struct {
	job string
	at  time.Duration
}

// lostOwners holds the jobs whose owners were lost. An owner that comes back says which of them it still has.
type lostOwners struct {
	jobs  map[string]lostOwner
	order []lostJob
	// unnamed is set if a job was lost that is not in jobs, last at the uptime unnamedAt.
	unnamed   bool
	unnamedAt time.Duration
}

func newLostOwners() lostOwners { return lostOwners{jobs: map[string]lostOwner{}} }

// add records the loss of the owner of a job.
func (l *lostOwners) add(entry, job string, at time.Duration) {
	if len(l.order) >= maxLostJobs {
		l.unnamed, l.unnamedAt = true, at
		return
	}
	before, ok := l.jobs[job]
	l.jobs[job] = lostOwner{entry: entry, at: at, more: ok && (before.more || before.entry != entry)}
	l.order = append(l.order, lostJob{job, at})
}

// has reports whether an owner of the job was lost.
func (l *lostOwners) has(job string) bool {
	_, ok := l.jobs[job]
	return ok || l.unnamed
}

// hasOther is has for owners other than the given entry, which knows its own runs.
func (l *lostOwners) hasOther(job, entry string) bool {
	o, ok := l.jobs[job]
	if ok {
		return o.more || o.entry != entry
	}
	return l.unnamed
}

// forget removes a job whose lost owner has come back and released it: none of its runs is left.
func (l *lostOwners) forget(entry, job string) {
	if o, ok := l.jobs[job]; ok && o.entry == entry && !o.more {
		delete(l.jobs, job)
	}
}

// restore removes the jobs of an entry that has come back, except those that it still has.
func (l *lostOwners) restore(entry string, owned map[string]bool) {
	for job, o := range l.jobs {
		if o.entry == entry && !o.more && !owned[job] {
			delete(l.jobs, job)
		}
	}
}

// expire removes the jobs that were lost before the given uptime.
func (l *lostOwners) expire(before time.Duration) {
	n := 0
	for n < len(l.order) && l.order[n].at < before {
		if o, ok := l.jobs[l.order[n].job]; ok && o.at == l.order[n].at {
			delete(l.jobs, l.order[n].job)
		}
		n++
	}
	l.order = l.order[n:]
	l.unnamed = l.unnamed && l.unnamedAt >= before
}
