package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"poplargw.example/dispatch/sched"
	"poplargw.example/lab/replay"
)

// Sizes of the probes.
const (
	loneTasks   = 300
	loneMS      = 50
	probeSlots  = 256
	probeTime   = 5 * time.Second
	maxEntries  = 4
	probeAgents = 4
)

// probe measures what the dispatcher adds to a lone task, and the largest rate of starts.
func probe(o options, dir string) error {
	if err := withSystem(o, filepath.Join(dir, "lone"), 1, 1, 8, func(s *replay.System) error {
		l, err := s.MeasureSingleTask(loneTasks, loneMS)
		if err != nil {
			return err
		}
		fmt.Printf("a lone task of %d ms, %d times: direct p50 %v p99 %v, dispatched p50 %v p99 %v, added p50 %v p99 %v\n",
			loneMS, loneTasks, l.Direct.P50, l.Direct.P99, l.Dispatched.P50, l.Dispatched.P99,
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

func saturate(o options, dir string, entries, agents int) error {
	return withSystem(o, filepath.Join(dir, fmt.Sprintf("saturation-%d-%d", entries, agents)), entries, agents, probeSlots, func(s *replay.System) error {
		r, err := s.Saturate(probeTime)
		if err != nil {
			return err
		}
		fmt.Printf("%d entries, %d agents: %.0f starts/s, cpu a start: entry %v agent %v, %d jobs failed, wasted %.4f a start\n",
			entries, agents, r.Rate, each(r.EntryCPU, r.Starts), each(r.AgentCPU, r.Starts), r.Failed, r.Wasted/r.Starts)
		return nil
	})
}

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
	time.Sleep(settle)
	return measure(s)
}
