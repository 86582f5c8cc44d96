package partner

import "time"

// resize adapts the target number of agents beyond the base to the load.
func (s *Set) resize(now time.Time, load Load) {
	free := float64(load.Free) / float64(max(1, load.Capacity))
	if load.Waiting > 0 || load.JobRefused || load.Runs > 0 && free < scarceCapacity {
		s.ampleSince = time.Time{}
		s.grow(now, load)
		return
	}
	if free < ampleCapacity {
		s.ampleSince = time.Time{}
		return
	}
	s.shrink(now)
}

// grow raises the number of agents beyond the base, unless the last growth was too recent.
func (s *Set) grow(now time.Time, load Load) {
	if now.Sub(s.lastGrowth) < s.growthPause {
		return
	}
	s.growthPause = min(2*s.growthPause, maxGrowthPause)
	if load.Runs >= s.runsAtGrowth+s.added/2 || now.Sub(s.lastGrowth) > 2*maxGrowthPause {
		s.growthPause = minGrowthPause
	}
	maxExtra := min(extraPerTask*(load.Waiting+load.Runs), len(s.ranked)-s.base)
	if load.JobRefused {
		maxExtra = len(s.ranked) - s.base
	}
	s.added = max(0, min(maxExtra, s.extra+max(minGrowth, (s.base+s.extra)/growthDivisor))-s.extra)
	s.extra += s.added
	s.runsAtGrowth = load.Runs
	s.lastGrowth = now
}

// shrink lowers the number of agents beyond the base once capacity has been ample for long enough.
func (s *Set) shrink(now time.Time) {
	if s.ampleSince.IsZero() {
		s.ampleSince = now
	}
	if s.extra == 0 || now.Sub(s.ampleSince) < shrinkAfter || now.Sub(s.lastShrink) < shrinkInterval {
		return
	}
	s.lastShrink = now
	s.extra -= max(min(minGrowth, s.extra), s.extra/growthDivisor)
}
