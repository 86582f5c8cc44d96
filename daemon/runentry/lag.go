package runentry

import (
	"time"

	"poplargw.example/daemon/boottime"
	"poplargw.example/daemon/event"
)

// An entry that is short of CPU time reads its sockets late: it then mistakes live links for silent ones
// and accepts jobs that it cannot finish. This file measures the delay; docs/CAPACITY.md has figures.

const (
	// tickMeanWindow and responseMeanWindow are the numbers of samples that the mean delays cover: 0.1 s
	// of ticks, and about as much of responses with 50 agents.
	tickMeanWindow     = 5
	responseMeanWindow = 32
	// probePauseThreshold is the gap between two ticks above which the gap counts as a pause of the process
	// and not as a delay for lack of CPU time.
	probePauseThreshold = 300 * time.Millisecond
	// silenceDelayFactor extends the allowed silence of a link by this multiple of the mean delay, for
	// frames that are still waiting in a socket.
	silenceDelayFactor = 4
	// shortageRetryAfter is the retry delay given to callers that are rejected for lack of CPU time. By
	// then the entry has recovered or the load balancer has switched to other entries.
	shortageRetryAfter = 2 * time.Second
)

// observeTickDelay records how late the current tick is. The caller must hold e.mu.
func (e *Entry) observeTickDelay(now time.Time) {
	if e.lastTick.IsZero() {
		return
	}
	if now.Sub(e.lastTick) > probePauseThreshold {
		e.resetProbes()
		return
	}
	e.observeDelay(func() { e.tickDelays.Observe(now, max(0, now.Sub(e.lastTick)-tickInterval)) })
}

// resetProbes discards the outstanding probes after a pause of the process. Their delays would reflect
// the pause, not a shortage of CPU time afterwards. The caller must hold e.mu.
func (e *Entry) resetProbes() {
	for _, a := range e.agents {
		a.probeSent = time.Time{}
	}
}

// startProbe records the send time of a frame that the agent answers immediately, unless a probe is
// already outstanding. The caller must hold Entry.mu.
func (a *agent) startProbe(now time.Time, seq uint64) {
	if a.probeSent.IsZero() {
		a.probeSent, a.probeSeq = now, seq
	}
}

// observeResponse records by how much the round-trip time of a probe exceeds the agent's minimum. Samples
// of all agents are combined, so that they reflect this entry rather than a single slow agent. The caller
// must hold e.mu.
func (e *Entry) observeResponse(a *agent, now time.Time, ack uint64) {
	if a.probeSent.IsZero() || ack < a.probeSeq {
		return
	}
	took := now.Sub(a.probeSent)
	a.probeSent = time.Time{}
	if a.minRTT == 0 || took < a.minRTT {
		a.minRTT = took
	}
	e.observeDelay(func() { e.responseDelays.Observe(now, took-a.minRTT) })
}

// observeDelay runs update, which records a delay, and logs when a CPU shortage starts or ends. The caller
// must hold e.mu.
func (e *Entry) observeDelay(update func()) {
	before := e.cpuShort()
	update()
	if e.cpuShort() != before {
		e.Log.Warn(event.ProcessorShort, event.Fields{
			"short": e.cpuShort(), "tick_ms": e.tickDelays.Mean().Milliseconds(), "answer_ms": e.responseDelays.Mean().Milliseconds(), "jobs": len(e.waiters),
		})
	}
}

// cpuShort reports whether the entry is short of CPU time. The caller must hold e.mu.
func (e *Entry) cpuShort() bool { return e.tickDelays.Short() || e.responseDelays.Short() }

// cpuShortageLasts reports whether the shortage has lasted long enough that callers should use other
// entries. The caller must hold e.mu.
func (e *Entry) cpuShortageLasts() bool { return e.tickDelays.Lasting() || e.responseDelays.Lasting() }

// ShouldReconnect reports whether callers should open a new connection for their next request, because
// this entry is not ready and the load balancer would route them to another one. Callers that kept a
// connection to an entry cut off from all agents were rejected until the network partition ended.
func (e *Entry) ShouldReconnect() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.canServe() && !e.scheduler.WarmingUp(boottime.Now())
}

// canServe reports whether the entry has routes, a usable backend server, an agent that can grant jobs and no
// lasting shortage of CPU time. The caller must hold e.mu.
func (e *Entry) canServe() bool {
	return e.config != nil && e.scheduler.Servers() > 0 && !e.scheduler.LacksRegistrar(boottime.Now()) && !e.cpuShortageLasts()
}

// closeSilentLinks closes links that have been silent for too long; they are redialed immediately. The
// limit is extended by the entry's own mean delay, because an entry short of CPU time reads frames late.
// The caller must hold e.mu.
func (e *Entry) closeSilentLinks(now time.Time) {
	allowance := silenceDelayFactor * max(e.tickDelays.Mean(), e.responseDelays.Mean())
	for _, id := range e.scheduler.Silent(now.Add(-allowance)) {
		if a := e.agents[id]; a != nil && a.conn != nil {
			a.conn.Close()
		}
	}
}
