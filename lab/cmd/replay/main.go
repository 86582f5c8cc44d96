// Command replay replays traces on systems of processes, one system for each policy of the scheduler
// and all at the same time, and prints the figures of docs/policy.md.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"poplargw.example/dispatch/sched"
	"poplargw.example/lab/replay"
)

// options holds the values of the flags.
type options struct {
	binaries, traces, policies, scenarios, deployments string
	entries                                            int
	seed                                               uint64
	generate, probe                                    bool
	keep                                               string
}

func main() {
	var o options
	flag.StringVar(&o.binaries, "bin", "bin", "directory of the executables poplargwd, sampleserver and standinstore")
	flag.StringVar(&o.traces, "traces", "deploy/replay", "directory of the trace files")
	flag.StringVar(&o.policies, "policies", strings.Join(sched.Policies(), ","), "policies to compare, separated by commas")
	flag.StringVar(&o.scenarios, "scenarios", strings.Join(replay.Scenarios(), ","), "scenarios to replay, separated by commas")
	flag.StringVar(&o.deployments, "deployments", strings.Join(replay.Deployments(), ","), "deployments to replay, separated by commas")
	flag.IntVar(&o.entries, "entries", 3, "number of entries")
	flag.Uint64Var(&o.seed, "seed", 0, "generate the traces from this seed instead of reading the files; 0 reads the files")
	flag.BoolVar(&o.generate, "generate", false, "generate the trace files, from seed 1 unless -seed is set, and exit")
	flag.BoolVar(&o.probe, "probe", false, "instead of replaying traces, measure the latency of single tasks and the largest rate of starts")
	flag.StringVar(&o.keep, "keep", "", "directory to keep logs and settings in; empty means a temporary directory, which is removed")
	flag.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "replay:", err)
		os.Exit(1)
	}
}

// run does what the flags ask for.
func run(o options) error {
	if o.generate {
		return generate(o)
	}
	dir := o.keep
	if dir == "" {
		tempDir, err := os.MkdirTemp("", "replay")
		if err != nil {
			return err
		}
		defer os.RemoveAll(tempDir)
		dir = tempDir
	}
	if o.probe {
		return probe(o, dir)
	}
	for _, d := range strings.Split(o.deployments, ",") {
		for _, s := range strings.Split(o.scenarios, ",") {
			if err := compare(o, d, s, filepath.Join(dir, d+"-"+s)); err != nil {
				return fmt.Errorf("%s %s: %w", d, s, err)
			}
		}
	}
	return nil
}

// traceFile returns the path of the trace file of a deployment and scenario.
func traceFile(o options, deployment, scenario string) string {
	return filepath.Join(o.traces, deployment+"-"+scenario+".jsonl")
}

// generate writes the trace files of all deployments and scenarios.
func generate(o options) error {
	for _, d := range replay.Deployments() {
		for _, s := range replay.Scenarios() {
			t, err := replay.Generate(d, s, max(o.seed, 1))
			if err != nil {
				return err
			}
			if err := writeTrace(traceFile(o, d, s), t); err != nil {
				return err
			}
		}
	}
	return nil
}

// writeTrace writes a trace file.
func writeTrace(name string, t *replay.Trace) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := replay.Encode(f, t); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// compare replays one trace with all policies at the same time, each on a separate system, and prints
// the table.
func compare(o options, deployment, scenario, dir string) error {
	t, err := loadTrace(o, deployment, scenario)
	if err != nil {
		return err
	}
	policies := strings.Split(o.policies, ",")
	summaries := make([]*replay.Summary, len(policies))
	results := make([]*replay.Result, len(policies))
	ideal := replay.ComputeIdeal(t)
	var g errgroup.Group
	for i, p := range policies {
		g.Go(func() (err error) {
			results[i], err = replayTrace(o, t, p, filepath.Join(dir, p))
			if err == nil {
				summaries[i] = replay.Compare(t, ideal, results[i])
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	printTable(t, o.seed, policies, summaries, results)
	return nil
}

// loadTrace generates the trace from the seed, or reads its file if the seed is 0.
func loadTrace(o options, deployment, scenario string) (*replay.Trace, error) {
	if o.seed != 0 {
		return replay.Generate(deployment, scenario, o.seed)
	}
	return replay.Load(traceFile(o, deployment, scenario))
}

// settleTime is the pause between the start of a system and the load, so that the processes of all
// systems have started before the load begins.
const settleTime = time.Second

// replayTrace replays a trace with one policy on a new system, whose files are in dir.
func replayTrace(o options, t *replay.Trace, policy, dir string) (*replay.Result, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	s, err := replay.Start(replay.Options{Binaries: o.binaries, Dir: dir, Header: t.Header, Entries: o.entries, Policy: policy})
	if err != nil {
		return nil, err
	}
	defer s.Stop()
	time.Sleep(settleTime)
	return s.Play(t)
}
