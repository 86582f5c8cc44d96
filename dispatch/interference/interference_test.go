package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"poplargw.example/dispatch/run"
)

// world produces runs of some kinds on servers of different speeds, beside usage that changes with time.
type world struct {
	rng   *rand.Rand
	now   time.Time
	kinds []string
	// width is the number of tasks of each step, by kind; interval the mean time between two steps.
	width    []int
	interval time.Duration
	speeds   []float64
	usage    [][]float64 // by server and kind
	// effects[i][j] is by what fraction a run of kind i takes longer beside a server full of kind j.
	effects map[[2]int]float64
	tail    float64 // share of the runs that take seven times as long
}

func newWorld(seed uint64, kinds int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), interval: 20 * time.Millisecond, effects: map[[2]int]float64{}, tail: 0.03}
	for i := range kinds {
		w.kinds = append(w.kinds, fmt.Sprintf("kind-%d", i))
		w.width = append(w.width, 1+3*(i%3))
	}
	for i := range 11 {
		w.speeds = append(w.speeds, []float64{0.7, 0.7, 1.7}[i%3])
		row := make([]float64, kinds)
		for k := range row {
			row[k] = w.rng.Float64() / float64(kinds)
		}
		w.usage = append(w.usage, row)
	}
	return w
}

// step lets some time pass and gives the model the runs of one step. It returns the kind and their number.
func (w *world) step(m *Model) (kind, count int) {
	w.now = w.now.Add(time.Duration(w.rng.ExpFloat64() * float64(w.interval)))
	for _, row := range w.usage {
		for k := range row {
			// A fifth of the usage changes with each step anywhere, as short runs start and end.
			row[k] = min(1/float64(len(row))*1.2, max(0, row[k]+0.2*(w.rng.Float64()/float64(len(row))*1.5-row[k])))
			if w.rng.IntN(12) == 0 {
				row[k] = w.rng.Float64() / float64(len(row)) * 1.2
			}
		}
	}
	i := w.rng.IntN(len(w.kinds))
	// The declared run time is off by 40%, which all tasks of a step share.
	declared := math.Exp(0.4 * w.rng.NormFloat64())
	var runs []Run
	for range w.width[i] {
		server := w.rng.IntN(len(w.speeds))
		ratio := declared * w.speeds[server] * (1 + 0.15*(2*w.rng.Float64()-1))
		if w.rng.Float64() < w.tail {
			ratio *= 7
		}
		var beside []run.KindUsage
		for j, name := range w.kinds {
			beside = append(beside, run.KindUsage{Kind: name, Permille: int(1000 * w.usage[server][j])})
			ratio *= 1 + w.effects[[2]int{i, j}]*w.usage[server][j]
		}
		runs = append(runs, Run{Server: fmt.Sprint("server-", server), Ratio: ratio, Beside: beside})
	}
	m.Observe(w.now, w.kinds[i], runs)
	m.Expire(w.now)
	return i, len(runs)
}

func foundPairs(m *Model) map[string]float64 {
	found := map[string]float64{}
	for _, p := range m.Pairs() {
		if p.Found {
			found[p.Kind+" beside "+p.Beside] = p.Effect
		}
	}
	return found
}

// seeds returns how many seeds a test of many runs uses: all without the race detector, which makes them ten times slower.
func seeds(all uint64) uint64 {
	if testing.Short() {
		return 1
	}
	return all
}

// Guards against an interference that is found late, with the wrong sign or size, or for another pair: one must be
// found within 500 runs of its kind, although declared times are off by 40%, 3% of the runs take seven times as long and
// servers differ by 2.4 in speed. No kind uses more than 0.4 of a server here.
func TestFindsPlantedPair(t *testing.T) {
	const limit = 500 // runs of the kind
	for _, planted := range []float64{2, 1.2, -0.6} {
		for seed := uint64(1); seed <= seeds(10); seed++ {
			w, m := newWorld(seed, 3), New()
			w.effects[[2]int{1, 2}] = planted
			runs, foundAfter, effect := 0, 0, 0.0
			for w.now.Before(time.Unix(1080, 0)) {
				if kind, n := w.step(m); kind == 1 {
					runs += n
				}
				found, ok := foundPairs(m)["kind-1 beside kind-2"]
				if ok {
					effect = found
				}
				if ok && foundAfter == 0 {
					foundAfter = runs
				}
			}
			t.Logf("planted %.1f, seed %d: found after %d of %d runs, effect %.2f", planted, seed, foundAfter, runs, effect)
			if foundAfter == 0 || foundAfter > limit {
				t.Errorf("planted %.1f, seed %d: found after %d runs", planted, seed, foundAfter)
			}
			if math.Signbit(effect) != math.Signbit(planted) || math.Abs(math.Log1p(effect)-math.Log1p(planted)) > 0.35 {
				t.Errorf("planted %.1f, seed %d: effect %.2f", planted, seed, effect)
			}
			for name := range foundPairs(m) {
				if name != "kind-1 beside kind-2" {
					t.Errorf("planted %.1f, seed %d: also found %s", planted, seed, name)
				}
			}
		}
	}
}

// Guards against pairs that are found where there is no interference, in ten minutes of runs each.
func TestFindsNothingWithoutInterference(t *testing.T) {
	for seed := uint64(1); seed <= seeds(20); seed++ {
		w, m := newWorld(seed, 3), New()
		for range 30_000 {
			w.step(m)
			for _, p := range m.TakeChanges() {
				t.Errorf("seed %d: %+v after %v", seed, p, w.now.Sub(time.Unix(1000, 0)))
			}
		}
	}
}

// Guards against a server that becomes much slower, and whose usage changes with that, being taken for interference.
func TestChangedSpeedIsNoInterference(t *testing.T) {
	for seed := uint64(1); seed <= seeds(20); seed++ {
		w, m := newWorld(seed, 3), New()
		for n := range 12_000 {
			if n%1000 == 999 {
				server := w.rng.IntN(len(w.speeds))
				if w.speeds[server] > 2 {
					w.speeds[server] /= 6.5
				} else {
					w.speeds[server] *= 6.5
					clear(w.usage[server])
				}
			}
			w.step(m)
			for _, p := range m.TakeChanges() {
				t.Errorf("seed %d: %+v after %v", seed, p, w.now.Sub(time.Unix(1000, 0)))
			}
		}
	}
}

// Guards against an estimate that outlives its interference: it must be forgotten within ForgetWithin, whether the runs
// go on without it, the neighbouring kind ends, or all runs end.
func TestForgets(t *testing.T) {
	for _, planted := range []float64{0.8, 2, 5} {
		for name, after := range map[string]func(*world){
			"interference ended": func(w *world) { clear(w.effects) },
			"neighbour ended": func(w *world) {
				w.kinds, w.width = w.kinds[:2], w.width[:2]
				for i := range w.usage {
					w.usage[i] = w.usage[i][:2]
				}
			},
			"all ended": func(w *world) { w.interval = time.Hour },
		} {
			w, m := newWorld(7, 3), New()
			w.effects[[2]int{1, 2}] = planted
			for range 6000 {
				w.step(m)
			}
			if _, ok := foundPairs(m)["kind-1 beside kind-2"]; !ok {
				t.Fatalf("%s, planted %.1f: not found", name, planted)
			}
			after(w)
			end := w.now.Add(ForgetWithin)
			for w.interval < time.Minute && w.now.Before(end) {
				w.step(m)
			}
			m.Expire(end)
			if found := foundPairs(m); len(found) > 0 || m.Active() {
				t.Errorf("%s, planted %.1f: still found after %v: %v", name, planted, ForgetWithin, found)
			}
		}
	}
}

// Guards against state that grows with the kinds and runs that were ever seen, and against values that make the
// estimates not a number.
func TestStateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, now := New(), time.Unix(1000, 0)
		name := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("k", rapid.IntRange(0, 2*MaxKinds).Draw(t, "kind")) })
		ratio := rapid.OneOf(rapid.Float64Range(0.01, 100), rapid.SampledFrom([]float64{0, -1, math.NaN(), math.Inf(1), math.MaxFloat64, math.SmallestNonzeroFloat64}))
		observed := rapid.Custom(func(t *rapid.T) Run {
			r := Run{Server: fmt.Sprint("s", rapid.IntRange(0, 30).Draw(t, "server")), Ratio: ratio.Draw(t, "ratio")}
			for range rapid.IntRange(0, 4).Draw(t, "kinds") {
				r.Beside = append(r.Beside, run.KindUsage{Kind: name.Draw(t, "beside"), Permille: rapid.IntRange(-10, 5000).Draw(t, "permille")})
			}
			return r
		})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e8, 5e9).Draw(t, "passed")))
			m.Observe(now, name.Draw(t, "kind"), rapid.SliceOfN(observed, 0, 30).Draw(t, "runs"))
			if rapid.Bool().Draw(t, "expire") {
				m.Expire(now)
			}
		}
		for i := range m.kinds {
			if n := len(m.kinds[i].fit.points); n > MaxRuns {
				t.Fatalf("%d runs", n)
			}
		}
		found := 0
		for _, p := range m.Pairs() {
			if math.IsNaN(p.Effect) || math.IsInf(p.Effect, 0) || math.IsNaN(p.Error) || p.Effect < -1 {
				t.Fatalf("pair %+v", p)
			}
			if p.Found {
				found++
			}
		}
		if m.Active() != (found > 0) || found != m.found {
			t.Fatalf("%d found, counted %d", found, m.found)
		}
		if h := m.Harm(name.Draw(t, "kind"), []run.KindUsage{{Kind: name.Draw(t, "beside"), Permille: 500}}); h < 0 || math.IsNaN(h) {
			t.Fatalf("harm %v", h)
		}
	})
}

// Guards against an effect that depends on the size of the planted one or on the number of kinds: over drawn worlds, a
// pair of strong interference is found with its sign, and the harm that placement uses has that of both directions.
func TestFindsDrawnPair(t *testing.T) {
	if testing.Short() {
		t.Skip("runs without the race detector")
	}
	rapid.Check(t, func(t *rapid.T) {
		kinds := rapid.IntRange(2, 5).Draw(t, "kinds")
		w, m := newWorld(rapid.Uint64().Draw(t, "seed"), kinds), New()
		i, j := rapid.IntRange(0, kinds-1).Draw(t, "kind"), rapid.IntRange(0, kinds-1).Draw(t, "beside")
		w.width[i] = rapid.IntRange(2, 8).Draw(t, "width")
		planted := rapid.Float64Range(2, 4).Draw(t, "effect")
		w.effects[[2]int{i, j}] = planted
		// With more kinds, each uses less and a step is one of the kind less often.
		for range 1500 * kinds {
			w.step(m)
		}
		name := w.kinds[i] + " beside " + w.kinds[j]
		if effect := foundPairs(m)[name]; effect < planted/3 || effect > planted*3 {
			t.Fatalf("%s: effect %.2f, planted %.2f; %v", name, effect, planted, m.Pairs())
		}
		usage := []run.KindUsage{{Kind: w.kinds[j], Permille: 500}}
		if h := m.Harm(w.kinds[i], usage); h <= 0 || !m.Concerns(w.kinds[i]) || !m.Concerns(w.kinds[j]) {
			t.Fatalf("harm %v", h)
		}
	})
}

// Guards against a cost that a small entry cannot bear: an entry of the large deployments observes some hundred runs a
// second and asks for the harm for each server and task.
func BenchmarkSolve(b *testing.B) {
	w, m := newWorld(1, 3), New()
	w.width = []int{8, 8, 8}
	w.step(m)
	var runs []Run
	for i := range 8 {
		runs = append(runs, Run{Server: fmt.Sprint("server-", i), Ratio: 1 + float64(i)/10, Beside: []run.KindUsage{{Kind: "kind-0", Permille: 100 * i}, {Kind: "kind-1", Permille: 30}, {Kind: "kind-2", Permille: 90}}})
	}
	b.ReportAllocs()
	for n := range 2 * MaxRuns {
		runs[n%8].Server = fmt.Sprint("server-", n%40)
		m.Observe(w.now, "kind-1", runs)
	}
	for b.Loop() {
		w.now = w.now.Add(solveInterval)
		for i := range m.kinds[1].fit.points {
			m.kinds[1].fit.points[i].at = w.now
		}
		m.Observe(w.now, "kind-1", runs)
	}
}

func BenchmarkHarm(b *testing.B) {
	w, m := newWorld(1, 3), New()
	w.effects[[2]int{1, 2}] = 2
	for range 4000 {
		w.step(m)
	}
	usage := []run.KindUsage{{Kind: "kind-0", Permille: 100}, {Kind: "kind-1", Permille: 30}, {Kind: "kind-2", Permille: 90}}
	for b.Loop() {
		m.Harm("kind-1", usage)
	}
}
