package jobs

import (
	"maps"
	"time"

	"poplargw.example/dispatch/result"
)

// A registrar grants a job whose owner was lost after the time in which the runs of that owner have ended, unless the VM of a run was
// suspended meanwhile. Only the lost owner knew where its runs are. So the new owner sends no order until each agent that it knows
// has run for that time since the loss. The evidence is the agent's messages, which arrive without a gap only while it runs. Silence is none.

// missingRetention is how long an agent that has become silent counts as one that may have runs of a lost owner. Registrars keep the
// loss of an owner for as long.
const missingRetention = time.Minute

// recordMessage records a message of the agent. A gap above the limit ends the time for which the agent has certainly run.
func (v *server) recordMessage(now time.Time, limit time.Duration) {
	if now.Sub(v.lastMessage) > limit {
		v.heardSince = now
	}
	v.lastMessage = now
}

// hasRun reports whether the agent has run for d after the given time, as its messages show.
func (v *server) hasRun(after time.Time, d time.Duration) bool {
	if v.heardSince.After(after) {
		after = v.heardSince
	}
	return v.lastMessage.Sub(after) >= d
}

// recordOwnerLost records that a registrar has granted a job whose former owner was lost. That owner's newest message to the
// registrar was then at least Limits.OwnerLostAfter old, so its newest one to any agent at least Limits.LostAfter.
func (s *Scheduler) recordOwnerLost(now time.Time, o *ownership) {
	if o.ownerLost.IsZero() {
		s.recordDecision(Decision{Kind: FormerOwnerLost, Job: o.job, Silent: s.silentSince(now)})
	}
	if !o.formerRunsEnded {
		o.ownerLost = now
	}
}

// awaitsFormerRuns reports whether runs of a lost owner of the job may go on, as far as the agents have shown.
func (s *Scheduler) awaitsFormerRuns(o *ownership) bool {
	if o.ownerLost.IsZero() || o.formerRunsEnded {
		return false
	}
	o.formerRunsEnded = s.silentSince(o.ownerLost) == 0
	return !o.formerRunsEnded
}

// silentSince returns the number of agents that have not shown that runs which a lost owner ordered there have ended. The owner was
// known to be lost at the given time.
func (s *Scheduler) silentSince(known time.Time) int {
	lost := known.Add(-s.limits.LostAfter)
	silent := s.opening + len(s.lostAgents()) + len(s.missing)
	for _, v := range s.fleet {
		if !v.hasRun(lost, s.limits.LostAfter) {
			silent++
		}
	}
	return silent
}

// recordMissing records an agent that is removed because of its silence.
func (s *Scheduler) recordMissing(v *server) { s.missing[v.agent] = v.lastContact }

// expireMissing forgets the agents that have been silent for missingRetention.
func (s *Scheduler) expireMissing(now time.Time) {
	maps.DeleteFunc(s.missing, func(_ string, lastContact time.Time) bool { return now.Sub(lastContact) >= missingRetention })
}

// hadLostOwner reports whether the job had an owner that was lost, which may have run it.
func (s *Scheduler) hadLostOwner(id string) bool {
	o := s.ownerships[id]
	return o != nil && !o.ownerLost.IsZero()
}

// codeOfUnknown returns the code for a job of which it is not known whether it has run. The codes up to those of rejections say that it
// has not.
func codeOfUnknown(code result.Code) result.Code {
	if code < result.Cancelled {
		return result.OutcomeUnknown
	}
	return code
}
