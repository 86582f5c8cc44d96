package jobs

import "time"

const (
	// slackShare is the part of a job's slack, its objective less its run time, that it may spend
	// waiting. The rest covers run times that are longer than declared.
	slackShare = 0.45
	// slackStep is how much less of its slack a job may wait for each priority number, so that under
	// load less urgent jobs are rejected first.
	slackStep = 0.12
	// leastShare is the part that a job of any priority may spend.
	leastShare = 0.05
	// shortfall is the part of the expected run time below which a job cannot end in time: declared
	// times are off by about two fifths.
	shortfall = 0.6
)

// admissible tells whether a new job can be served within its objective behind those that wait, and
// how long the backlog lasts. It answers bursts of up to twice the room: without it everybody waits, and
// nobody is served in time.
func (s *Scheduler) admissible(now time.Time, j *job) (time.Duration, bool) {
	wait := s.wait(now, j, s.onTime)
	if !j.Deadline.IsZero() && now.Add(wait+time.Duration(shortfall*float64(j.work))).After(j.Deadline) {
		return wait, false
	}
	if wait == 0 || s.startsNow(now, j) {
		return 0, true
	}
	if len(j.tasks)+s.waitingTasks() > s.limits.MaxWaiting {
		return wait, false
	}
	share := max(leastShare, slackShare-slackStep*float64(j.Queue.Priority))
	return wait, float64(wait) <= share*float64(j.aim()-j.work)
}

func (s *Scheduler) waitingTasks() int {
	n := 0
	for _, list := range [][]*job{s.onTime, s.late} {
		for _, j := range list {
			for _, t := range j.tasks {
				if t.state == waiting {
					n++
				}
			}
		}
	}
	return n
}
