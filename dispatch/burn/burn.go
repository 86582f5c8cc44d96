// Package burn computes how fast services use the error budgets of their service-level objectives, and
// which objectives alert.
package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// DefaultFactor is the default of Rule.Factor. At this burn rate, one hour uses 2% of the error budget
	// of 30 days, the usual threshold of an urgent alert on a window of one hour.
	DefaultFactor = 14.4
	// DefaultShort is the default of Rule.Short. It is short so that an alert ends soon after its cause.
	DefaultShort = 5 * time.Minute
	// DefaultLong is the default of Rule.Long, and the time for which entries keep counters.
	DefaultLong = time.Hour
	// pointLength is the length of one point of the history.
	pointLength = time.Minute
	// maxBadShare is the share of bad requests above which a series alerts whatever its target. Without
	// it, a target of 0.9 could never alert with DefaultFactor, because its burn rate is at most 10.
	maxBadShare = 0.5
)

// Series identifies the requests of one service, kind and team.
type Series struct{ Service, Kind, Team string }

// Count holds the number of requests that met the objective and the total number.
type Count struct{ Good, Total uint64 }

// Sample counts the requests of one series that ended in one interval at one entry.
type Sample struct {
	Series
	Begin  time.Time
	Length time.Duration
	Count
}

// Objective requires that at least the share Target of the requests (0 < Target < 1) is answered completely
// within ResponseTime.
type Objective struct {
	ResponseTime time.Duration
	Target       float64
}

// Rule is a multi-window alert rule: a series alerts while its burn rate is above the factor in both
// windows. The long window shows that the loss is significant, the short one that it continues.
type Rule struct {
	Short, Long time.Duration
	Factor      float64
}

// Point is the burn rate of one minute that had requests.
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
	// BudgetLeft is the unused share of the error budget, that is, of the bad requests that the target
	// allows within the long window: 1 if all were good, negative if more were bad than allowed.
	BudgetLeft float64
	// ShortRate and LongRate are the burn rates of the windows: the share of bad requests as a multiple of the
	// share that the target allows.
	ShortRate, LongRate float64
	// Factor is the rule's factor, limited to the burn rate at which half of the requests are bad.
	Factor float64
	Alert  bool
	// History holds the points of the long window in chronological order. Minutes without requests are
	// left out.
	History []Point
}

// Compute adds up the samples of all entries by series and applies the rule to the windows that end now. It
// returns one report for each series that has a sample in the long window, ordered by service, kind and team.
// objective returns the objective of a series, or nil if it has none.
func Compute(now time.Time, samples []Sample, objective func(Series) *Objective, rule Rule) []Report {
	bySeries := make(map[Series][]Sample)
	for _, s := range samples {
		if s.overlapsWindow(now, rule.Long) {
			bySeries[s.Series] = append(bySeries[s.Series], s)
		}
	}
	var reports []Report
	for _, s := range slices.SortedFunc(maps.Keys(bySeries), compareSeries) {
		reports = append(reports, report(now, s, bySeries[s], objective(s), rule))
	}
	return reports
}

// report computes the report of one series from its samples in the long window.
func report(now time.Time, s Series, samples []Sample, o *Objective, rule Rule) Report {
	r := Report{Series: s, Objective: o, Count: sum(samples)}
	if o == nil {
		return r
	}
	recent := slices.DeleteFunc(slices.Clone(samples), func(s Sample) bool { return !s.overlapsWindow(now, rule.Short) })
	r.LongRate, r.ShortRate = o.rate(r.Count), o.rate(sum(recent))
	r.BudgetLeft = 1 - r.LongRate
	r.Factor = min(rule.Factor, maxBadShare/(1-o.Target))
	r.Alert = r.LongRate > r.Factor && r.ShortRate > r.Factor
	r.History = pointsByMinute(samples, o)
	return r
}

// overlapsWindow reports whether a part of the sample lies within the window that ends now.
func (s Sample) overlapsWindow(now time.Time, window time.Duration) bool {
	return s.Begin.Add(s.Length).After(now.Add(-window))
}

// rate returns the burn rate of a count. A rate of 1 uses exactly the error budget. Without requests the
// rate is 0.
func (o *Objective) rate(c Count) float64 {
	if c.Total == 0 {
		return 0
	}
	badShare := float64(c.Total-min(c.Good, c.Total)) / float64(c.Total)
	return badShare / (1 - o.Target)
}

// sum adds up the counts of the samples.
func sum(samples []Sample) Count {
	var c Count
	for _, s := range samples {
		c.Good += s.Good
		c.Total += s.Total
	}
	return c
}

// pointsByMinute returns the burn rate of each minute that has samples, in chronological order.
func pointsByMinute(samples []Sample, o *Objective) []Point {
	byMinute := make(map[int64][]Sample)
	for _, s := range samples {
		m := s.Begin.Truncate(pointLength).UnixMilli()
		byMinute[m] = append(byMinute[m], s)
	}
	var points []Point
	for _, m := range slices.Sorted(maps.Keys(byMinute)) {
		points = append(points, Point{Begin: time.UnixMilli(m), Rate: o.rate(sum(byMinute[m]))})
	}
	return points
}

// compareSeries orders series by service, kind and team.
func compareSeries(a, b Series) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Team, b.Team))
}
