package sched

import (
	"fmt"
	"testing"
	"time"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

// BenchmarkStart measures one start and its reply with 10,000 queued tasks, 880 servers
// and 38 teams.
func BenchmarkStart(b *testing.B) {
	s, c := newScheduler(b), testConfig()
	for i := range 38 {
		c.Teams = append(c.Teams, &poplargwv1.Team{Name: fmt.Sprint(i), QuotaSlots: 10})
	}
	s.Configure(startTime, c)
	var pending []StartTask
	for i := range 880 {
		s.AgentReport(startTime, newReport(fmt.Sprint(i), 1, "left", 1, 1))
	}
	for n, now := 0, startTime; b.Loop(); now = now.Add(250 * time.Microsecond) {
		for ; s.queued <= 9980; n++ {
			j := newJob(byte(n), []string{"check", "verify"}[n%2], 20)
			j.Key.ID[14], j.Key.ID[13] = byte(n>>8), byte(n>>16)
			j.Team, j.Deadline = c.Teams[n%38].Name, at(1000*time.Hour)
			starts, _ := splitActions(s.Submit(now, j))
			pending = append(pending, starts...)
		}
		r := StartReply{Result: []byte{1}, RunTime: 100 * time.Millisecond, HasSlots: true, FreeSlots: 1, Sequence: uint64(now.UnixNano())}
		starts, _ := splitActions(s.StartReply(now, pending[0].Ref, r))
		pending = append(pending[1:], starts...)
	}
}
