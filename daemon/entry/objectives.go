package entry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/result"
)

const (
	objectiveInterval = 10 * time.Second
	// objectiveIntervals covers the last hour.
	objectiveIntervals = 360
	// maxObjectiveCells bounds one interval; more combinations are counted under an empty
	// team. With 38 teams this leaves room for 26 kinds.
	maxObjectiveCells = 1000
)

type objectiveKey struct{ service, kind, team string }

type objectiveCount struct{ good, total uint64 }

// objectives counts the requests of callers by service, kind and team in intervals. It
// is safe for concurrent use.
type objectives struct {
	mu   sync.Mutex
	ring [objectiveIntervals]objectiveCell
}

type objectiveCell struct {
	index  int64
	counts map[objectiveKey]*objectiveCount
}

func newObjectives() *objectives { return &objectives{} }

// add counts a request once for each kind of its tasks. Requests that are wrong in
// themselves or were cancelled by the caller say nothing about the service.
func (o *objectives) add(now time.Time, r *poplargwv1.SubmitJobRequest, c *poplargwv1.Config, f *result.Failure, took time.Duration) {
	if f != nil && (f.Code < result.Overloaded || f.Code == result.Cancelled) {
		return
	}
	s := findService(c, r.GetService())
	if s == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	cell := o.cell(now)
	var seen []string
	for _, t := range r.GetTasks() {
		k := findKind(s, t.GetKind())
		if k == nil || slices.Contains(seen, t.GetKind()) {
			continue
		}
		seen = append(seen, t.GetKind())
		n := cell.count(objectiveKey{s.GetName(), k.GetName(), r.GetTeam()})
		n.total++
		if limit := k.GetObjective().GetResponseTime(); f == nil && (limit == nil || took <= limit.AsDuration()) {
			n.good++
		}
	}
}

func (o *objectives) cell(now time.Time) *objectiveCell {
	i := now.UnixMilli() / objectiveInterval.Milliseconds()
	c := &o.ring[i%objectiveIntervals]
	if c.index != i {
		*c = objectiveCell{index: i, counts: make(map[objectiveKey]*objectiveCount)}
	}
	return c
}

func (c *objectiveCell) count(k objectiveKey) *objectiveCount {
	n := c.counts[k]
	if n == nil && len(c.counts) >= maxObjectiveCells {
		k.team = ""
		n = c.counts[k]
	}
	if n == nil {
		n = &objectiveCount{}
		c.counts[k] = n
	}
	return n
}

// windows returns the counts of the last hour in order of time.
func (o *objectives) windows(now time.Time) []*poplargwv1.ObjectiveWindow {
	o.mu.Lock()
	defer o.mu.Unlock()
	oldest := now.UnixMilli()/objectiveInterval.Milliseconds() - objectiveIntervals
	var out []*poplargwv1.ObjectiveWindow
	for i := range o.ring {
		c := &o.ring[i]
		if c.index <= oldest {
			continue
		}
		for k, n := range c.counts {
			out = append(out, &poplargwv1.ObjectiveWindow{
				Service: k.service, Kind: k.kind, Team: k.team,
				BeginUnixMs: c.index * objectiveInterval.Milliseconds(), Length: durationpb.New(objectiveInterval),
				Good: n.good, Total: n.total,
			})
		}
	}
	slices.SortFunc(out, func(a, b *poplargwv1.ObjectiveWindow) int {
		return cmp.Or(cmp.Compare(a.BeginUnixMs, b.BeginUnixMs), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Team, b.Team))
	})
	return out
}
