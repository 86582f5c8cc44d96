package runtable

import (
	"time"

	"pgregory.net/rapid"
)

// Stops, and sequences of actions that single random actions would rarely form.

// tick lets a moment pass between two actions of a sequence.
func (m *model) tick() { m.now = m.now.Add(time.Microsecond) }

// startRun orders a run and sends up to two copies, of which the first is answered. A snapshot may list it.
func (m *model) startRun(t *rapid.T) {
	n := len(m.copies)
	m.order(t)
	if len(m.copies) == n {
		return
	}
	c := m.copies[n]
	if rapid.Bool().Draw(t, "second copy") {
		m.copies = append(m.copies, c)
		m.send(n + 1)
	}
	m.tick()
	m.deliver(n, true)
	if rapid.Bool().Draw(t, "listed") {
		m.tick()
		m.pollOnce(t)
	}
}

// pollOnce answers a poll at once.
func (m *model) pollOnce(t *rapid.T) {
	lease := m.table.RenewLease(m.now)
	snapshot := m.server.snapshot(lease, m.table.LastEnd())
	snapshot.Requested = m.now
	garble(t, &snapshot)
	m.tick()
	m.table.RenewalDone(lease, true)
	m.recordEnded(m.table.ApplySnapshot(m.now, snapshot))
}

// comeBack crashes the server; then copies may be carried out before the agent knows of that, stops may
// reach the server, and polls are answered.
func (m *model) comeBack(t *rapid.T) {
	if rapid.Bool().Draw(t, "stopped before") {
		m.stopAll()
	}
	m.crash(t)
	for range rapid.IntRange(0, 3).Draw(t, "rounds") {
		m.tick()
		if len(m.copies) > 0 && rapid.Bool().Draw(t, "carried out") {
			m.deliver(0, rapid.Bool().Draw(t, "answered"))
			m.tick()
		}
		if rapid.Bool().Draw(t, "announced") {
			m.announce(t)
			m.tick()
		}
		if rapid.Bool().Draw(t, "stopped") {
			m.sweep(t)
			m.tick()
			m.deliverStops()
			m.tick()
		}
		if rapid.Bool().Draw(t, "stop answered") && len(m.stopAnswers) > 0 {
			m.answerStop(t)
			m.tick()
		}
		if rapid.Bool().Draw(t, "polled") {
			m.pollOnce(t)
		}
	}
}

// stopAll has an entry stop all runs. The stops are carried out, and their answers are on their way.
func (m *model) stopAll() {
	for ref := range m.table.runs {
		m.table.Stop(m.now, ref)
		m.server.stop(ref)
		m.stopAnswers = append(m.stopAnswers, modelStop{ref: ref, sentAt: m.now})
	}
}

// deliverStops carries out and answers all stops.
func (m *model) deliverStops() {
	for _, s := range m.stops {
		m.server.stop(s.ref)
		m.table.StopAnswered(m.now, s.ref, s.sentAt)
	}
	m.stops = nil
}

func (m *model) carryOutStop(t *rapid.T) {
	s := pick(t, &m.stops)
	if m.now.Sub(s.sentAt) > lateCallLimit {
		return
	}
	m.server.stop(s.ref)
	if rapid.Bool().Draw(t, "answered") {
		m.stopAnswers = append(m.stopAnswers, s)
	}
}

// answerStop delivers the answer to a stop that was carried out.
func (m *model) answerStop(t *rapid.T) {
	s := pick(t, &m.stopAnswers)
	m.table.StopAnswered(m.now, s.ref, s.sentAt)
}
