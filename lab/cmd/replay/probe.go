package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"poplargw.example/dispatch/sched"
	"poplargw.example/lab/replay"
)

// Sizes of the measurements: the number and run time of the single tasks; for the largest rate of
// starts, the slots of each backend server, the duration of each measurement, the largest number of
// entries, and the number of agents.
const (
	singleTasks  = 300
	singleTaskMS = 50
	probeSlots   = 256
	probeTime    = 5 * time.Second
	maxEntries   = 4
	probeAgents  = 4
)

// probe measures the latency that the dispatcher adds to a single task, and the largest rate of starts
// with growing numbers of entries and agents.
func probe(o options, dir string) error {
	if err := withSystem(o, filepath.Join(dir, "lone"), 1, 1, 8, func(s *replay.System) error {
		l, err := s.MeasureSingleTask(singleTasks, singleTaskMS)
		if err != nil {
			return err
		}
		fmt.Printf("a single task of %d ms, %d times: direct p50 %v p99 %v, dispatched p50 %v p99 %v, added p50 %v p99 %v\n",
			singleTaskMS, singleTasks, l.Direct.P50, l.Direct.P99, l.Dispatched.P50, l.Dispatched.P99,
			l.Dispatched.P50-l.Direct.P50, l.Dispatched.P99-l.Direct.P99)
		return nil
	}); err != nil {
		return err
	}
	if err := saturate(o, dir, 1, 1); err != nil {
		return err
	}
	for entries := 1; entries <= maxEntries; entries *= 2 {
		if err := saturate(o, dir, entries, probeAgents); err != nil {
			return err
		}
	}
	return nil
}

// saturate measures and prints the largest rate of starts for a number of entries and agents.
func saturate(o options, dir string, entries, agents int) error {
	return withSystem(o, filepath.Join(dir, fmt.Sprintf("saturation-%d-%d", entries, agents)), entries, agents, probeSlots, func(s *replay.System) error {
		r, err := s.Saturate(probeTime)
		if err != nil {
			return err
		}
		fmt.Printf("%d entries, %d agents: %.0f starts/s, cpu per start: entry %v agent %v, %d jobs failed, wasted messages per start %.4f\n",
			entries, agents, r.Rate, perStart(r.EntryCPU, r.Starts), perStart(r.AgentCPU, r.Starts), r.Failed, r.Wasted/r.Starts)
		return nil
	})
}

// withSystem starts a system without added latency, whose files are in dir, runs measure on it and
// stops it. It has one backend server with the given slots for each agent.
func withSystem(o options, dir string, entries, agents, slots int, measure func(*replay.System) error) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	h := replay.Header{Service: "probe", Region: "r", Domains: []string{"d"}, Kinds: []replay.Kind{{Name: "k", Priority: 5}}}
	for range agents {
		h.Servers = append(h.Servers, replay.Server{Domain: "d", Slots: slots, Speed: 1})
	}
	s, err := replay.Start(replay.Options{Binaries: o.binaries, Dir: dir, Header: h, Entries: entries,
		Policy: sched.PolicyCompletion, NoDelay: true})
	if err != nil {
		return err
	}
	defer s.Stop()
	time.Sleep(settleTime)
	return measure(s)
}
