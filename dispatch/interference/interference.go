// Package interference estimates which kinds of request slow each other down on one backend server. For each pair of
// kinds it estimates by how much runs of one kind take longer while runs of the other kind use capacity beside them.
//
// The model is that the logarithm of a run's measured time, divided by its expected time, grows in proportion to the
// capacity used beside it. The coefficients are found by least squares over the runs of a limited time, for all
// neighbouring kinds at once, because their usage is correlated. Two things that have nothing to do with neighbours are
// removed first, from the run times and the usage alike: what the runs on one server have in common (its speed) and what
// the runs of one step have in common (the error of its declared run time).
//
// The package does no I/O, takes the time as a parameter, and is not safe for concurrent use.
package interference

import (
	"math"
	"slices"
	"time"

	"poplargw.example/dispatch/run"
)

const (
	// MaxKinds bounds the number of kinds. Further ones are ignored until another one is forgotten.
	MaxKinds = 8
	// MaxRuns bounds the number of runs of each kind that are kept.
	MaxRuns = 512
	// window is how long a run counts. An entry of the large deployments sees some 200 runs of its rarest kind in that time.
	window = 25 * time.Second
	// solveInterval is the least time between two computations of the estimates of a kind.
	solveInterval = 1500 * time.Millisecond
	// ForgetWithin is the time within which a pair is forgotten after its interference, or the last run of its kinds,
	// has ended, as long as Expire is called.
	ForgetWithin = window + 2*solveInterval
	// A pair is found when its effect is at least foundEffect and its coefficient foundErrors standard errors from 0. It
	// is kept while both are above the lower bounds, so that it does not come and go. The estimates are checked for hours,
	// and three standard errors, usual for one check, would be exceeded by chance.
	foundEffect, keptEffect = 0.3, 0.12
	foundErrors, keptErrors = 5, 2.5
	// minFreedom is the number of degrees of freedom below which there is no estimate, minServers that of servers.
	minFreedom = 40
	minServers = 5
	// Some runs in a hundred take seven times as long, which is 1.95 in the logarithm. Runs whose residual is beyond
	// outlierFactor times the median of all, and beyond minOutlier, are left out. outlierRounds is how often.
	outlierFactor = 6.0
	minOutlier    = 0.4
	outlierRounds = 2
	// maxCenterings bounds the rounds in which the means of steps and servers are removed, centeringLimit is the largest
	// mean that may be left.
	maxCenterings  = 30
	centeringLimit = 0.003
	// maxEffect and maxReduction bound the effect and its negative, maxProduct the part of a run that counts as caused by
	// its neighbours when a coefficient is converted.
	maxEffect, maxReduction, maxProduct = 20, 0.95, 0.8
	// ridge makes the normal equations solvable when a kind hardly varies beside another; it is small compared with the
	// squared usage of 40 runs, about 0.5.
	ridge = 0.01
	// minVariance is the least variance of a run time that is assumed, that of 10%: no measured time is more exact.
	minVariance = 0.01
)

// Run is one completed run of a step.
type Run struct {
	// Server identifies the process of the backend server.
	Server string
	// Ratio is the measured run time divided by the expected one. The expected one need not account for the speed of the
	// server, but must be the same for all runs of a step on one server.
	Ratio float64
	// Beside is the mean capacity that other runs used.
	Beside []run.KindUsage
}

// Pair is the estimate for runs of Kind beside runs of Beside.
type Pair struct {
	Kind, Beside string
	// Effect is by what fraction a run of Kind takes longer if runs of Beside use all capacity of the server; negative if
	// it takes less. Error is the standard error of the slope of the logarithm of the run time, which is Effect where the
	// usage is small.
	Effect, Error float64
	// Found is set while the estimate is certain enough to be used.
	Found bool
}

// Model holds the estimates of one service. Create it with New.
type Model struct {
	kinds   [MaxKinds]slot
	changes []Pair
	found   int // number of found pairs
}

// slot is the state of one kind; name is empty if it is free.
type slot struct {
	name  string
	last  time.Time // newest run of the kind, or beside which it used capacity
	fit   fit
	pairs [MaxKinds]estimate // by the slot of the other kind
}

type estimate struct {
	coefficient, err float64
	effect           float64 // see Pair.Effect
	known, found     bool
}

// vector has an element for each slot.
type vector [MaxKinds]float64

// New returns a model without observations.
func New() *Model { return &Model{} }

// Observe records the completed runs of one step of a job, all of the given kind.
func (m *Model) Observe(now time.Time, kind string, runs []Run) {
	i, ok := m.slotOf(now, kind)
	if !ok {
		return
	}
	k := &m.kinds[i]
	k.last = now
	k.fit.add(now, m.points(now, runs))
	m.update(now, i)
}

// points converts runs, without those whose ratio is no positive number.
func (m *Model) points(now time.Time, runs []Run) []point {
	list := make([]point, 0, len(runs))
	for _, r := range runs {
		if !(r.Ratio > 0) || math.IsInf(r.Ratio, 0) {
			continue
		}
		p := point{server: r.Server, y: math.Log(r.Ratio)}
		for _, u := range r.Beside {
			if u.Permille <= 0 {
				continue
			}
			if i, ok := m.slotOf(now, u.Kind); ok {
				m.kinds[i].last = now
				p.x[i] = float64(min(1000, u.Permille)) / 1000
			}
		}
		list = append(list, p)
	}
	return list
}

// slotOf returns the slot of a kind. A new kind takes a free one or that of a kind that has been idle.
func (m *Model) slotOf(now time.Time, kind string) (int, bool) {
	if kind == "" {
		return 0, false
	}
	free := -1
	for i := range m.kinds {
		switch k := &m.kinds[i]; {
		case k.name == kind:
			return i, true
		case free < 0 && (k.name == "" || now.Sub(k.last) > window):
			free = i
		}
	}
	if free < 0 {
		return 0, false
	}
	m.reset(free)
	m.kinds[free].name = kind
	m.kinds[free].last = now
	return free, true
}

// reset clears a slot and what the others have of it.
func (m *Model) reset(i int) {
	for j := range m.kinds {
		m.set(i, j, estimate{})
		m.set(j, i, estimate{})
		m.kinds[j].fit.drop(i)
	}
	m.kinds[i] = slot{}
}

// update recomputes the estimates of a kind if they are older than solveInterval.
func (m *Model) update(now time.Time, i int) {
	k := &m.kinds[i]
	if passed := now.Sub(k.fit.solvedAt); passed >= 0 && passed < solveInterval {
		return
	}
	k.fit.solvedAt = now
	s, ok := k.fit.solve()
	for j := range m.kinds {
		if m.kinds[j].name == "" {
			continue
		}
		e := estimate{coefficient: s.coefficients[j], err: s.errors[j], effect: s.effect(j), known: ok && s.usage[j] > 0}
		e.found = e.known && e.certain(k.pairs[j].found)
		m.set(i, j, e)
	}
}

// certain reports whether the pair counts as found, given whether it did so before.
func (e estimate) certain(found bool) bool {
	size, distance := math.Abs(e.effect), math.Abs(e.coefficient)/e.err
	if found {
		return size >= keptEffect && distance >= keptErrors
	}
	return size >= foundEffect && distance >= foundErrors
}

// set replaces an estimate and records whether the pair was found or forgotten.
func (m *Model) set(i, j int, e estimate) {
	before := m.kinds[i].pairs[j]
	m.kinds[i].pairs[j] = e
	if before.found == e.found {
		return
	}
	if e.found {
		m.found++
	} else {
		m.found--
	}
	m.changes = append(m.changes, m.pair(i, j))
}

func (m *Model) pair(i, j int) Pair {
	e := m.kinds[i].pairs[j]
	return Pair{Kind: m.kinds[i].name, Beside: m.kinds[j].name, Effect: e.effect, Error: e.err, Found: e.found}
}

// Expire forgets the runs from before the window, and kinds without later ones.
func (m *Model) Expire(now time.Time) {
	for i := range m.kinds {
		k := &m.kinds[i]
		switch {
		case k.name == "":
		case now.Sub(k.last) > window:
			m.reset(i)
		case len(k.fit.points) > 0 && now.Sub(k.fit.points[0].at) > window+solveInterval:
			k.fit.expire(now)
			m.update(now, i)
		}
	}
}

// Active reports whether any pair is found.
func (m *Model) Active() bool { return m.found > 0 }

// TakeChanges returns the pairs that were found or forgotten since the last call, in that order.
func (m *Model) TakeChanges() []Pair {
	list := m.changes
	m.changes = nil
	return list
}

// Pairs returns the estimates of all pairs that have one, found or not.
func (m *Model) Pairs() []Pair {
	var list []Pair
	for i := range m.kinds {
		for j := range m.kinds {
			if m.kinds[i].pairs[j].known {
				list = append(list, m.pair(i, j))
			}
		}
	}
	return list
}

// Harm returns by what fraction of its run time a run of the kind and the runs beside it are expected to lengthen in
// total, if runs of other kinds use the given capacity. What it does to the others counts in proportion to their usage,
// as it does for itself. Only found pairs that slow down count. It is 0 without such a pair.
func (m *Model) Harm(kind string, usage []run.KindUsage) float64 {
	i := m.find(kind)
	if m.found == 0 || i < 0 {
		return 0
	}
	sum := 0.0
	for _, u := range usage {
		if j := m.find(u.Kind); j >= 0 {
			sum += float64(min(1000, max(0, u.Permille))) / 1000 * (m.slowing(i, j) + m.slowing(j, i))
		}
	}
	return sum
}

// Concerns reports whether the kind is part of a found pair that slows down.
func (m *Model) Concerns(kind string) bool {
	i := m.find(kind)
	if m.found == 0 || i < 0 {
		return false
	}
	for j := range m.kinds {
		if m.slowing(i, j) > 0 || m.slowing(j, i) > 0 {
			return true
		}
	}
	return false
}

// slowing returns the effect of a found pair that slows down, or 0.
func (m *Model) slowing(i, j int) float64 {
	if e := m.kinds[i].pairs[j]; e.found {
		return max(0, e.effect)
	}
	return 0
}

func (m *Model) find(kind string) int {
	return slices.IndexFunc(m.kinds[:], func(k slot) bool { return k.name == kind && kind != "" })
}
