package jobs

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Tasks whose data is in high demand compete for the backend servers near it with tasks that run equally well
// anywhere. The entry keeps some places near the data for the former, and lets them wait there while that is expected
// to be in time. Both apply only to labels that waiting or recent jobs name as affinity, and with a remote factor above 1.

// dataKey identifies the backend servers of a service near some data.
type dataKey struct{ service, label string }

// localDemand is the demand for the backend servers near some data, as this entry sees it.
type localDemand struct {
	// rate is the average rate of submitted work with that affinity, in millicores at normal speed.
	rate admissionRate
	// tasks and cpu are the number of tasks, and the CPU demand of each in millicores, of the newest such job.
	tasks int
	cpu   int64
	near  nearServers
	// kept is the number of places for such tasks that other tasks leave free on each of the servers.
	kept int
	// keptUntil is when the places are reported as no longer kept; zero while none are reported.
	keptUntil time.Time
}

// nearServers summarizes the backend servers near some data that accept tasks.
type nearServers struct {
	servers, others int     // number of servers near the data, and of others of the service
	entries         int     // largest number of entries that share one of them
	effectiveCPU    float64 // capacity in millicores, each server's divided by its slowdown
	slowdown        float64 // mean slowdown
}

// share returns this entry's part of the capacity near the data, in millicores at normal speed.
func (n nearServers) share() float64 { return n.effectiveCPU / float64(max(1, n.entries)) }

// keptPlaces returns how many places for tasks of jobs with the given number of tasks other tasks leave free on each
// server near their data: enough in all for one such job at full use of these servers, and fewer in proportion to the
// use. rate is the entry's demand in millicores at normal speed.
func keptPlaces(rate float64, tasks int, near nearServers) int {
	if near.servers == 0 || near.others == 0 || near.share() <= 0 {
		return 0
	}
	return int(math.Round(min(1, rate/near.share()) * float64(tasks) / float64(near.servers)))
}

// nearEnd returns how long it takes until a task with the given run time, at normal speed, ends near its data behind
// work in millicore-seconds that waits at this entry for the same servers.
func nearEnd(work float64, runTime time.Duration, near nearServers) time.Duration {
	if near.servers == 0 || near.share() <= 0 {
		return maxSpan
	}
	return span(work/near.share()*float64(time.Second) + float64(runTime)*near.slowdown)
}

// recordLocalDemand adds the work of a submitted job to the demand near its data. Labels that no backend server of
// the service carries are ignored, so that callers cannot add any number of them.
func (s *Scheduler) recordLocalDemand(now time.Time, j *job) {
	if s.limits.RemoteDataFactor <= 1 {
		return
	}
	for i, step := range j.Steps {
		key := dataKey{j.Queue.Service, step.Affinity}
		if step.Affinity == "" {
			continue
		}
		near := s.nearServersOf(key)
		if near.servers == 0 {
			continue
		}
		d := s.localDemands[key]
		if d == nil {
			d = &localDemand{}
			s.localDemands[key] = d
		}
		d.near, d.tasks, d.cpu = near, step.Count, step.Demand.CPU
		d.rate.add(now, float64(step.Count)*float64(step.Demand.CPU)*j.stepRunTime(i).Seconds())
	}
}

// nearServersOf returns the servers near the data.
func (s *Scheduler) nearServersOf(key dataKey) nearServers {
	var n nearServers
	for _, v := range s.fleet {
		if !v.acceptsTasks(s.outOfService) || v.state.Service != key.service {
			continue
		}
		if !v.state.HasLabel(key.label) {
			n.others++
			continue
		}
		n.servers++
		n.entries = max(n.entries, v.entries)
		n.effectiveCPU += float64(v.state.Capacity.CPU) / v.slowdown()
		n.slowdown += v.slowdown()
	}
	n.slowdown /= float64(max(1, n.servers))
	return n
}

const (
	// minLocalRate is the demand, in millicores, below which a label is forgotten.
	minLocalRate = 1
	// keptHold is how long no place must have been kept near some data before that is logged: at a steady demand the
	// number changes between 0 and 1 several times a second.
	keptHold = 2 * time.Second
)

// updateLocalDemands recomputes the places that are kept near data, and forgets labels without demand.
func (s *Scheduler) updateLocalDemands(now time.Time) {
	for _, key := range sortedDataKeys(s.localDemands) {
		d := s.localDemands[key]
		d.near = s.nearServersOf(key)
		rate := d.rate.rate(now)
		d.kept = keptPlaces(rate, d.tasks, d.near)
		switch {
		case d.kept > 0:
			if d.keptUntil.IsZero() {
				s.recordDecision(Decision{Kind: KeptNearData, Service: key.service, Label: key.label, Count: d.kept, Share: rate / d.near.share()})
			}
			d.keptUntil = now.Add(keptHold)
		case !d.keptUntil.IsZero() && !now.Before(d.keptUntil):
			d.keptUntil = time.Time{}
			s.recordDecision(Decision{Kind: KeptNearData, Service: key.service, Label: key.label})
		}
		if rate < minLocalRate && d.keptUntil.IsZero() {
			delete(s.localDemands, key)
		}
	}
}

// sortedDataKeys returns the keys in a fixed order, so that decisions are logged in that order.
func sortedDataKeys(m map[dataKey]*localDemand) []dataKey {
	return slices.SortedFunc(maps.Keys(m), func(a, b dataKey) int {
		if c := strings.Compare(a.service, b.service); c != 0 {
			return c
		}
		return strings.Compare(a.label, b.label)
	})
}

// keptForOthers reports whether the free capacity of the backend server is kept for tasks with data near it, and t is
// not one of them. Tasks that may use only some servers of the service are not kept away from any, nor are those that
// need more than half of the server, for which it would hardly ever have enough free capacity.
func (s *Scheduler) keptForOthers(j *job, t *task, v *server) bool {
	step := j.Steps[t.step]
	if len(s.localDemands) == 0 || !j.steps[t.step].shape.pool().wholeService() || s.confined(j) || 2*step.Demand.CPU > v.state.Capacity.CPU {
		return false
	}
	for _, label := range v.state.Labels {
		d := s.localDemands[dataKey{v.state.Service, label}]
		if d == nil || d.kept == 0 || label == step.Affinity {
			continue
		}
		if v.available().CPU-step.Demand.CPU < int64(d.kept)*d.cpu {
			return true
		}
	}
	return false
}

// waitsNearData reports whether the task waits for a backend server near its data rather than runs on v, far from it:
// near the data it is expected to meet its objective with safetyFactor as margin, behind the tasks that wait before it.
func (s *Scheduler) waitsNearData(now time.Time, j *job, t *task, v *server) bool {
	step := j.Steps[t.step]
	if j.late || s.localityFactor(step, v) <= 1 {
		return false
	}
	key := dataKey{j.Queue.Service, step.Affinity}
	d := s.localDemands[key]
	if d == nil || d.near.servers == 0 {
		return false
	}
	state := &j.steps[t.step]
	if !state.nearCheckedAt.Equal(now) {
		end := nearEnd(s.workBeforeNearData(j, step.Affinity), j.expectedRunTime(t), d.near)
		state.nearCheckedAt, state.waitsNear = now, !now.Add(span(safetyFactor*float64(end))).After(j.objectiveTime)
	}
	return state.waitsNear
}

// workBeforeNearData returns the work, in millicore-seconds, of the tasks with the affinity that wait in the job and in
// those before it.
func (s *Scheduler) workBeforeNearData(j *job, affinity string) float64 {
	work := 0.0
	for _, o := range s.onTime {
		if o.Queue.Service != j.Queue.Service || o != j && o.queueKey.After(j.queueKey) {
			continue
		}
		work += o.cpuTimeOf(func(t *task) bool { return t.state == taskWaiting && o.Steps[t.step].Affinity == affinity })
	}
	return work
}
