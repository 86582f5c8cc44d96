package entry

import (
	"time"

	"poplargw.example/daemon/event"
)

// tickMsg triggers everything that depends on the time.
type tickMsg struct{}

func (tickMsg) apply(h *home, now time.Time) {
	if !h.lastTick.IsZero() && now.Sub(h.lastTick) > pauseThreshold {
		h.e.opts.Log.Warn(event.HomeLoopPaused, event.Fields{"gap": now.Sub(h.lastTick).String()})
	}
	h.lastTick = now
	h.setActive(now)
	for _, a := range h.directory.markSilent(now) {
		h.perform(now, h.sched.AgentLost(now, a))
	}
	h.perform(now, h.sched.Tick(now))
	h.expireParked(now)
	h.advanceClaim(now)
	if s := now.Unix(); s != h.lastExpiry {
		h.lastExpiry = s
		h.expire(now)
		h.exportQueues()
	}
}

// expire removes the submissions, agents and claim records whose lifetime has ended.
func (h *home) expire(now time.Time) {
	h.rec.Expire(now)
	h.directory.expire(now)
	h.trimRetained()
	for sec, keys := range h.expiry {
		if sec >= now.Unix() {
			continue
		}
		delete(h.expiry, sec)
		for _, k := range keys {
			if x := h.held[k]; x != nil && x.done {
				h.dropResults(x)
				delete(h.held, k)
			}
		}
	}
}

// setActive tells the scheduler whether this entry may start tasks, and cancels jobs when the
// entry has just become isolated.
func (h *home) setActive(now time.Time) {
	a := h.mayStart(now)
	switch {
	case a:
		h.inactiveSince = time.Time{}
	case h.inactiveSince.IsZero():
		h.inactiveSince = now
	}
	if a != h.active {
		h.active = a
		h.perform(now, h.sched.SetFresh(now, a))
	}
	if h.e.isolation.update(h.isIsolated(now)) {
		h.cancelUnstarted(now)
	}
}

// cancelUnstarted ends the jobs of which no task was started, when this entry has become
// isolated. Their callers send them again with the same ID. Jobs with started tasks continue
// to wait, since agents have recorded the starts. Later jobs are refused when they are
// submitted.
func (h *home) cancelUnstarted(now time.Time) {
	for _, x := range h.held {
		if x.done || x.launched || x.resumed {
			continue
		}
		x.cancelReason = isolatedFailure()
		_, actions := h.sched.Cancel(now, x.key)
		h.perform(now, actions)
	}
}

// isIsolated reports whether this entry has not been allowed to start tasks for longer than
// the silence after which the other entries may remove it.
func (h *home) isIsolated(now time.Time) bool {
	return !h.inactiveSince.IsZero() && now.Sub(h.inactiveSince) > h.e.opts.Settings.Limits.PeerSilence
}

// mayStart reports whether this entry may decide to start a task at the time now.
func (h *home) mayStart(now time.Time) bool {
	return h.rec.InTable() && h.e.opts.Cluster.Synced() && h.e.opts.Cluster.Fresh(now)
}
