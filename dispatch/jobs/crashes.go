package jobs

import (
	"fmt"
	"math"
	"strings"
	"time"

	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

const (
	// maxTaskCrashes is the number of backend servers that may crash under a task before its job fails.
	maxTaskCrashes = 3
	// minLikelyCrashes is that number for a task that most likely caused the crashes: the sum of its shares
	// is at least certainShare, and its job was alone in one of them. Without the latter, a task that is young beside
	// a crashing one twice is given up for the crashes of its neighbours.
	minLikelyCrashes = 2
	certainShare     = 1.0
	// shareHalfLife is the age of a run at which its share in the cause of a crash is half that of a run
	// that has just started: a task that crashes its backend server does so soon after its start.
	shareHalfLife = 25 * time.Millisecond
	// crashMemory is how long crashes are remembered. Callers wait for a few seconds.
	crashMemory = time.Minute
	// maxCrashedTasks bounds the number of tasks whose crashes are remembered.
	maxCrashedTasks = 20_000
)

// taskCrashes records the crashes of backend servers that had a run of a task.
type taskCrashes struct {
	count int
	// share is the sum over the crashes of the task's share in the cause: 1 if its job alone ran there.
	share float64
	// alone is set if the task's job alone ran on one of the servers.
	alone  bool
	newest time.Time
	// instance is the process of the newest crash, or "" if its agent has reported none.
	instance string
	// counted holds the first maxTaskCrashes crashes.
	counted []CountedCrash
}

// CountedCrash is a crash of a backend server that counts against a task, for the log.
type CountedCrash struct {
	// Agent and Instance identify the process of the backend server.
	Agent, Instance string
	// Share is the task's share in the cause. It is 0 if the agent reports no crashes.
	Share float64
	// Age is the time from the start of the task's run to the crash.
	Age time.Duration
	// Others is the number of other runs that the process had started, OtherJobs the number of those that belong
	// to other jobs.
	Others, OtherJobs int
}

// exhausted reports whether the task must not start again.
func (c *taskCrashes) exhausted() bool {
	return c.count >= maxTaskCrashes || c.count >= minLikelyCrashes && c.alone && c.share >= certainShare
}

// crashLog remembers the crashes of backend servers and the tasks that ran there.
type crashLog struct {
	tasks     map[string]*taskCrashes
	instances map[string]time.Time // processes that have crashed, and when that was reported
	sweptAt   time.Time
}

func newCrashLog() *crashLog {
	return &crashLog{tasks: map[string]*taskCrashes{}, instances: map[string]time.Time{}}
}

// addInstance records that a process of a backend server has crashed. It returns false if that is known.
func (l *crashLog) addInstance(now time.Time, instance string) bool {
	if _, known := l.instances[instance]; known {
		return false
	}
	l.instances[instance] = now
	return true
}

// addTask records that a process of a backend server crashed while it had a run of the task.
func (l *crashLog) addTask(now time.Time, name, instance string, crash CountedCrash) {
	c := l.tasks[name]
	if c == nil {
		if len(l.tasks) >= maxCrashedTasks {
			return
		}
		c = &taskCrashes{}
		l.tasks[name] = c
	}
	c.count++
	c.share += crash.Share
	c.alone = c.alone || crash.Share > 0 && crash.OtherJobs == 0
	c.newest = now
	c.instance = instance
	if len(c.counted) < maxTaskCrashes {
		c.counted = append(c.counted, crash)
	}
}

// countedCrashOf describes a crash for the task of its suspect i.
func countedCrashOf(agent string, c run.Crash, i int, share float64) CountedCrash {
	counted := CountedCrash{Agent: agent, Instance: c.Instance, Share: share, Age: c.Suspects[i].Age, Others: len(c.Suspects) - 1}
	for _, s := range c.Suspects {
		if jobOf(s.Task) != jobOf(c.Suspects[i].Task) {
			counted.OtherJobs++
		}
	}
	return counted
}

// sweepPeriod is the time between two searches for crashes to forget.
const sweepPeriod = time.Second

// sweep forgets what is older than crashMemory.
func (l *crashLog) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < sweepPeriod {
		return
	}
	l.sweptAt = now
	for name, c := range l.tasks {
		if now.Sub(c.newest) > crashMemory {
			delete(l.tasks, name)
		}
	}
	for instance, at := range l.instances {
		if now.Sub(at) > crashMemory {
			delete(l.instances, instance)
		}
	}
}

// causeShares returns the share of each suspect in the cause of a crash. The shares add up to 1, except
// that each run of a job that was alone on the backend server has all of it.
func causeShares(suspects []run.Suspect) []float64 {
	shares := make([]float64, len(suspects))
	sum := 0.0
	single := true
	for i, s := range suspects {
		shares[i] = math.Exp2(-float64(s.Age) / float64(shareHalfLife))
		sum += shares[i]
		single = single && jobOf(s.Task) == jobOf(suspects[0].Task)
	}
	for i := range shares {
		if single {
			shares[i] = 1
		} else if sum > 0 {
			shares[i] /= sum
		}
	}
	return shares
}

// jobOf returns the ID of the job that a task belongs to.
func jobOf(taskName string) string {
	id, _, _ := strings.Cut(taskName, ".")
	return id
}

// ServerCrashed records that the agent's backend server crashed the given time ago. Jobs whose tasks have
// crashed too many backend servers fail at once. Reports of a crash that is known are ignored.
func (s *Scheduler) ServerCrashed(now time.Time, agent string, c run.Crash, ago time.Duration) {
	at := now.Add(-ago)
	if !s.crashes.addInstance(at, fmt.Sprintf("%s#%d", c.Instance, c.Number)) {
		return
	}
	shares := causeShares(c.Suspects)
	s.recordDecision(Decision{Kind: Crashed, Agent: agent, Suspects: len(c.Suspects)})
	repeated := map[string]bool{} // kinds of tasks that were young in an earlier crash too
	for i, suspect := range c.Suspects {
		before := s.crashes.tasks[suspect.Task]
		if before != nil && at.Sub(before.newest) > simultaneousCrashes && suspect.Age <= youngRun {
			repeated[suspect.Kind] = true
		}
		s.crashes.addTask(at, suspect.Task, c.Instance, countedCrashOf(agent, c, i, shares[i]))
	}
	if v := s.servers[agent]; v != nil {
		s.addEvidence(now, at, v, c, repeated)
	}
	for _, suspect := range c.Suspects {
		if j := s.jobs[jobOf(suspect.Task)]; j != nil && s.givenUp(j) {
			s.finish(j, Outcome{Code: result.ServerCrashes})
		}
	}
}

// addEvidence adds a crash of the agent's backend server to the evidence against the kinds of request, and confines
// one if it is sufficient. All entries that get the same reports come to the same result.
func (s *Scheduler) addEvidence(now, at time.Time, v *server, c run.Crash, repeated map[string]bool) {
	service := v.state.Service
	crash := recentCrash{at: at, repeated: len(repeated) > 0, present: map[string]bool{}, evidence: evidenceOf(c, s.bulkheads.service(service).kinds)}
	for _, suspect := range c.Suspects {
		crash.present[suspect.Kind] = true
	}
	for kind := range repeated {
		crash.evidence[kind] += repeatEvidence
	}
	if name := s.bulkheads.addCrash(now, service, crash); name != "" {
		s.recordDecision(Decision{Kind: Confined, Agent: v.agent, Queue: name})
		s.updateBulkheads(now)
	}
}

// givenUp reports whether a task of the job must not start again because backend servers crashed under it, and
// records the crashes as a decision if so.
func (s *Scheduler) givenUp(j *job) bool {
	for _, t := range j.tasks {
		if c := s.crashes.tasks[t.name]; c != nil && t.state != taskDone && c.exhausted() {
			s.recordDecision(Decision{Kind: GivenUp, Ref: run.Ref{Task: t.name}, Count: c.count, Share: c.share, Crashes: c.counted})
			return true
		}
	}
	return false
}

// countUnreportedCrash counts a run that was lost with its backend server although no report of a crash names it:
// agents of earlier versions send no such reports. Runs that a draining server ends when it leaves are lost with it too, but not by a crash.
func (s *Scheduler) countUnreportedCrash(now time.Time, a *attempt, reason result.Code) {
	c := s.crashes.tasks[a.task.name]
	reported := c != nil && c.instance == a.instance
	left := a.server.state.Instance == a.instance && a.server.state.State == run.Draining
	if reported || left || a.server.reportsCrashes || reason != result.ServerLost {
		return
	}
	s.crashes.addTask(now, a.task.name, "", CountedCrash{Agent: a.server.agent, Instance: a.instance})
}

// mustRunAlone reports whether the task may have crashed a backend server and belongs to a confined kind, or has
// been in two crashes. Another crash then shows which task causes it.
func (s *Scheduler) mustRunAlone(j *job, t *task) bool {
	if len(s.crashes.tasks) == 0 {
		return false
	}
	c := s.crashes.tasks[t.name]
	return c != nil && (c.count >= minLikelyCrashes || s.confined(j))
}

// hasSuspects reports whether a waiting task of the job must run alone.
func (s *Scheduler) hasSuspects(j *job) bool {
	if len(s.crashes.tasks) == 0 {
		return false
	}
	for _, t := range j.tasks {
		if t.state == taskWaiting && s.mustRunAlone(j, t) {
			return true
		}
	}
	return false
}

// demandOn returns what a run of the task occupies on the backend server: all of it if the task must run
// alone, and at least the demand of its step: the capacity may be less.
func (s *Scheduler) demandOn(j *job, t *task, v *server) run.Demand {
	if s.mustRunAlone(j, t) {
		return v.state.Capacity.Max(j.Steps[t.step].Demand)
	}
	return j.Steps[t.step].Demand
}
