package replay

import (
	"math"
	"slices"
	"time"
)

// Distribution summarizes a sample, such as the ratios of the response times of jobs to their
// ideal response times. N is the size of the sample.
type Distribution struct {
	N              int
	Mean, P50, P99 float64
}

// Summary holds the figures by which a replay is judged.
type Summary struct {
	// All covers the ratios of response time to ideal response time of all jobs.
	All Distribution
	// Kinds covers the same ratios for each kind, Urgent for all urgent kinds together.
	Kinds  []Distribution
	Urgent Distribution
	// JobsByStatus is the number of jobs of the trace with each status.
	JobsByStatus [WrongAnswer + 1]int
	// WastedPerStart is the number of messages that led to neither a start nor an answer, per start.
	WastedPerStart float64
	// Utilization is the share of the remaining capacity in use, from when a failure domain was
	// taken out of service until shortly after its return. IdealUtilization is that of the ideal
	// schedule. Both are 0 if the trace takes no failure domain out.
	Utilization, IdealUtilization float64
	// Starts and IdealStarts give the waits and server speeds behind the response times of the
	// replay and of the ideal schedule.
	Starts, IdealStarts StartStats
}

// StartStats summarizes the task starts of the jobs that arrived after the warm-up.
type StartStats struct {
	// WaitMean, WaitP50 and WaitP99 are of the time from the arrival of a job to the start of a task.
	WaitMean, WaitP50, WaitP99 time.Duration
	// Speed is the mean speed of the backend servers on which tasks started.
	Speed float64
}

// afterReturn is how long after the return of a failure domain the utilization is still measured.
const afterReturn = 2 * time.Second

// Compare computes the summary of a replay of t. The ratios leave out jobs that arrived in the
// warm-up, that were cancelled or that did not complete.
func Compare(t *Trace, ideal *IdealSchedule, r *Result) *Summary {
	s := &Summary{}
	kinds := make([][]float64, len(t.Kinds))
	var all, urgent []float64
	for i, o := range r.Outcomes {
		s.JobsByStatus[o.Status]++
		j := &t.Jobs[i]
		if o.Status != Complete || j.AtMS < t.WarmupMS || ideal.Response[i] == 0 {
			continue
		}
		ratio := float64(o.Response) / float64(ideal.Response[i])
		all = append(all, ratio)
		kinds[j.Kind] = append(kinds[j.Kind], ratio)
		if t.Kinds[j.Kind].Urgent {
			urgent = append(urgent, ratio)
		}
	}
	s.All, s.Urgent = distribution(all), distribution(urgent)
	for _, k := range kinds {
		s.Kinds = append(s.Kinds, distribution(k))
	}
	if r.Starts > 0 {
		s.WastedPerStart = r.Counters["poplargw_wasted_messages_total"] / float64(r.Starts)
	}
	s.Starts, s.IdealStarts = t.startStats(r.Runs), t.startStats(ideal.Runs)
	if t.OutDomain != "" {
		s.Utilization = t.utilization(r.Runs, r.OutAt, r.BackAt+afterReturn)
		s.IdealUtilization = t.utilization(ideal.Runs, milliseconds(t.OutMS), milliseconds(t.BackMS)+afterReturn)
	}
	return s
}

// startStats summarizes runs without those of the warm-up and those on failing servers.
func (t *Trace) startStats(runs []Run) StartStats {
	var waits []float64
	var s StartStats
	for _, r := range runs {
		at := t.Jobs[r.Job].AtMS
		if at < t.WarmupMS || t.Servers[r.Server].Fails {
			continue
		}
		waits = append(waits, float64(r.Start-milliseconds(at)))
		s.Speed += t.Servers[r.Server].Speed
	}
	w := distribution(waits)
	s.Speed /= float64(max(w.N, 1))
	s.WaitMean, s.WaitP50, s.WaitP99 = time.Duration(w.Mean), time.Duration(w.P50), time.Duration(w.P99)
	return s
}

// distribution sorts x and summarizes it; an empty x gives the zero value.
func distribution(x []float64) Distribution {
	if len(x) == 0 {
		return Distribution{}
	}
	slices.Sort(x)
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return Distribution{N: len(x), Mean: sum / float64(len(x)), P50: quantile(x, 0.5), P99: quantile(x, 0.99)}
}

// quantile returns the q-quantile of the sorted x by the nearest-rank method.
func quantile(x []float64, q float64) float64 {
	return x[min(max(int(math.Ceil(q*float64(len(x))))-1, 0), len(x)-1)]
}

// utilization returns the work done from one time to another on the working servers outside the
// failure domain that was out, as a share of the most that they can do in it. Work is measured as
// time at speed 1.
func (t *Trace) utilization(runs []Run, from, to time.Duration) float64 {
	done, possible := 0.0, 0.0
	remains := func(i int) bool { return !t.Servers[i].Fails && t.Servers[i].Domain != t.OutDomain }
	for i, v := range t.Servers {
		if remains(i) {
			possible += float64(v.Slots) * v.Speed * float64(to-from)
		}
	}
	for _, r := range runs {
		if overlap := min(r.End, to) - max(r.Start, from); overlap > 0 && remains(r.Server) {
			done += float64(overlap) * t.Servers[r.Server].Speed
		}
	}
	return done / possible
}
