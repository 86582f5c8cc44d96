package sched

import (
	"fmt"
	"time"

	"poplargw.example/dispatch/quota"
	"poplargw.example/dispatch/result"
)

const (
	// optimism scales estimated work before a job is refused because of it. Estimates
	// are medians that count only work certainly ahead; the rest is a margin for
	// tasks that are shorter than estimated.
	optimism = 0.7
	// Bounds of RetryAfter. Within the lower one a queue of short tasks changes little.
	minRetryAfter     = 100 * time.Millisecond
	maxRetryAfter     = 10 * time.Second
	unknownRetryAfter = time.Second // nothing is known of the load
	// estimateAge is the age from which run times justify no refusal. Refusals keep new
	// run times from being observed, so old ones would refuse work for ever.
	estimateAge = 5 * time.Second
	// retryShare is the part of the queue whose run time a refused caller waits.
	retryShare = 4
)

func refusal(c result.Code, format string, args ...any) *result.Failure {
	return &result.Failure{Code: c, Effect: result.NotRun, Message: fmt.Sprintf(format, args...)}
}

// comesBack tells whether a repeat can help after a failure with this code.
func comesBack(c result.Code) bool {
	switch c {
	case result.DeadlineUnmet, result.OverQuota, result.Overloaded, result.DeadlineExceeded, result.RetriesUsed:
		return true
	}
	return false
}

// refuse decides whether a job is refused and with which effect.
func (s *Scheduler) refuse(now time.Time, j *Job) *result.Failure {
	if s.orphans[j.Key] > 0 {
		f := refusal(result.OutcomeUnknown, "an earlier execution of the submission has unanswered starts")
		f.Effect = result.Unknown
		return f
	}
	f := s.undeclared(j)
	if f == nil && !now.Before(j.Deadline) {
		f = refusal(result.DeadlineExpired, "the deadline has passed")
	}
	started := hasPrior(j)
	if f == nil && !started {
		f = s.refuseLoad(now, j)
	}
	if f != nil && started {
		f.Effect = result.Unknown
	}
	return f
}

func hasPrior(j *Job) bool {
	for i := range j.Tasks {
		if j.Tasks[i].Prior != nil {
			return true
		}
	}
	return false
}

func (s *Scheduler) refuseLoad(now time.Time, j *Job) *result.Failure {
	sv := s.services[j.Service]
	if f := sv.cannotRun(j); f != nil {
		return f
	}
	if s.queued+len(j.Tasks) > s.opts.QueueTasks {
		f := refusal(result.Overloaded, "the queue holds %d of at most %d tasks", s.queued, s.opts.QueueTasks)
		f.RetryAfter = s.retryAfter(sv)
		return f
	}
	return s.refuseLate(now, sv, j)
}

// cannotRun refuses a job with a kind that needs more slots than the largest known
// server has. Servers out of service count, since they may return.
func (sv *service) cannotRun(j *Job) *result.Failure {
	if len(sv.servers) == 0 {
		return nil
	}
	if sv.largest < 0 {
		for _, v := range sv.servers {
			sv.largest = max(sv.largest, v.Slots)
		}
	}
	for i := range j.Tasks {
		if k := sv.kinds[j.Tasks[i].Kind]; k.slots > sv.largest {
			return refusal(result.CannotRun, "kind %q needs %d slots, the largest server has %d", k.name, k.slots, sv.largest)
		}
	}
	return nil
}

// refuseLate refuses a job that cannot meet its deadline by optimistic estimates. Run
// times that are only declared do not count, since they are often far off.
func (s *Scheduler) refuseLate(now time.Time, sv *service, j *Job) *result.Failure {
	capacity, left := s.capacity(sv), j.Deadline.Sub(now)
	if capacity == 0 || !sv.current(now, j) {
		return nil
	}
	t := s.teams[j.Team]
	own, longest := sv.work(j)
	competitors := t
	if t != nil && t.Quota == 0 {
		competitors = nil
	}
	need := max(scale(own+sv.ahead(j, competitors))/time.Duration(capacity), longest/2)
	if need > left {
		f := refusal(result.DeadlineUnmet, "the job needs at least %v, its deadline leaves %v", need, left)
		f.RetryAfter = bound(need - left)
		return f
	}
	if t == nil {
		return nil
	}
	available := quota.Available(capacity, t.Share(s.entries), s.demands(sv, t), left)
	mine := scale(own + sv.ahead(j, t))
	if mine <= left*time.Duration(available) {
		return nil
	}
	f := refusal(result.OverQuota, "team %q can use %d slots at present, its queued work takes longer than the deadline leaves", j.Team, available)
	f.RetryAfter = bound(mine/time.Duration(max(available, 1)) - left)
	return f
}

// current tells whether the run times of all kinds of the job are recent.
func (sv *service) current(now time.Time, j *Job) bool {
	for i := range j.Tasks {
		if now.Sub(sv.kinds[j.Tasks[i].Kind].times.Last()) > estimateAge {
			return false
		}
	}
	return true
}

// capacity is the number of slots of the service's servers that may take tasks.
func (s *Scheduler) capacity(sv *service) int {
	if sv.capacity < 0 {
		sv.capacity = 0
		for _, v := range sv.servers {
			if s.inService(v) {
				sv.capacity += v.Slots
			}
		}
	}
	return sv.capacity
}

// work returns the run time of all tasks of a job times their slots, and the shortest
// run time of its longest kind. Kinds without observed run times count as 0.
func (sv *service) work(j *Job) (total, longest time.Duration) {
	for i := range j.Tasks {
		k := sv.kinds[j.Tasks[i].Kind]
		total += k.work()
		longest = max(longest, k.times.Fastest())
	}
	return total, longest
}

// work is the typical run time of one task times its slots.
func (k *kind) work() time.Duration {
	d, _ := k.times.Typical()
	return d * time.Duration(k.slots)
}

func scale(work time.Duration) time.Duration { return time.Duration(optimism * float64(work)) }

// ahead is the queued work that certainly comes before the job: kinds that are before
// all of its kinds, and among the kinds of equal rank the jobs that are smaller and
// half of those of similar size. With a team given, only its work counts: that of
// other teams may be behind the team's guaranteed share.
func (sv *service) ahead(j *Job, only *team) time.Duration {
	rank := 0
	for i := range j.Tasks {
		rank = max(rank, sv.kinds[j.Tasks[i].Kind].rank())
	}
	size := sizeOf(len(j.Tasks))
	var total time.Duration
	for _, c := range sv.waiting {
		if only != nil && c.team != only {
			continue
		}
		n := 0
		switch r := c.kind.rank(); {
		case r > rank:
			n = c.tasks
		case r == rank:
			n = c.bySize[size] / 2
			for _, m := range c.bySize[:size] {
				n += m
			}
		}
		total += c.kind.work() * time.Duration(n)
	}
	return total
}

// rank orders kinds by priority and urgency.
func (k *kind) rank() int {
	if k.urgent {
		return 2*k.priority + 1
	}
	return 2 * k.priority
}

// demands returns the load of the other teams that have queued tasks in a service.
func (s *Scheduler) demands(sv *service, t *team) []quota.Demand {
	work := map[*team]time.Duration{}
	for _, c := range sv.waiting {
		if c.team != nil && c.team != t {
			work[c.team] += c.kind.work() * time.Duration(c.tasks)
		}
	}
	out := make([]quota.Demand, 0, len(work))
	for o, w := range work {
		out = append(out, quota.Demand{Share: o.Share(s.entries), Queued: w})
	}
	return out
}

// retryAfter is the time in which the service works off a quarter of its queue.
func (s *Scheduler) retryAfter(sv *service) time.Duration {
	capacity := s.capacity(sv)
	var total time.Duration
	for _, c := range sv.waiting {
		total += c.kind.work() * time.Duration(c.tasks)
	}
	if capacity == 0 || total == 0 && sv.queued > 0 {
		return unknownRetryAfter
	}
	return bound(total / time.Duration(capacity) / retryShare)
}

func bound(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }
