package sched

import (
	"fmt"
	"time"

	"poplargw.example/dispatch/quota"
	"poplargw.example/dispatch/result"
)

const (
	// workScale is the factor that reduces estimated work before a job is refused because of
	// it. The estimates are medians and include only work that is certainly ahead of the job;
	// the reduction is a margin for tasks that run shorter than estimated.
	workScale = 0.7
	// Limits of RetryAfter. A queue of short tasks changes little within the lower limit.
	minRetryAfter     = 100 * time.Millisecond
	maxRetryAfter     = 10 * time.Second
	defaultRetryAfter = time.Second // used if the load is unknown
	// maxEstimateAge is the age from which run times no longer justify a refusal. No new
	// run times are observed while jobs are refused, so old ones could cause refusals
	// forever.
	maxEstimateAge = 5 * time.Second
	// retryDivisor is the reciprocal of the part of the queue whose run time a refused
	// caller is asked to wait.
	retryDivisor = 4
)

// refusal returns a failure with effect NotRun.
func refusal(c result.Code, format string, args ...any) *result.Failure {
	return &result.Failure{Code: c, Effect: result.NotRun, Message: fmt.Sprintf(format, args...)}
}

// retryable reports whether a later submission can succeed after a failure with this
// code.
func retryable(c result.Code) bool {
	switch c {
	case result.DeadlineUnmet, result.OverQuota, result.Overloaded, result.DeadlineExceeded, result.RetriesUsed:
		return true
	}
	return false
}

// checkAdmission returns the failure with which a job is refused, or nil if it is
// accepted. A job with tasks that an agent may have started is not refused because of
// load, and a refusal of it has the effect Unknown.
func (s *Scheduler) checkAdmission(now time.Time, j *Job) *result.Failure {
	if s.orphanedStarts[j.Key] > 0 {
		f := refusal(result.OutcomeUnknown, "an earlier execution of this submission has task starts with an unknown outcome")
		f.Effect = result.Unknown
		return f
	}
	f := s.checkDeclared(j)
	if f == nil && !now.Before(j.Deadline) {
		f = refusal(result.DeadlineExpired, "the deadline has passed")
	}
	started := hasPrior(j)
	if f == nil && !started {
		f = s.checkLoad(now, j)
	}
	if f != nil && started {
		f.Effect = result.Unknown
	}
	return f
}

// hasPrior reports whether an agent already holds a start record of a task of the job.
func hasPrior(j *Job) bool {
	for i := range j.Tasks {
		if j.Tasks[i].Prior != nil {
			return true
		}
	}
	return false
}

// checkLoad refuses a job that no server can run, that the queue cannot hold, or that
// cannot meet its deadline.
func (s *Scheduler) checkLoad(now time.Time, j *Job) *result.Failure {
	svc := s.services[j.Service]
	if f := svc.checkServerSize(j); f != nil {
		return f
	}
	if s.queued+len(j.Tasks) > s.opts.QueueTasks {
		f := refusal(result.Overloaded, "the queue holds %d tasks, the job would exceed the limit of %d", s.queued, s.opts.QueueTasks)
		f.RetryAfter = s.retryAfter(svc)
		return f
	}
	return s.checkDeadline(now, svc, j)
}

// checkServerSize refuses a job with a kind that needs more slots than the largest known
// server has. Servers that are out of service count too, since they may return.
func (svc *service) checkServerSize(j *Job) *result.Failure {
	if len(svc.servers) == 0 {
		return nil
	}
	if svc.largestServer < 0 {
		for _, v := range svc.servers {
			svc.largestServer = max(svc.largestServer, v.Slots)
		}
	}
	for i := range j.Tasks {
		if k := svc.kinds[j.Tasks[i].Kind]; k.slots > svc.largestServer {
			return refusal(result.CannotRun, "kind %q needs %d slots, but the largest server has %d", k.name, k.slots, svc.largestServer)
		}
	}
	return nil
}

// checkDeadline refuses a job that cannot meet its deadline even by optimistic estimates:
// with DeadlineUnmet if all slots of the service would not suffice, and with OverQuota if
// the slots that its team can use would not. It refuses nothing unless run times of all
// kinds of the job were observed recently; declared ones do not count, because they are
// often far off.
func (s *Scheduler) checkDeadline(now time.Time, svc *service, j *Job) *result.Failure {
	capacity, left := s.capacity(svc), j.Deadline.Sub(now)
	if capacity == 0 || !svc.hasRecentRunTimes(now, j) {
		return nil
	}
	t := s.teams[j.Team]
	jobWork, longest := svc.work(j)
	onlyTeam := t
	if t != nil && t.Quota == 0 {
		onlyTeam = nil
	}
	need := max(scaleWork(jobWork+svc.workAhead(j, onlyTeam))/time.Duration(capacity), longest/2)
	if need > left {
		f := refusal(result.DeadlineUnmet, "the job needs at least %v, but only %v remain until its deadline", need, left)
		f.RetryAfter = clampRetryAfter(need - left)
		return f
	}
	if t == nil {
		return nil
	}
	available := quota.Available(capacity, t.Share(s.entryCount), s.demands(svc, t), left)
	teamWork := scaleWork(jobWork + svc.workAhead(j, t))
	if teamWork <= left*time.Duration(available) {
		return nil
	}
	f := refusal(result.OverQuota, "team %q can currently use %d slots, too few to finish its queued work before the deadline of the job", j.Team, available)
	f.RetryAfter = clampRetryAfter(teamWork/time.Duration(max(available, 1)) - left)
	return f
}

// hasRecentRunTimes reports whether run times of all kinds of the job were observed
// within maxEstimateAge.
func (svc *service) hasRecentRunTimes(now time.Time, j *Job) bool {
	for i := range j.Tasks {
		if now.Sub(svc.kinds[j.Tasks[i].Kind].runTimes.Last()) > maxEstimateAge {
			return false
		}
	}
	return true
}

// capacity returns the number of slots of all servers of the service that are in service.
// It is cached.
func (s *Scheduler) capacity(svc *service) int {
	if svc.capacity < 0 {
		svc.capacity = 0
		for _, v := range svc.servers {
			if s.inService(v) {
				svc.capacity += v.Slots
			}
		}
	}
	return svc.capacity
}

// work returns the work of all tasks of a job, see kind.work, and the longest of the run
// times that its kinds have on their fastest servers. Kinds without observed run times
// count as 0.
func (svc *service) work(j *Job) (total, longest time.Duration) {
	for i := range j.Tasks {
		k := svc.kinds[j.Tasks[i].Kind]
		total += k.work()
		longest = max(longest, k.runTimes.Fastest())
	}
	return total, longest
}

// work returns the typical run time of a task multiplied by its slots.
func (k *kind) work() time.Duration {
	d, _ := k.runTimes.Typical()
	return d * time.Duration(k.slots)
}

// scaleWork multiplies work by workScale.
func scaleWork(work time.Duration) time.Duration { return time.Duration(workScale * float64(work)) }

// workAhead returns the queued work that certainly starts before the tasks of the job:
// all work of kinds that rank above all its kinds, and of kinds with the rank of its
// highest kind, the work of smaller jobs and half the work of jobs of similar size. If
// onlyTeam is given, only the work of that team counts, since the work of other teams may
// come after the guaranteed share of the team.
func (svc *service) workAhead(j *Job, onlyTeam *team) time.Duration {
	rank := 0
	for i := range j.Tasks {
		rank = max(rank, svc.kinds[j.Tasks[i].Kind].rank())
	}
	size := sizeClassOf(len(j.Tasks))
	var total time.Duration
	for _, c := range svc.waitingClasses {
		if onlyTeam != nil && c.team != onlyTeam {
			continue
		}
		n := 0
		switch r := c.kind.rank(); {
		case r > rank:
			n = c.tasks
		case r == rank:
			n = c.tasksBySize[size] / 2
			for _, m := range c.tasksBySize[:size] {
				n += m
			}
		}
		total += c.kind.work() * time.Duration(n)
	}
	return total
}

// rank returns a number that orders kinds by priority, then urgency. Kinds with a higher
// rank go first.
func (k *kind) rank() int {
	if k.urgent {
		return 2*k.priority + 1
	}
	return 2 * k.priority
}

// demands returns the guaranteed slots and the queued work of the other teams that have
// queued tasks of the service.
func (s *Scheduler) demands(svc *service, t *team) []quota.Demand {
	work := map[*team]time.Duration{}
	for _, c := range svc.waitingClasses {
		if c.team != nil && c.team != t {
			work[c.team] += c.kind.work() * time.Duration(c.tasks)
		}
	}
	out := make([]quota.Demand, 0, len(work))
	for o, w := range work {
		out = append(out, quota.Demand{Share: o.Share(s.entryCount), Queued: w})
	}
	return out
}

// retryAfter returns the time in which the service is expected to finish a quarter of its
// queue, within the range of RetryAfter, or defaultRetryAfter if that time is unknown.
func (s *Scheduler) retryAfter(svc *service) time.Duration {
	capacity := s.capacity(svc)
	var total time.Duration
	for _, c := range svc.waitingClasses {
		total += c.kind.work() * time.Duration(c.tasks)
	}
	if capacity == 0 || total == 0 && svc.queued > 0 {
		return defaultRetryAfter
	}
	return clampRetryAfter(total / time.Duration(capacity) / retryDivisor)
}

// clampRetryAfter limits d to the range of RetryAfter.
func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }
