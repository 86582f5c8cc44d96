package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"connectrpc.com/connect"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

// changesPerRow is the number of configuration changes measured for one row.
const changesPerRow = 5

// measureConfig measures the time from a configuration change until all stand-in agents have fetched
// it, and its cost. The size is the number of stand-in agents.
func measureConfig(o options) error {
	return measureRows(o, "Configuration change by agents", configRow,
		"median s", "longest s", "entry CPU ms", "entry out bytes", "store calls", "resident MB after")
}

// configRow measures changesPerRow changes with n stand-in agents and adds a row to the table. The CPU
// time and the bytes that the idle entry uses are subtracted.
func configRow(o options, kind string, n int, t *resultTable) error {
	s, err := newSystem(o, kind, 1)
	if err != nil {
		return err
	}
	defer s.stop()
	if err := s.addStandIns(n, 0); err != nil {
		return err
	}
	time.Sleep(settleTime)
	e, counts := s.entries[0], s.forwarder(s.entries[0]).trafficFrom(s.net.IP(hostStandIn))
	idle := s.measureUsage(e, s.net.IP(hostStandIn), e)
	cpu, out, begin := e.cpu(), counts.out.Load(), time.Now()
	before := s.storeCalls()
	var times []time.Duration
	for range changesPerRow {
		took, err := s.timeChange()
		if err != nil {
			return err
		}
		times = append(times, took)
	}
	took := time.Since(begin).Seconds()
	slices.Sort(times)
	// An idle entry makes one store call per second.
	calls := s.storeCalls() - before - took
	t.addRow(n, times[changesPerRow/2].Seconds(), times[changesPerRow-1].Seconds(),
		1e3*(e.cpu()-cpu-idle.cpu/100*took)/changesPerRow,
		(float64(counts.out.Load()-out)-idle.out*took)/changesPerRow, calls/changesPerRow, e.resident())
	return nil
}

// timeChange applies a configuration change and returns the time until every stand-in agent has
// fetched it.
func (s *system) timeChange() (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	current, err := s.operator(0).GetConfig(ctx, connect.NewRequest(&poplargwv1.GetConfigRequest{}))
	if err != nil {
		return 0, err
	}
	begin := time.Now()
	if err := s.apply(); err != nil {
		return 0, err
	}
	at, err := s.standIns.wait(fmt.Sprintf("config %d", current.Msg.GetRecord().GetVersion()+1))
	return at.Sub(begin), err
}
