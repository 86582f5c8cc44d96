// Package burn computes how fast services use the error budgets of their objectives.
package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// DefaultFactor uses 2% of a budget of 30 days within one hour, the usual threshold of an
	// urgent alert on a window of one hour.
	DefaultFactor = 14.4
	// DefaultShort is the window that ends an alert soon after the cause is gone.
	DefaultShort = 5 * time.Minute
	// DefaultLong is the time for which entries hold counters.
	DefaultLong = time.Hour
	// pointLength is the length of one point of the history.
	pointLength = time.Minute
	// maxBadShare is the share of bad requests that alerts whatever the target. Without it a target
	// of 0.9 could never alert, since its burn rate is at most 10.
	maxBadShare = 0.5
)

// Series names the requests of one service, kind and team.
type Series struct{ Service, Kind, Team string }

// Count is a number of requests.
type Count struct{ Good, Total uint64 }

// Sample holds the requests of one series that ended in one interval at one entry.
type Sample struct {
	Series
	Begin  time.Time
	Length time.Duration
	Count
}

// Objective is the share of requests (0 < Target < 1) that are to be answered whole
// within the response time.
type Objective struct {
	ResponseTime time.Duration
	Target       float64
}

// Rule is a multi-window alert rule: a series alerts while its burn rate is above the factor in both
// windows. The long window shows that the loss matters, the short one that it still goes on.
type Rule struct {
	Short, Long time.Duration
	Factor      float64
}

// Point is the burn rate within one minute that had requests.
type Point struct {
	Begin time.Time
	Rate  float64
}

// Report describes one series. Without an objective only the counts are set.
type Report struct {
	Series
	// Objective is nil if the kind has none.
	Objective *Objective
	// Count covers the long window.
	Count
	// BudgetLeft is the part of the bad requests that the target allows within the long window
	// which has not been used: 1 if all were good, negative if more were bad than allowed.
	BudgetLeft float64
	// Short and Long are burn rates: the share of bad requests as a multiple of the allowed one.
	Short, Long float64
	// Factor is the rule's factor, limited to the burn rate at which half of the requests are bad.
	Factor float64
	Alert  bool
	// History is in order of time. Minutes without requests are left out.
	History []Point
}

// Compute adds up the samples of all entries by series and applies the rule at the time
// now. Reports are in order of service, kind and team. The objective of a series that has none is nil.
func Compute(now time.Time, samples []Sample, objective func(Series) *Objective, rule Rule) []Report {
	bySeries := make(map[Series][]Sample)
	for _, s := range samples {
		if s.within(now, rule.Long) {
			bySeries[s.Series] = append(bySeries[s.Series], s)
		}
	}
	var reports []Report
	for _, s := range slices.SortedFunc(maps.Keys(bySeries), compare) {
		reports = append(reports, report(now, s, bySeries[s], objective(s), rule))
	}
	return reports
}

func report(now time.Time, s Series, samples []Sample, o *Objective, rule Rule) Report {
	r := Report{Series: s, Objective: o, Count: sum(samples)}
	if o == nil {
		return r
	}
	recent := slices.DeleteFunc(slices.Clone(samples), func(s Sample) bool { return !s.within(now, rule.Short) })
	r.Long, r.Short = o.rate(r.Count), o.rate(sum(recent))
	r.BudgetLeft = 1 - r.Long
	r.Factor = min(rule.Factor, maxBadShare/(1-o.Target))
	r.Alert = r.Long > r.Factor && r.Short > r.Factor
	r.History = history(samples, o)
	return r
}

// within tells whether a part of the sample lies within the window that ends now.
func (s Sample) within(now time.Time, window time.Duration) bool {
	return s.Begin.Add(s.Length).After(now.Add(-window))
}

// rate returns the burn rate of a count: 1 uses exactly the budget, 0 is returned for no requests.
func (o *Objective) rate(c Count) float64 {
	if c.Total == 0 {
		return 0
	}
	bad := float64(c.Total-min(c.Good, c.Total)) / float64(c.Total)
	return bad / (1 - o.Target)
}

func sum(samples []Sample) Count {
	var c Count
	for _, s := range samples {
		c.Good += s.Good
		c.Total += s.Total
	}
	return c
}

func history(samples []Sample, o *Objective) []Point {
	minutes := make(map[int64][]Sample)
	for _, s := range samples {
		m := s.Begin.Truncate(pointLength).UnixMilli()
		minutes[m] = append(minutes[m], s)
	}
	var points []Point
	for _, m := range slices.Sorted(maps.Keys(minutes)) {
		points = append(points, Point{Begin: time.UnixMilli(m), Rate: o.rate(sum(minutes[m]))})
	}
	return points
}

func compare(a, b Series) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Team, b.Team))
}
