package sched

import "time"

// Loads that limit waiting for a faster server. Keeping a slot free lengthens all queues,
// and more so at higher load. The gain of a wait counts in full up to fullWaitLoad,
// decreases linearly above it, and does not count from noWaitLoad on.
const (
	fullWaitLoad = 0.55
	noWaitLoad   = 0.75
)

// minGainDivisor is the reciprocal of the share of the run time that a server must save
// to be worth a wait.
const minGainDivisor = 10

// worthWaiting reports whether the first task of a queue should wait for a slot of a
// faster server instead of starting on a server where its run time is the given one. It
// should if the expected gain exceeds both the time in which enough such slots come free
// for the queued tasks of the job, and the time in which one comes free for each queue of
// its kind and of kinds with a higher rank, and one more. Waiting ends when nothing has
// started for as long as the wait would save, so that the slow servers are used soon if
// only these are left.
func (svc *service) worthWaiting(now time.Time, q *taskQueue, expected time.Duration, entryCount int) bool {
	k := q.class.kind
	saved := expected - k.runTimes.Fastest()
	if svc.load >= noWaitLoad || saved == expected || saved < expected/minGainDivisor || now.Sub(svc.lastStart) > saved {
		return false
	}
	rate, faster := svc.fasterSlotRate(k, expected-expected/minGainDivisor)
	if rate == 0 {
		return false
	}
	// Other entries use these slots too. On average, half of them are assumed to compete.
	interval := float64(entryCount+1) / 2 / rate
	gain := (expected.Seconds() - faster) * min((noWaitLoad-svc.load)/(noWaitLoad-fullWaitLoad), 1)
	return gain > float64(len(q.waiting))*interval && gain > float64(svc.queuesAtOrAbove(k)+1)*interval
}

// fasterSlotRate considers the servers on which a task of the kind takes less than the
// limit. It returns the number of their slots that come free per second, and the mean run
// time of the task there in seconds, weighted by that number. It returns 0, 0 if there
// are none.
func (svc *service) fasterSlotRate(k *kind, limit time.Duration) (rate, run float64) {
	mean := svc.meanRunTime()
	typical, _ := k.runTimes.Typical()
	if mean == 0 || typical == 0 {
		return 0, 0
	}
	for _, v := range svc.servers {
		est := v.estimates[k.name]
		if est == nil || !est.Learned() || !v.wasInService || v.health.Suspended() {
			continue
		}
		if e := est.Expected(0); e < limit {
			r := float64(v.Slots-v.free) / (mean.Seconds() * float64(e) / float64(typical))
			rate += r
			run += r * e.Seconds()
		}
	}
	if rate == 0 {
		return 0, 0
	}
	return rate, run / rate
}

// meanRunTime returns the mean of the typical run times of the running tasks, or 0 if
// none is running.
func (svc *service) meanRunTime() time.Duration {
	var total time.Duration
	n := 0
	for _, k := range svc.kindList {
		typical, _ := k.runTimes.Typical()
		total += typical * time.Duration(k.running)
		n += k.running
	}
	return total / time.Duration(max(n, 1))
}

// queuesAtOrAbove returns the number of queues of the given kind and of kinds with a
// higher rank.
func (svc *service) queuesAtOrAbove(k *kind) int {
	n := 0
	for _, c := range svc.waitingClasses {
		if c.kind == k || c.kind.rank() > k.rank() {
			n += len(c.ready) + len(c.capped)
		}
	}
	return n
}

// loadTimeConstant is the time constant of the smoothing of service.load.
const loadTimeConstant = 2 * time.Second

// updateLoad updates the smoothed share of slots in use. Only servers that are in service
// and not suspended count.
func (svc *service) updateLoad(now time.Time) {
	slots, used := 0, 0
	for _, v := range svc.servers {
		if v.wasInService && !v.health.Suspended() {
			slots += v.Slots
			used += v.Slots - v.free
		}
	}
	passed := now.Sub(svc.loadMeasuredAt)
	if slots == 0 || passed <= 0 {
		return
	}
	weight := min(float64(passed)/float64(loadTimeConstant), 1)
	svc.load += weight * (float64(used)/float64(slots) - svc.load)
	svc.loadMeasuredAt = now
}
