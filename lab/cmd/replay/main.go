// Command replay replays traces on a system of processes, once for each policy of the
// scheduler at the same time, and prints the figures of docs/policy.md.
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

type options struct {
	binaries, traces, policies, scenarios, deployments string
	entries                                            int
	seed                                               uint64
	generate, probe                                    bool
	keep                                               string
}

func main() {
	var o options
	flag.StringVar(&o.binaries, "bin", "bin", "directory of poplargwd, sampleserver and standinstore")
	flag.StringVar(&o.traces, "traces", "deploy/replay", "directory of the traces")
	flag.StringVar(&o.policies, "policies", strings.Join(sched.Policies(), ","), "policies to compare")
	flag.StringVar(&o.scenarios, "scenarios", strings.Join(replay.Scenarios(), ","), "scenarios to replay")
	flag.StringVar(&o.deployments, "deployments", strings.Join(replay.Deployments(), ","), "deployments to replay")
	flag.IntVar(&o.entries, "entries", 3, "number of entries")
	flag.Uint64Var(&o.seed, "seed", 0, "generate the traces from this seed and use no files; 0 reads the files")
	flag.BoolVar(&o.generate, "generate", false, "write the trace files from seed 1 and exit")
	flag.BoolVar(&o.probe, "probe", false, "measure a lone task and the largest rate of starts instead")
	flag.StringVar(&o.keep, "keep", "", "directory for logs and settings; empty means a temporary one")
	flag.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "replay:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	if o.generate {
		return generate(o)
	}
	dir := o.keep
	if dir == "" {
		temporary, err := os.MkdirTemp("", "replay")
		if err != nil {
			return err
		}
		defer os.RemoveAll(temporary)
		dir = temporary
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

func traceFile(o options, deployment, scenario string) string {
	return filepath.Join(o.traces, deployment+"-"+scenario+".jsonl")
}

func generate(o options) error {
	for _, d := range replay.Deployments() {
		for _, s := range replay.Scenarios() {
			t, err := replay.Generate(d, s, max(o.seed, 1))
			if err != nil {
				return err
			}
			if err := write(traceFile(o, d, s), t); err != nil {
				return err
			}
		}
	}
	return nil
}

func write(name string, t *replay.Trace) error {
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

// compare replays one trace with all policies at the same time, each on a system of its own.
func compare(o options, deployment, scenario, dir string) error {
	t, err := load(o, deployment, scenario)
	if err != nil {
		return err
	}
	policies := strings.Split(o.policies, ",")
	figures := make([]*replay.Summary, len(policies))
	results := make([]*replay.Result, len(policies))
	ideal := replay.ComputeIdeal(t)
	var g errgroup.Group
	for i, p := range policies {
		g.Go(func() (err error) {
			results[i], err = play(o, t, p, filepath.Join(dir, p))
			if err == nil {
				figures[i] = replay.Compare(t, ideal, results[i])
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	printTable(t, o.seed, policies, figures, results)
	return nil
}

func load(o options, deployment, scenario string) (*replay.Trace, error) {
	if o.seed != 0 {
		return replay.Generate(deployment, scenario, o.seed)
	}
	return replay.Load(traceFile(o, deployment, scenario))
}

// settle lets the processes of all systems start before the load begins.
const settle = time.Second

func play(o options, t *replay.Trace, policy, dir string) (*replay.Result, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	s, err := replay.Start(replay.Options{Binaries: o.binaries, Dir: dir, Header: t.Header, Entries: o.entries, Policy: policy})
	if err != nil {
		return nil, err
	}
	defer s.Stop()
	time.Sleep(settle)
	return s.Play(t)
}
