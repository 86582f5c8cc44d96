package link

import (
	"bytes"
	"math"
	"net"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/run"
)

// delimited returns the frames as they are sent.
func delimited(f *testing.F, frames ...proto.Message) []byte {
	var b bytes.Buffer
	for _, m := range frames {
		if _, err := protodelim.MarshalTo(&b, m); err != nil {
			f.Fatal(err)
		}
	}
	return b.Bytes()
}

// receiveAll receives frames from data until an error ends the connection.
func receiveAll(data []byte, next func() proto.Message, handle func()) {
	near, far := net.Pipe()
	go func() {
		// Writing fails when the receiver has closed the connection.
		_, _ = far.Write(data)
		_ = far.Close()
	}()
	c := New(near)
	for c.Receive(next()) == nil {
		handle()
	}
}

// Guards against data of a peer that crashes the receiver of frames or makes it wait after their end, and against
// numbers out of range in what it hands on.
func FuzzReceive(f *testing.F) {
	ref := &peerv1.RunRef{Task: "t.0.0.0", Run: math.MaxUint64}
	odd := &peerv1.Demand{Cpu: math.MinInt64, MemoryMb: math.MaxInt64, Gpu: -1}
	f.Add(delimited(f, &peerv1.AgentFrame{
		Hello: &peerv1.LinkHello{Id: "a", Incarnation: "1"}, Seq: 1, ClockMs: math.MaxUint64, Ack: math.MaxUint64, Free: odd, Entries: math.MaxUint32, SlowdownPermille: 1,
		Server:   &peerv1.RunServer{Instance: "i", Service: "svc", State: 99, Room: odd, Labels: []string{""}},
		Events:   []*peerv1.RunEvent{{Ref: ref, Kind: 99, Reason: math.MaxUint32}, {}},
		Progress: []*peerv1.RunProgress{{Ref: ref, Percent: math.MaxUint32, AgeMs: math.MaxUint32}, {}},
		Crashes:  []*peerv1.ServerCrash{{Server: "i", AgeMs: math.MaxUint32, Suspects: []*peerv1.CrashSuspect{{}}, Starts: []*peerv1.KindStarts{{PerKs: math.MaxUint32}}}},
	}, &peerv1.AgentFrame{Seq: 2}))
	f.Add(delimited(f, &peerv1.EntryFrame{
		Seq: 1, TokenMs: math.MaxUint64, Want: odd, SlackMs: math.MinInt64, SlowdownPermille: math.MaxUint32,
		Orders: []*peerv1.RunOrder{{Ref: ref, Demand: odd, MaxPerServer: math.MaxUint32}}, Claims: []*peerv1.RunClaim{{Ref: ref, Demand: odd}},
	}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0x80, 0x80, 0x80, 0x02, 1})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		var a peerv1.AgentFrame
		receiveAll(data, func() proto.Message { a.Reset(); return &a }, func() {
			r := ReportFromProto(&a, ServerFromProto(a.GetServer()))
			limit := run.Demand{CPU: run.MaxAmount, MemoryMB: run.MaxAmount, GPU: run.MaxAmount}
			if !r.Server.Capacity.Valid() || !r.Free.Fits(limit) || !limit.Sub(limit).Sub(limit).Fits(r.Free) || r.Entries < 0 || r.Entries > maxEntries || r.OthersSlowdown > jobs.MaxSlowdown {
				t.Errorf("report %+v", r)
			}
			for _, p := range a.GetProgress() {
				if _, percent, age := ProgressFromProto(p); percent < 0 || percent > 100 || age < 0 {
					t.Errorf("%d percent at %s", percent, age)
				}
			}
			for _, m := range a.GetCrashes() {
				if _, ago := CrashFromProto(m); ago < 0 {
					t.Errorf("crash %s ago", ago)
				}
			}
			for _, v := range a.GetEvents() {
				EventFromProto(v)
			}
		})
		var e peerv1.EntryFrame
		receiveAll(data, func() proto.Message { e.Reset(); return &e }, func() {
			if slack := SlackFromProto(e.GetSlackMs()); slack.Abs() > maxSlack {
				t.Errorf("slack %s", slack)
			}
		})
	})
}
