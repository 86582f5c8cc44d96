package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"poplargw.example/daemon/event"
)

// measureClaim kills one of two entries and measures how the other one claims the start records of the
// stand-in agents. The size is the number of start records.
func measureClaim(o options) error {
	return measureRows(o, fmt.Sprintf("Claim by start records, %d agents", o.agents), claimRow,
		"claim s", "entry CPU s", "stand-ins CPU s", "resident MB before", "resident MB after")
}

// claimRow measures one claim of n start records and adds it to the table.
func claimRow(o options, kind string, n int, t *resultTable) error {
	s, err := newSystem(o, kind, 2)
	if err != nil {
		return err
	}
	defer s.stop()
	if err := s.addStandIns(o.agents, n/o.agents); err != nil {
		return err
	}
	time.Sleep(settleTime)
	e := s.entries[0]
	claims := len(s.endedClaims(e))
	resident := e.resident()
	s.entries[1].Kill()
	// The killed entry leaves the table after 3 s of silence; CPU time is counted from 1 s before that.
	time.Sleep(2 * time.Second)
	cpu, standInCPU := e.cpu(), s.standIns.p.cpu()
	if err := s.eventually("the claim has ended", func() bool { return len(s.endedClaims(e)) > claims }); err != nil {
		return err
	}
	took := s.endedClaims(e)[claims].took
	t.addRow(n, took.Seconds(), e.cpu()-cpu, s.standIns.p.cpu()-standInCPU, resident, e.resident())
	return nil
}

// endedClaim is a completed claim found in the log of an entry.
type endedClaim struct{ took time.Duration }

// endedClaims returns the completed claims in the log of an entry, in the order of the log; none if the
// log cannot be opened.
func (s *system) endedClaims(p *process) []endedClaim {
	file, err := os.Open(p.Log)
	if err != nil {
		return nil
	}
	defer file.Close()
	var out []endedClaim
	for scan := bufio.NewScanner(file); scan.Scan(); {
		var line struct {
			Fields map[string]any `json:"fields"`
		}
		if json.Unmarshal(scan.Bytes(), &line) != nil || fmt.Sprint(line.Fields["event"]) != fmt.Sprint(int(event.ClaimEnded)) {
			continue
		}
		took, err := time.ParseDuration(fmt.Sprint(line.Fields["duration"]))
		if err == nil {
			out = append(out, endedClaim{took: took})
		}
	}
	return out
}
