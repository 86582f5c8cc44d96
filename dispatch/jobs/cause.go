package jobs

import (
	"math"
	"time"

	"poplargw.example/dispatch/run"
)

const (
	// meanCrashDelay is the assumed mean time from the start of a task that crashes its backend server to the
	// crash.
	meanCrashDelay = 30 * time.Millisecond
	// noEvidence is the likelihood ratio of a crash for a kind of which no run was young enough.
	noEvidence = 0.2
	// repeatEvidence is the logarithm of the likelihood ratio of a task that was young in two crashes. Few tasks
	// are twice on a backend server that crashes by chance.
	repeatEvidence = 2.0
	// minLead is how much more evidence than against any other kind there must be, as the logarithm of a
	// likelihood ratio.
	minLead = 1.0
	// youngRun is the age of a run up to which it may well have caused a crash.
	youngRun = 100 * time.Millisecond
	// minServerStarts is the least rate at which tasks of a kind are assumed to start on a backend server.
	minServerStarts = 1.0
)

// recentCrash is one crash, or several at the same time, of the backend servers of a service.
type recentCrash struct {
	at time.Time
	// evidence is the logarithm of the likelihood of the ages of the kind's runs if it causes the crash, divided
	// by that if it does not.
	evidence map[string]float64
	repeated bool            // a young run of a task had been in an earlier crash
	present  map[string]bool // kinds that had a run there
}

// merge adds a crash at the same time: the evidence becomes the mean.
func (s *recentCrash) merge(o recentCrash) {
	for name := range s.evidence {
		s.evidence[name] = (s.evidence[name] + o.evidence[name]) / 2
	}
}

// evidenceOf returns the evidence of a crash against each kind. A task that crashes its backend server does so
// soon after its start, so a young run counts, and the more the rarer tasks of its kind start there.
func evidenceOf(c run.Crash, kinds map[string]*kindState) map[string]float64 {
	density := map[string]float64{}
	for name := range kinds {
		density[name] = 0
	}
	for _, suspect := range c.Suspects {
		if suspect.Kind != "" {
			density[suspect.Kind] += math.Exp(-float64(suspect.Age)/float64(meanCrashDelay)) / meanCrashDelay.Seconds()
		}
	}
	for name, d := range density {
		density[name] = math.Log(noEvidence + (1-noEvidence)*d/max(minServerStarts, c.Starts[name]))
	}
	return density
}

// likelyCause returns the kind that most likely causes a burst of crashes, or "" if there is no burst or no such
// kind.
func (c *serviceCrashes) likelyCause() string {
	repeated := false
	evidence := map[string]float64{}
	for _, crash := range c.recent {
		repeated = repeated || crash.repeated
		for name, e := range crash.evidence {
			evidence[name] += e
		}
	}
	if len(c.recent) < repeatCrashes || len(c.recent) < burstCrashes && !repeated {
		return ""
	}
	cause, best, second := "", 0.0, 0.0
	for name, e := range evidence {
		switch {
		case e > best:
			cause, best, second = name, e, best
		case e > second:
			second = e
		}
	}
	if best-second < minLead {
		return ""
	}
	return cause
}
