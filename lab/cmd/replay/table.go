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

// printTable prints a line for each policy and then the messages by kind.
func printTable(t *replay.Trace, seed uint64, policies []string, figures []*replay.Summary, results []*replay.Result) {
	fmt.Printf("\n%s, %d jobs", t.Name, len(t.Jobs))
	if seed != 0 {
		fmt.Printf(", seed %d", seed)
	}
	fmt.Print(": response / ideal\n")
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	head := "policy\tmean\tp50\tp99\turgent p99\t"
	for _, k := range t.Kinds {
		head += k.Name + " mean\tp99\t"
	}
	fmt.Fprintln(w, head+"wasted/task\tcomplete\trefused\tfailed\tcancelled\twrong\tdoubles\tcapacity\tideal's\t")
	for i, p := range policies {
		f := figures[i]
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t", p, f.All.Mean, f.All.P50, f.All.P99, f.Urgent.P99)
		for _, k := range f.Kinds {
			fmt.Fprintf(w, "%.3f\t%.3f\t", k.Mean, k.P99)
		}
		fmt.Fprintf(w, "%.4f\t", f.WastedPerStart)
		for _, n := range f.JobsByStatus {
			fmt.Fprintf(w, "%d\t", n)
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t\n", results[i].DuplicateStarts, share(f.Utilization), share(f.IdealUtilization))
	}
	w.Flush()
	printTasks("ideal", figures[0].IdealStarts)
	for i, p := range policies {
		printTasks(p, figures[i].Starts)
		printMessages(p, results[i])
	}
}

func printTasks(name string, t replay.StartStats) {
	fmt.Printf("  %s: wait of a task mean %v p50 %v p99 %v, mean speed %.3f\n", name, t.WaitMean.Round(time.Millisecond/10),
		t.WaitP50.Round(time.Millisecond/10), t.WaitP99.Round(time.Millisecond/10), t.Speed)
}

func share(x float64) string {
	if x == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*x)
}

// printMessages prints the messages a task by kind, and the processor time a task.
func printMessages(policy string, r *replay.Result) {
	tasks := float64(r.Starts)
	fmt.Printf("  %s: %d starts; a task:", policy, r.Starts)
	for _, name := range slices.Sorted(maps.Keys(r.Counters)) {
		v := r.Counters[name]
		if v == 0 || !strings.HasPrefix(name, "poplargw_") || strings.Contains(name, "submissions") {
			continue
		}
		fmt.Printf(" %s %.4f", strings.TrimPrefix(strings.Replace(name, "_total", "", 1), "poplargw_"), v/tasks)
	}
	fmt.Printf(", cpu entry %v agent %v\n", each(r.EntryCPU, tasks), each(r.AgentCPU, tasks))
}

func each(d time.Duration, n float64) time.Duration {
	return time.Duration(float64(d) / n).Round(time.Microsecond)
}
