package jobs

import "time"

const (
	// slackShare is the fraction of a job's slack (objective minus run time) that a job of priority 0
	// may spend waiting. The rest covers run times that are longer than declared.
	slackShare = 0.45
	// slackSharePerPriority is subtracted from slackShare for each priority number, so that under load
	// less urgent jobs are rejected first.
	slackSharePerPriority = 0.12
	// minSlackShare is the fraction that a job of any priority may spend waiting.
	minSlackShare = 0.05
	// minRunTimeFactor times the expected run time is the shortest run time assumed for a job that
	// must end before a deadline: declared run times are off by about 40%.
	minRunTimeFactor = 0.6
)

// admissible reports whether a new job can meet its objective behind the jobs that already wait, and
// returns how long that backlog lasts. Without this check, a burst of up to twice the capacity makes
// every job wait until none is served in time.
func (s *Scheduler) admissible(now time.Time, j *job) (time.Duration, bool) {
	wait := s.expectedWait(now, j, s.onTime)
	if !j.Deadline.IsZero() && now.Add(wait+time.Duration(minRunTimeFactor*float64(j.criticalPath))).After(j.Deadline) {
		return wait, false
	}
	if s.confined(j) && !s.bulkheadAvailable(j.Queue.Service) {
		return defaultRetryAfter, false
	}
	if wait == 0 || s.canStartNow(now, j) {
		return 0, true
	}
	if len(j.tasks)+s.waitingTasks() > s.limits.MaxWaitingTasks {
		return wait, false
	}
	share := max(minSlackShare, slackShare-slackSharePerPriority*float64(j.Queue.Priority))
	return wait, float64(wait) <= share*float64(j.latencyObjective()-j.criticalPath)
}

// waitingTasks returns the number of tasks of queued jobs that are not placed.
func (s *Scheduler) waitingTasks() int {
	n := 0
	for _, list := range [][]*job{s.onTime, s.late} {
		for _, j := range list {
			for _, t := range j.tasks {
				if t.state == taskWaiting {
					n++
				}
			}
		}
	}
	return n
}
