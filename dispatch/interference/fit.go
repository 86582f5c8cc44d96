package interference

import (
	"math"
	"slices"
	"time"
)

// fit holds the newest runs of one kind and computes the coefficients of the kinds beside them.
type fit struct {
	points   []point // at most MaxRuns, in the order of their observation
	steps    uint64  // number of the newest step
	solvedAt time.Time
}

// point is a run as the regression sees it: y is the logarithm of its ratio, x the usage beside it.
type point struct {
	at     time.Time
	server string
	step   uint64 // 0 for all runs that are alone in their step
	y      float64
	x      vector
}

// add adds the runs of one step, and drops the oldest ones beyond MaxRuns and those from before the window.
func (f *fit) add(now time.Time, points []point) {
	f.steps++
	for i := range points {
		points[i].at = now
		if len(points) > 1 {
			points[i].step = f.steps
		}
	}
	f.points = append(f.points, points[:min(len(points), MaxRuns)]...)
	f.expire(now)
	f.points = slices.Delete(f.points, 0, max(0, len(f.points)-MaxRuns))
}

// expire drops the runs from before the window.
func (f *fit) expire(now time.Time) {
	n := 0
	for n < len(f.points) && now.Sub(f.points[n].at) > window {
		n++
	}
	f.points = slices.Delete(f.points, 0, n)
}

// drop removes the usage by a kind.
func (f *fit) drop(i int) {
	for n := range f.points {
		f.points[n].x[i] = 0
	}
}

// solution holds the coefficients of the kinds, their standard errors, and the mean usage beside the runs.
type solution struct {
	coefficients, errors, usage vector
}

// solve returns the coefficients and false if there are too few observations.
//
// The errors are the larger of two. The first is that of independent runs. The second allows for errors that the runs on
// one server share, by comparing what the servers contribute: placement prefers some servers.
func (f *fit) solve() (solution, bool) {
	points := slices.Clone(f.points)
	s := solution{usage: meanUsage(points)}
	for round := 0; ; round++ {
		g := newGroups(points, s.usage)
		freedom := float64(len(points) - len(g.steps) - len(g.servers) + 1 - g.kinds)
		if freedom < minFreedom || len(g.servers) < minServers {
			return solution{}, false
		}
		g.center(points)
		sums := sumsOf(points)
		s.coefficients = sums.coefficients()
		if round == outlierRounds {
			s.errors = sums.errors(points, s.coefficients, freedom, g)
			return s, true
		}
		points = withoutOutliers(points, s.coefficients)
	}
}

// groups assigns the points to their steps and servers.
type groups struct {
	steps, servers [][]int // indices of points
	serverOf       []int
	kinds          int // number of elements of x that may differ from 0
}

// meanUsage returns the mean usage beside the points.
func meanUsage(points []point) (usage vector) {
	for _, p := range points {
		for k, x := range p.x {
			usage[k] += x / float64(len(points))
		}
	}
	return usage
}

func newGroups(points []point, usage vector) *groups {
	g := &groups{}
	steps, servers := map[uint64]int{}, map[string]int{}
	for i, p := range points {
		g.steps = appendTo(g.steps, steps, p.step, i)
		g.servers = appendTo(g.servers, servers, p.server, i)
		g.serverOf = append(g.serverOf, servers[p.server])
	}
	for k, u := range usage {
		if u > 0 {
			g.kinds = k + 1
		}
	}
	return g
}

// appendTo adds i to the list with the given key.
func appendTo[K comparable](lists [][]int, index map[K]int, key K, i int) [][]int {
	n, ok := index[key]
	if !ok {
		n = len(lists)
		index[key] = n
		lists = append(lists, nil)
	}
	lists[n] = append(lists[n], i)
	return lists
}

// center subtracts from each point what its step and its server have in common, in turn until both means are 0.
func (g *groups) center(points []point) {
	for range maxCenterings {
		largest := 0.0
		for _, lists := range [][][]int{g.steps, g.servers} {
			for _, list := range lists {
				largest = max(largest, centerOn(points, list, g.kinds))
			}
		}
		if largest < centeringLimit {
			return
		}
	}
}

// centerOn subtracts the mean of the listed points, for the given number of kinds, from each, and returns the largest change.
func centerOn(points []point, list []int, kinds int) float64 {
	var y float64
	var x vector
	for _, i := range list {
		y += points[i].y
		for k, v := range points[i].x[:kinds] {
			x[k] += v
		}
	}
	n := float64(len(list))
	largest := math.Abs(y / n)
	for k := range kinds {
		x[k] /= n
		largest = max(largest, math.Abs(x[k]))
	}
	for _, i := range list {
		points[i].y -= y / n
		for k := range kinds {
			points[i].x[k] -= x[k]
		}
	}
	return largest
}

// residual returns what the coefficients leave of a centered point.
func (p *point) residual(coefficients vector) float64 {
	r := p.y
	for k, b := range coefficients {
		r -= b * p.x[k]
	}
	return r
}

// withoutOutliers returns the centered points whose residual is not far above the usual.
func withoutOutliers(points []point, coefficients vector) []point {
	sizes := make([]float64, len(points))
	for i := range points {
		sizes[i] = math.Abs(points[i].residual(coefficients))
	}
	sorted := slices.Clone(sizes)
	slices.Sort(sorted)
	limit := max(minOutlier, outlierFactor*sorted[len(sorted)/2])
	kept := points[:0]
	for i, size := range sizes {
		if size <= limit {
			kept = append(kept, points[i])
		}
	}
	return kept
}

// sums are the normal equations with the inverse of their matrix.
type sums struct {
	inverse [MaxKinds]vector
	xy      vector
}

func sumsOf(points []point) (s sums) {
	var xx [MaxKinds]vector
	for _, p := range points {
		for i, x := range p.x {
			s.xy[i] += x * p.y
			for j, other := range p.x {
				xx[i][j] += x * other
			}
		}
	}
	s.inverse = invert(xx)
	return s
}

func (s *sums) coefficients() (c vector) {
	for i := range c {
		for j, xy := range s.xy {
			c[i] += s.inverse[i][j] * xy
		}
	}
	return c
}

// errors returns the standard errors of the coefficients; see fit.solve.
func (s *sums) errors(points []point, coefficients vector, freedom float64, g *groups) (errors vector) {
	residuals := 0.0
	scores := make([]vector, len(g.servers)) // by server: the products of the usage and the residuals
	for i := range points {
		r := points[i].residual(coefficients)
		residuals += r * r
		for k, x := range points[i].x {
			scores[g.serverOf[i]][k] += x * r
		}
	}
	variance := max(minVariance, residuals/freedom)
	correction := float64(len(points)) / freedom * float64(len(scores)) / float64(len(scores)-1)
	for i := range errors {
		between := 0.0
		for _, score := range scores {
			part := 0.0
			for j, v := range score {
				part += s.inverse[i][j] * v
			}
			between += part * part
		}
		errors[i] = math.Sqrt(max(variance*s.inverse[i][i], between*correction))
	}
	return errors
}

// effect converts a coefficient, the slope of the logarithm of the run time, to the fraction by which a run takes longer
// for all of the server: the logarithm of 1 + effect * usage has that slope at the mean usage.
func (s *solution) effect(i int) float64 {
	product := min(maxProduct, s.coefficients[i]*s.usage[i])
	return max(-maxReduction, min(maxEffect, s.coefficients[i]/(1-product)))
}

// invert returns the inverse of the matrix plus ridge in its diagonal, by elimination. The matrix is symmetric and has no
// negative eigenvalue, so that no pivot is below ridge and rows need not be exchanged.
func invert(a [MaxKinds]vector) (inverse [MaxKinds]vector) {
	for i := range a {
		a[i][i] += ridge
		inverse[i][i] = 1
	}
	for i := range a {
		pivot := a[i][i]
		for j := range a {
			a[i][j] /= pivot
			inverse[i][j] /= pivot
		}
		for r := range a {
			factor := a[r][i]
			if r == i || factor == 0 {
				continue
			}
			for j := range a {
				a[r][j] -= factor * a[i][j]
				inverse[r][j] -= factor * inverse[i][j]
			}
		}
	}
	return inverse
}
