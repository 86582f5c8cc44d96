package jobs

import "time"

// Tick does the periodic work: it removes lost agents, moves stragglers, rejects or ends jobs
// that cannot finish in time, and places waiting tasks.
func (s *Scheduler) Tick(now time.Time) {
	s.removeLostAgents(now)
	s.expireMissing(now)
	s.observeRegistrars(now)
	s.advanceOwnerships(now)
	s.expireCancels(now)
	s.updateBulkheads(now)
	s.moveStragglers(now)
	s.updateSlowdowns()
	s.expireInterference(now)
	s.updateLocalDemands(now)
	s.forgetReserves(now)
	s.review(now)
	s.dispatch(now)
}
