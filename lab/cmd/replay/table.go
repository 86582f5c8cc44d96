package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"poplargw.example/lab/replay"
)

// printTable prints the results of one trace: a table with a line for each policy, and then the waits
// of tasks and the counters per start.
func printTable(t *replay.Trace, seed uint64, policies []string, summaries []*replay.Summary, results []*replay.Result) {
	fmt.Printf("\n%s, %d jobs", t.Name, len(t.Jobs))
	if seed != 0 {
		fmt.Printf(", seed %d", seed)
	}
	fmt.Print(": response time / ideal response time\n")
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	header := "policy\tmean\tp50\tp99\turgent p99\t"
	for _, k := range t.Kinds {
		header += k.Name + " mean\tp99\t"
	}
	fmt.Fprintln(w, header+"wasted/start\tcomplete\trefused\tfailed\tcancelled\twrong\tduplicates\tutilization\tideal utilization\t")
	for i, p := range policies {
		s := summaries[i]
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t", p, s.All.Mean, s.All.P50, s.All.P99, s.Urgent.P99)
		for _, k := range s.Kinds {
			fmt.Fprintf(w, "%.3f\t%.3f\t", k.Mean, k.P99)
		}
		fmt.Fprintf(w, "%.4f\t", s.WastedPerStart)
		for _, n := range s.JobsByStatus {
			fmt.Fprintf(w, "%d\t", n)
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t\n", results[i].DuplicateStarts, formatShare(s.Utilization), formatShare(s.IdealUtilization))
	}
	w.Flush()
	printWaits("ideal", summaries[0].IdealStarts)
	for i, p := range policies {
		printWaits(p, summaries[i].Starts)
		printCounters(p, results[i])
	}
}

// printWaits prints the waits of tasks and the mean speed of the backend servers that ran them.
func printWaits(name string, s replay.StartStats) {
	fmt.Printf("  %s: wait of a task: mean %v p50 %v p99 %v, mean speed %.3f\n", name, s.WaitMean.Round(time.Millisecond/10),
		s.WaitP50.Round(time.Millisecond/10), s.WaitP99.Round(time.Millisecond/10), s.Speed)
}

// formatShare formats a share as a percentage. It formats 0, which means that no failure domain was
// taken out of service, as "-".
func formatShare(x float64) string {
	if x == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*x)
}

// printCounters prints the number of starts and, per start, every counter that is not zero and the
// processor time. Counters of submissions are left out.
func printCounters(policy string, r *replay.Result) {
	starts := float64(r.Starts)
	fmt.Printf("  %s: %d starts; per start:", policy, r.Starts)
	for _, name := range slices.Sorted(maps.Keys(r.Counters)) {
		v := r.Counters[name]
		if v == 0 || !strings.HasPrefix(name, "poplargw_") || strings.Contains(name, "submissions") {
			continue
		}
		fmt.Printf(" %s %.4f", strings.TrimPrefix(strings.Replace(name, "_total", "", 1), "poplargw_"), v/starts)
	}
	fmt.Printf(", cpu entry %v agent %v\n", perStart(r.EntryCPU, starts), perStart(r.AgentCPU, starts))
}

// perStart returns the duration divided by the number of starts, rounded to a microsecond.
func perStart(d time.Duration, n float64) time.Duration {
	return time.Duration(float64(d) / n).Round(time.Microsecond)
}
