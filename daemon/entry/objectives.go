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
	// objectiveIntervals is the number of intervals that are kept; together they cover one
	// hour.
	objectiveIntervals = 360
	// maxObjectiveKeys bounds the combinations of service, kind and team in one interval.
	// Requests of further combinations are counted under an empty team. With 38 teams the
	// limit leaves room for 26 kinds.
	maxObjectiveKeys = 1000
)

type objectiveKey struct{ service, kind, team string }

type objectiveCount struct{ good, total uint64 }

// objectiveTracker counts the good requests and all requests of callers by service, kind and team in
// intervals of objectiveInterval. It is safe for concurrent use.
type objectiveTracker struct {
	mu   sync.Mutex
	ring [objectiveIntervals]objectiveBucket
}

// objectiveBucket holds the counts of one interval.
type objectiveBucket struct {
	index  int64 // number of the interval since the Unix epoch
	counts map[objectiveKey]*objectiveCount
}

func newObjectiveTracker() *objectiveTracker { return &objectiveTracker{} }

// add counts a request once for each kind of its tasks. The request is good if it succeeded
// within the response time of the kind's objective. Invalid requests and requests that were
// cancelled are not counted, since they say nothing about the service.
func (o *objectiveTracker) add(now time.Time, r *poplargwv1.SubmitJobRequest, c *poplargwv1.Config, f *result.Failure, took time.Duration) {
	if f != nil && (f.Code < result.Overloaded || f.Code == result.Cancelled) {
		return
	}
	s := findService(c, r.GetService())
	if s == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	bucket := o.bucket(now)
	var seen []string
	for _, t := range r.GetTasks() {
		k := findKind(s, t.GetKind())
		if k == nil || slices.Contains(seen, t.GetKind()) {
			continue
		}
		seen = append(seen, t.GetKind())
		n := bucket.count(objectiveKey{s.GetName(), k.GetName(), r.GetTeam()})
		n.total++
		if limit := k.GetObjective().GetResponseTime(); f == nil && (limit == nil || took <= limit.AsDuration()) {
			n.good++
		}
	}
}

// bucket returns the bucket of the interval that contains now, and empties it when it still
// holds an earlier interval.
func (o *objectiveTracker) bucket(now time.Time) *objectiveBucket {
	i := now.UnixMilli() / objectiveInterval.Milliseconds()
	c := &o.ring[i%objectiveIntervals]
	if c.index != i {
		*c = objectiveBucket{index: i, counts: make(map[objectiveKey]*objectiveCount)}
	}
	return c
}

// count returns the counter of k, or of k without its team when the bucket is full.
func (b *objectiveBucket) count(k objectiveKey) *objectiveCount {
	n := b.counts[k]
	if n == nil && len(b.counts) >= maxObjectiveKeys {
		k.team = ""
		n = b.counts[k]
	}
	if n == nil {
		n = &objectiveCount{}
		b.counts[k] = n
	}
	return n
}

// windows returns the counts of the last hour, ordered by time, service, kind and team.
func (o *objectiveTracker) windows(now time.Time) []*poplargwv1.ObjectiveWindow {
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
