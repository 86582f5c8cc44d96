package jobs

import (
	"time"

	"poplargw.example/dispatch/health"
	"poplargw.example/dispatch/run"
)

// Report records the state of an agent's backend server and places waiting tasks on it.
func (s *Scheduler) Report(now time.Time, agent string, r Report) {
	v := s.servers[agent]
	if v == nil || !v.linked {
		return
	}
	if v.health == nil || v.state.Instance != r.Server.Instance {
		s.newInstance(v, r.Server)
	}
	v.state = r.Server
	v.largest = v.largest.Max(r.Server.Capacity)
	v.free = r.Free
	v.entries = r.Entries
	v.usage = r.Usage
	v.othersSlowdown = r.OthersSlowdown
	v.reportsCrashes = r.ReportsCrashes
	if !v.reported || v.recordsOwners != r.RecordsOwners {
		s.linkChanges++
	}
	v.recordsOwners = r.RecordsOwners
	s.recordStart(now, v, r.Uptime)
	s.recordListed(v, r)
	if s.bulkheads.recordOthers(now, r.Server.Service, r.OthersConfined) {
		s.updateBulkheads(now)
	}
	v.reported = true
	v.acknowledge(r.Ack)
	if s.slowdowns[v.state.Service].median == 0 {
		s.updateSlowdowns()
	}
	s.dispatchTo(now, v)
}

// newInstance resets the health and speed of a backend server whose instance is new: it may provide
// another service.
func (s *Scheduler) newInstance(v *server, state run.Server) {
	group := s.groups[state.Service]
	if group == nil {
		group = &health.Group{}
		s.groups[state.Service] = group
	}
	if v.health != nil {
		s.groups[v.state.Service].Remove(v.health)
	}
	v.health = s.restoreHealth(group, state.Instance)
	v.speedEstimate = s.speeds.Kind(state.Service).ForServer(state.Instance)
	v.lagFactor = 1
	v.largest = run.Demand{}
}

// restoreHealth returns the health of a backend server. A suspension from before its agent was removed
// is kept.
func (s *Scheduler) restoreHealth(group *health.Group, instance string) *health.Server {
	former := s.suspended[instance]
	if former == nil {
		return group.Add()
	}
	delete(s.suspended, instance)
	group.Restore(former)
	return former
}
