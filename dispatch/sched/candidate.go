package sched

import "time"

// estimateFloorDivisor limits how far the estimate of a server may be below the typical
// run time of a kind: the estimate is at least the typical run time divided by it. A
// server that answers implausibly fast must not attract all tasks.
const estimateFloorDivisor = 8

// candidate describes a server to the picker.
func (s *Scheduler) candidate(now time.Time, v *server, q *taskQueue) Candidate {
	k := q.class.kind
	est := v.estimates[k.name]
	expected := est.Expected(q.job.Tasks[q.first()].Declared)
	if typical, servers := k.runTimes.Typical(); servers > 1 {
		expected = max(expected, typical/estimateFloorDivisor)
		if !est.Learned() {
			expected = max(expected, time.Duration(float64(typical)*v.overdueRatio(now)))
		}
	}
	return Candidate{
		Placement: v.placement, Slots: v.Slots, Free: v.free, Outstanding: v.outstanding,
		Expected: expected, OpportunityCost: v.opportunityCost(k), Contended: !s.withinServerShare(v, k.slots),
		Local: v.agent.domain == s.opts.Domain, SameRegion: v.agent.region == s.opts.Region,
	}
}

// overdueRatio returns the age of the oldest unanswered start divided by the typical run
// time of its kind, or 0 if either is unknown. It reveals a slow server before its first
// answer.
func (v *server) overdueRatio(now time.Time) float64 {
	if len(v.unanswered) == 0 {
		return 0
	}
	a := v.unanswered[0]
	typical, _ := a.kind.runTimes.Typical()
	if typical == 0 {
		return 0
	}
	return float64(now.Sub(a.emittedAt)) / float64(typical)
}

// opportunityCost returns the run time that the longest kind of the service is expected
// to lose if a task of kind k takes a slot of this server. It is the time that the
// longest kind saves on this server compared with its typical run time, multiplied by its
// share of the running tasks and by the share of slots in use. It is 0 if the typical run
// time of k is more than half that of the longest kind.
func (v *server) opportunityCost(k *kind) time.Duration {
	svc := v.service
	long := svc.longestKind
	if long == nil || long == k || svc.slots == 0 {
		return 0
	}
	typical, _ := long.runTimes.Typical()
	if own, _ := k.runTimes.Typical(); 2*own > typical {
		return 0
	}
	est := v.estimates[long.name]
	if est == nil {
		return 0
	}
	saved := max(typical-est.Expected(0), 0)
	running := 0
	for _, o := range svc.kindList {
		running += o.running
	}
	used := float64(svc.slots-svc.free) / float64(svc.slots)
	return time.Duration(float64(saved) * used * float64(long.running) / float64(running))
}

// updateLongestKind sets longestKind to the running kind with the longest typical run
// time.
func (svc *service) updateLongestKind() {
	svc.longestKind = nil
	var longest time.Duration
	for _, k := range svc.kindList {
		if d, _ := k.runTimes.Typical(); k.running > 0 && d > longest {
			svc.longestKind, longest = k, d
		}
	}
}
