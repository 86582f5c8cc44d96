package kindusage

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"poplargw.example/dispatch/run"
)

const capacity = 10_000

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a mean that counts the run itself, or usage from before or after it.
func TestMeanBesideRun(t *testing.T) {
	var a Account
	early := a.Add(at(0), "long", 2000)
	r := a.Add(at(100), "short", 1000)
	sibling := a.Add(at(150), "short", 1000)
	a.Remove(at(200), early, capacity)
	got := a.Remove(at(300), r, capacity)
	// Half of the time 2,000 beside it, three quarters of the time 1,000 of its own kind.
	want := []run.KindUsage{{Kind: "long", Permille: 100}, {Kind: "short", Permille: 75}}
	if !slices.Equal(got, want) {
		t.Errorf("beside the run: %v, want %v", got, want)
	}
	if got := a.Usage(at(300), capacity); !slices.Equal(got, []run.KindUsage{{Kind: "short", Permille: 100}}) {
		t.Errorf("usage: %v", got)
	}
	a.Remove(at(400), sibling, capacity)
	if got := a.Usage(at(400), capacity); len(got) != 0 {
		t.Errorf("usage: %v", got)
	}
}

// Guards against a run without neighbours that looks like one of which nothing is known.
func TestRunAloneIsKnown(t *testing.T) {
	var a Account
	a.Remove(at(10), a.Add(at(0), "long", 2000), capacity)
	r := a.Add(at(20), "short", 1000)
	if got := a.Remove(at(30), r, capacity); !slices.Equal(got, []run.KindUsage{{Kind: "short"}}) {
		t.Errorf("beside the run: %v", got)
	}
}

// Guards against bytes in each frame where only one kind uses the backend server, and against a mean that leaves out a run
// of which the agent knows neither kind nor demand, such as one from before its restart.
func TestSaysNothing(t *testing.T) {
	var a Account
	a.Add(at(0), "only", 2000)
	r := a.Add(at(0), "only", 1000)
	if got := a.Usage(at(5), capacity); got != nil {
		t.Errorf("usage with one kind: %v", got)
	}
	if got := a.Remove(at(10), r, capacity); got != nil {
		t.Errorf("beside the run with one kind: %v", got)
	}
	found := a.Add(at(10), "", 0)
	r = a.Add(at(10), "other", 1000)
	a.Remove(at(15), found, capacity)
	if got := a.Remove(at(20), r, capacity); got != nil {
		t.Errorf("beside a run of unknown kind: %v", got)
	}
	if got := a.Remove(at(30), a.Add(at(20), "other", 1000), capacity); len(got) == 0 {
		t.Error("nothing is known after the run of unknown kind has ended")
	}
}

// Guards against state that grows with the kinds, against a sum of usage that drifts, and against means that differ from
// those of a direct computation.
func TestAgainstDirectComputation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct {
			r    Run
			kind string
			cpu  int64
			from int
			till int
		}
		var a Account
		var running, all []*entry
		now := 0
		kinds := rapid.IntRange(2, MaxKinds).Draw(t, "kinds")
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.IntRange(0, 300).Draw(t, "passed")
			if len(running) == 0 || rapid.Bool().Draw(t, "add") {
				e := &entry{kind: fmt.Sprint("k", rapid.IntRange(0, kinds-1).Draw(t, "kind")), cpu: rapid.Int64Range(0, 500).Draw(t, "cpu"), from: now, till: math.MaxInt}
				e.r = a.Add(at(now), e.kind, e.cpu)
				running, all = append(running, e), append(all, e)
				continue
			}
			i := rapid.IntRange(0, len(running)-1).Draw(t, "run")
			e := running[i]
			running = slices.Delete(running, i, i+1)
			e.till = now
			got := a.Remove(at(now), e.r, capacity)
			want := map[string]float64{}
			for _, o := range all {
				overlap := min(o.till, now) - max(o.from, e.from)
				if o != e && overlap > 0 {
					want[o.kind] += float64(o.cpu) * float64(overlap)
				}
			}
			for _, u := range got {
				exact := want[u.Kind] / float64(now-e.from) / capacity * 1000
				if math.Abs(float64(u.Permille)-exact) > 0.51 {
					t.Fatalf("%s beside a run of %s: %d, want %f", u.Kind, e.kind, u.Permille, exact)
				}
			}
		}
		sum := int64(0)
		for _, e := range running {
			sum += e.cpu
		}
		for _, k := range a.kinds {
			sum -= k.used
		}
		if sum != 0 {
			t.Fatalf("%d millicores are counted wrongly", sum)
		}
	})
}

// Guards against a new kind that is not accounted although old ones are gone, and against the usage of an old kind that
// counts for the new one in its place.
func TestPlacesAreReused(t *testing.T) {
	var a Account
	for i := range MaxKinds {
		a.Remove(at(1000), a.Add(at(0), fmt.Sprint("old", i), 1000), capacity)
	}
	late := at(1000).Add(2 * memory)
	r := a.Add(late, "new", 1000)
	other := a.Add(late, "other", 500)
	if got := a.Remove(late.Add(time.Second), r, capacity); !slices.Equal(got, []run.KindUsage{{Kind: "new"}, {Kind: "other", Permille: 50}}) {
		t.Errorf("beside the run: %v", got)
	}
	a.Remove(late.Add(time.Second), other, capacity)
	for i := range MaxKinds + 1 {
		a.Add(late, fmt.Sprint("more", i), 1000)
	}
	if a.unknown == 0 {
		t.Error("a kind beyond the limit does not count as unknown")
	}
}
