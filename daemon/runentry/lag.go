package runentry

import (
	"time"

	"poplargw.example/daemon/event"
	"poplargw.example/daemon/steady"
)

// An entry that reads late takes live links for silent ones, and takes in jobs that it cannot end. This
// file measures by how much it is late; docs/CAPACITY.md has figures.

const (
	// ticksOver and answersOver are the numbers of delays that the means are over: a tenth of a second
	// of ticks, and about as long of answers with 50 agents.
	ticksOver   = 5
	answersOver = 32
	// pausedTick is the gap between two ticks that counts as a pause of the process.
	pausedTick = 300 * time.Millisecond
	// silenceLags is how many mean delays a frame may wait in a socket beyond the usual silence.
	silenceLags = 4
	// shortRetry is when a caller may come back whom an entry without processor time has rejected: by
	// then the entry has recovered, or the load balancer has turned to others.
	shortRetry = 2 * time.Second
)

// observeTick notes how late the tick is. The caller holds the lock.
func (e *Entry) observeTick(now time.Time) {
	if e.lastTick.IsZero() {
		return
	}
	if now.Sub(e.lastTick) > pausedTick {
		e.forgetProbes()
		return
	}
	e.observe(func() { e.ticks.Observe(now, max(0, now.Sub(e.lastTick)-tickEvery)) })
}

// forgetProbes drops the probes without an answer after a pause of the process: their delays tell of the
// pause, after which the process has all the processor time that it needs.
func (e *Entry) forgetProbes() {
	for _, a := range e.agents {
		a.probed = time.Time{}
	}
}

// probe notes when a frame was sent that the agent answers at once. The caller holds the lock.
func (a *agent) probe(now time.Time, seq uint64) {
	if a.probed.IsZero() {
		a.probed, a.probeSeq = now, seq
	}
}

// observeAnswer notes how much longer than the shortest the answer to a probe took. Delays of all
// agents together tell of this entry rather than of one of them. The caller holds the lock.
func (e *Entry) observeAnswer(a *agent, now time.Time, ack uint64) {
	if a.probed.IsZero() || ack < a.probeSeq {
		return
	}
	took := now.Sub(a.probed)
	a.probed = time.Time{}
	if a.shortest == 0 || took < a.shortest {
		a.shortest = took
	}
	e.observe(func() { e.answers.Observe(now, took-a.shortest) })
}

func (e *Entry) observe(update func()) {
	before := e.short()
	update()
	if e.short() != before {
		e.Log.Warn(event.ProcessorShort, event.Fields{
			"short": e.short(), "tick_ms": e.ticks.Mean().Milliseconds(), "answer_ms": e.answers.Mean().Milliseconds(), "jobs": len(e.waiters),
		})
	}
}

// short tells whether the entry is short of processor time. The caller holds the lock.
func (e *Entry) short() bool { return e.ticks.Short() || e.answers.Short() }

// lacksTime tells whether that lasts. The caller holds the lock.
func (e *Entry) lacksTime() bool { return e.ticks.Lasting() || e.answers.Lasting() }

// SendsAway tells whether callers should open a new connection for their next request, because the load
// balancer leads it to another entry: this one is not ready. Callers who kept their connection to an
// entry that was cut off from all agents were rejected for as long as the cut lasted.
func (e *Entry) SendsAway() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.canServe() && !e.scheduler.Warming(steady.Now())
}

// canServe tells whether the entry can serve callers. The caller holds the lock.
func (e *Entry) canServe() bool {
	return e.config != nil && e.scheduler.Servers() > 0 && !e.lacksTime()
}

// endSilent ends links that have been silent for too long; new ones are opened at once. An entry that
// is short of processor time reads late, so it allows for its own delays. The caller holds the lock.
func (e *Entry) endSilent(now time.Time) {
	allowance := silenceLags * max(e.ticks.Mean(), e.answers.Mean())
	for _, id := range e.scheduler.Silent(now.Add(-allowance)) {
		if a := e.agents[id]; a != nil && a.conn != nil {
			a.conn.Close()
		}
	}
}
