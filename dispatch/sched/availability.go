package sched

func (s *Scheduler) updateAgentAvailability(a *agent) {
	for _, v := range a.servers {
		s.updateAvailability(v)
	}
}

// isOut reports whether operators have taken the server or its failure domain out of
// service.
func (s *Scheduler) isOut(v *server) bool {
	return s.outServers[v.Name] || s.outDomains[v.agent.domain]
}

// inService reports whether the server may get new tasks if it has free slots.
func (s *Scheduler) inService(v *server) bool {
	return !v.removed && !v.Leaving && !v.agent.draining && !v.agent.lost && !s.isOut(v)
}

// updateAvailability adds the server to the available servers of its service, or removes
// it, according to its state. A server that operators return to service warms up.
func (s *Scheduler) updateAvailability(v *server) {
	in := s.inService(v)
	if in != v.wasInService {
		v.wasInService = in
		v.service.capacity = -1
	}
	if out := s.isOut(v); out != v.wasOut {
		v.wasOut = out
		if !out {
			v.health.WarmUp()
		}
	}
	if !in {
		s.endServerReservation(v)
	}
	s.setAvailable(v, in && v.free > 0)
}

// setAvailable adds the server to the available servers of its service, or removes it.
func (s *Scheduler) setAvailable(v *server, available bool) {
	svc := v.service
	switch {
	case available && v.availableIndex < 0:
		v.availableIndex = len(svc.available)
		svc.available = append(svc.available, v)
	case !available && v.availableIndex >= 0:
		svc.available = removeUnordered(svc.available, v.availableIndex, func(o *server, i int) { o.availableIndex = i })
		v.availableIndex = -1
	}
}
