package runagent

import (
	"slices"
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/event"
	"poplargw.example/daemon/link"
	"poplargw.example/dispatch/owner"
)

// maxSweepGap is the longest time between two sweeps of an agent that runs, even if it is short of processor time. A
// longer one is a pause of the process.
const maxSweepGap = 5 * sweepInterval

// ownerLimits returns the limits of the record of owners.
func ownerLimits(o Options) owner.Limits {
	return owner.Limits{LostAfter: o.OwnerLostAfter, RestoreWindow: owner.RestoreWindow, MaxTickGap: maxSweepGap}
}

// handleOwnership processes the parts of a frame that concern the ownership of jobs. The caller must hold a.mu.
func (a *Agent) handleOwnership(now time.Time, s *session, f *peerv1.EntryFrame) {
	a.owners.Contact(now, s.entry)
	if f.GetHello() != nil {
		grants, conflicts := a.owners.Restore(now, s.entry, f.GetOwned())
		a.queueGrants(grants)
		a.reportConflicts(now, s, f, conflicts)
	}
	for _, job := range f.GetReleases() {
		if grant, ok := a.owners.Release(s.entry, job); ok {
			a.queueGrants([]owner.Answer{grant})
		}
	}
	owned := ownedRequests(f)
	for _, r := range f.GetRequests() {
		request := a.owners.Request
		if owned[r.GetJob()] {
			request = a.owners.Register
		}
		answer, ok := request(now, s.entry, link.RequestFromProto(r))
		if !ok {
			continue
		}
		a.Log.Trace(event.OwnerAnswered, event.Fields{"job": answer.Job, "entry": s.entry, "granted": answer.Granted, "owner": a.owners.Owner(answer.Job)})
		s.answers = append(s.answers, answer)
	}
	a.sendGrants(s)
}

// ownedRequests returns the jobs that the frame requests although the entry owns them already. The list in the first frame
// of a link has another meaning.
func ownedRequests(f *peerv1.EntryFrame) map[string]bool {
	if f.GetHello() != nil || len(f.GetOwned()) == 0 {
		return nil
	}
	owned := make(map[string]bool, len(f.GetOwned()))
	for _, job := range f.GetOwned() {
		owned[job] = true
	}
	return owned
}

// reportConflicts counts and logs the jobs of an entry that has opened a link while another entry is on record as their
// owner. An entry whose ownership has lapsed lists a job only because it has runs of it left, and requests it in
// the same frame. The caller must hold a.mu.
func (a *Agent) reportConflicts(now time.Time, s *session, f *peerv1.EntryFrame, conflicts []string) {
	for _, job := range conflicts {
		lapsed := slices.ContainsFunc(f.GetRequests(), func(r *peerv1.JobRequest) bool { return r.GetJob() == job })
		recorded := a.owners.Owner(job)
		a.counters.ownerConflicts(lapsed).Inc()
		a.Log.Error(event.OwnerConflict, event.Fields{
			"job": job, "entry": s.entry, "lapsed": lapsed, "owner": recorded, "owner_silent_ms": a.owners.Silence(now, recorded).Milliseconds(),
		})
	}
}

// queueGrants adds answers, most of them grants, to those for their entries. An entry without a link repeats its request over a new one.
// The caller must hold a.mu.
func (a *Agent) queueGrants(grants []owner.Answer) {
	for _, g := range grants {
		a.Log.Trace(event.OwnerAnswered, event.Fields{"job": g.Job, "entry": g.Entry, "granted": g.Granted, "owner": a.owners.Owner(g.Job)})
		if s := a.sessions[g.Entry]; s != nil {
			s.answers = append(s.answers, g)
		}
	}
}

// sendGrants sends the queued answers of all sessions but the given one. The caller must hold a.mu.
func (a *Agent) sendGrants(except *session) {
	for _, s := range a.sessions {
		if s != except && len(s.answers) > 0 {
			s.send(a, nil)
		}
	}
}

// expireOwners ends the ownerships of lost entries. The caller must hold a.mu.
func (a *Agent) expireOwners(now time.Time) {
	a.queueGrants(a.owners.Tick(now))
	a.sendGrants(nil)
}

// passOnCancels passes cancels from the entry of the session on to the entries that own the jobs, and queues the answers. The
// caller must hold a.mu.
func (a *Agent) passOnCancels(s *session, jobs []string) {
	for _, job := range jobs {
		target := a.sessions[a.owners.Owner(job)]
		s.cancelAnswers = append(s.cancelAnswers, &peerv1.CancelAnswer{Job: job, PassedOn: target != nil})
		if target == nil {
			continue
		}
		target.cancels = append(target.cancels, job)
		if target != s {
			target.send(a, nil)
		}
	}
}
