package runentry

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/daemon/boottime"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/route"
	"poplargw.example/dispatch/run"
)

// fuzzRuns is the number of runs that the entry has in FuzzAgentFrame.
const fuzzRuns = 4

// useRunNumber replaces the number of a run by that which the entry has given to its tasks, unless it is high. Frames
// are otherwise about unknown runs, because run numbers are times.
func useRunNumber(ref *peerv1.RunRef, number uint64) {
	if ref != nil && ref.Run < 1000 {
		ref.Run = number
	}
}

// Guards against a frame of an agent that stops an entry, or makes it count more capacity than there can be.
func FuzzAgentFrame(f *testing.F) {
	ref := &peerv1.RunRef{Task: "1.0.0.0", Run: 1}
	odd := &peerv1.Demand{Cpu: math.MinInt64, MemoryMb: math.MaxInt64, Gpu: -1}
	for _, m := range []*peerv1.AgentFrame{
		{Seq: 1, Ack: 1, ClockMs: 1, Free: &peerv1.Demand{Cpu: 8000, MemoryMb: 1000}, Entries: 2, Events: []*peerv1.RunEvent{{Ref: ref, Kind: peerv1.RunEventKind_RUN_EVENT_KIND_DONE}}},
		{Server: &peerv1.RunServer{Instance: "i", Service: "svc", State: peerv1.RunServerState_RUN_SERVER_STATE_READY, Room: odd}, Free: odd, Entries: math.MaxUint32, SlowdownPermille: math.MaxUint32},
		{Server: &peerv1.RunServer{Instance: "j", Service: "svc", State: peerv1.RunServerState_RUN_SERVER_STATE_READY, Room: &peerv1.Demand{Cpu: math.MaxInt64}}, Free: &peerv1.Demand{Cpu: math.MaxInt64}, SlowdownPermille: 1},
		{Ack: math.MaxUint64, ClockMs: math.MaxUint64, Progress: []*peerv1.RunProgress{{Ref: ref, Percent: math.MaxUint32, AgeMs: math.MaxUint32}, {Ref: ref}, {}}},
		{Events: []*peerv1.RunEvent{{Ref: ref, Kind: 99}, {Ref: ref, Kind: peerv1.RunEventKind_RUN_EVENT_KIND_NOT_RUN, Reason: math.MaxUint32}, {}}},
		{Events: []*peerv1.RunEvent{{Ref: ref, Kind: peerv1.RunEventKind_RUN_EVENT_KIND_STOPPED, Reason: 3004}}, Confined: []string{"q", ""}},
		{Crashes: []*peerv1.ServerCrash{
			{Server: "i", Number: 1, AgeMs: math.MaxUint32, Suspects: []*peerv1.CrashSuspect{{Task: "1.0.0.0", Kind: "q", AgeMs: math.MaxUint32}, {}}, Starts: []*peerv1.KindStarts{{Kind: "q", PerKs: math.MaxUint32}, {}}},
			{Server: "i", Number: 2, Suspects: []*peerv1.CrashSuspect{{Task: "1.0.0.0", Kind: "q"}}}, {},
		}, ReportsCrashes: true},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m peerv1.AgentFrame
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		e, a := newTestEntry(t)
		j := jobs.Job{ID: "1", Queue: route.Queue{Name: "q", Service: "svc", Attempts: 1, Stretch: 1.6}, Steps: []jobs.Step{
			{Count: fuzzRuns, Demand: run.Demand{CPU: 100}, Estimate: 100 * time.Millisecond},
		}, Arrived: boottime.Now()}
		number := uint64(boottime.Now().UnixMilli())
		if o, ok := e.admit(j, make(chan jobs.Outcome, 1)); !ok {
			t.Fatalf("job rejected: %+v", o)
		}
		if uint64(boottime.Now().UnixMilli()) != number {
			return // the runs may have either number
		}
		for _, p := range m.GetProgress() {
			useRunNumber(p.GetRef(), number)
		}
		for _, v := range m.GetEvents() {
			useRunNumber(v.GetRef(), number)
		}
		for range 2 {
			e.handleFrame(a, &m)
			e.tick()
		}
		if free, total := e.scheduler.Capacity(); free < 0 || free > run.MaxAmount || total < 0 || total > run.MaxAmount {
			t.Errorf("%d free of %d", free, total)
		}
		if _, runs := e.scheduler.Tasks(); runs > fuzzRuns {
			t.Errorf("%d runs of %d tasks", runs, fuzzRuns)
		}
	})
}
