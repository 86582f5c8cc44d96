package runagent

import (
	"slices"
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/event"
	"poplargw.example/daemon/link"
	"poplargw.example/dispatch/jobs"
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
		a.tellCancelled(s, f.GetOwned())
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
	a.answerHeldCancels(now)
	a.sendGrants(nil)
}

// handleCancels records the cancels of a frame and passes them on to the entries that own the jobs or wait for them. It is called before
// handleOwnership: an entry that releases a job which it cancels must not hand it to the next one. The caller must hold a.mu.
func (a *Agent) handleCancels(now time.Time, s *session, jobIDs []string) {
	for _, job := range jobIDs {
		c, refused := a.owners.Cancel(now, s.entry, job)
		a.queueGrants(refused)
		if c.Recorded && c.Owner == "" && !a.owners.Restored() && len(a.heldCancels) < maxHeldCancels {
			a.heldCancels = append(a.heldCancels, heldCancel{s, job})
			continue
		}
		answer := jobs.CancelAnswer{Recorded: c.Recorded, MayHave: c.MayHave || c.Owner != ""}
		if c.Owner != "" {
			answer.PassedOn = a.passOnCancel(now, s, c, job)
		}
		s.cancelAnswers = append(s.cancelAnswers, link.CancelAnswerToProto(job, answer))
		a.Log.InfoLimited(event.CancelRecorded, event.Fields{
			"job": job, "entry": s.entry, "owner": c.Owner, "recorded": c.Recorded, "passed_on": answer.PassedOn, "may_have": answer.MayHave,
		})
	}
}

// maxHeldCancels bounds the held cancels. Further ones are answered at once, with MayHave.
const maxHeldCancels = 16384

// heldCancel is a cancel whose answer awaits the end of the restore window: an owner may still report.
type heldCancel struct {
	session *session
	job     string
}

// answerHeldCancels queues the answers to cancels that came within the restore window, once it has passed. The caller must hold a.mu.
func (a *Agent) answerHeldCancels(now time.Time) {
	if len(a.heldCancels) == 0 || !a.owners.Restored() {
		return
	}
	held := a.heldCancels
	a.heldCancels = nil
	for _, h := range held {
		if s := h.session; a.sessions[s.entry] == s {
			a.handleCancels(now, s, []string{h.job})
			s.send(a, nil)
		}
	}
}

// passOnCancel passes a cancel on to the owner of the job, and reports whether the owner has it or gets it for certain: it
// is told again over its next link if the cancel is recorded. The caller must hold a.mu.
func (a *Agent) passOnCancel(now time.Time, s *session, c owner.CancelAnswer, job string) bool {
	target := a.sessions[c.Owner]
	if target == nil || target == s {
		return target == s
	}
	target.cancels = append(target.cancels, job)
	target.send(a, nil)
	return c.Recorded || now.Sub(target.lastReceived) <= maxSilence
}

// maxSilence is the silence of an entry above which its link may be dead. Entries send a frame at least every 140 ms.
const maxSilence = 300 * time.Millisecond

// tellCancelled queues the cancels of jobs that an entry owns as it says over a new link. The caller must hold a.mu.
func (a *Agent) tellCancelled(s *session, owned []string) {
	for _, job := range owned {
		if a.owners.Cancelled(job) {
			s.cancels = append(s.cancels, job)
		}
	}
}
