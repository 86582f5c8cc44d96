package link

import (
	"math"
	"testing"
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/owner"
	"poplargw.example/dispatch/run"
)

// Guards against numbers of a peer that make sums overflow or capacity appear that does not exist.
func TestNumbersOfPeersAreBounded(t *testing.T) {
	odd := &peerv1.Demand{Cpu: math.MaxInt64, MemoryMb: math.MinInt64, Gpu: -1}
	if got, want := ServerFromProto(&peerv1.RunServer{Room: odd}).Capacity, (run.Demand{CPU: run.MaxAmount}); got != want {
		t.Errorf("capacity %+v, want %+v", got, want)
	}
	if got, want := FreeFromProto(odd), (run.Demand{CPU: run.MaxAmount, MemoryMB: -run.MaxAmount, GPU: -1}); got != want {
		t.Errorf("free %+v, want %+v", got, want)
	}
	r := ReportFromProto(&peerv1.AgentFrame{Entries: math.MaxUint32, SlowdownPermille: math.MaxUint32}, run.Server{})
	if r.Entries != maxEntries || r.OthersSlowdown != 0 {
		t.Errorf("%d entries, slowdown %g", r.Entries, r.OthersSlowdown)
	}
	if _, percent, _ := ProgressFromProto(&peerv1.RunProgress{Percent: math.MaxUint32}); percent != 100 {
		t.Errorf("%d percent", percent)
	}
	for ms, want := range map[int64]time.Duration{
		250: 250 * time.Millisecond, -250: -250 * time.Millisecond, math.MaxInt64: maxSlack, math.MinInt64: -maxSlack, 1 << 50: maxSlack,
	} {
		if got := SlackFromProto(ms); got != want {
			t.Errorf("slack of %d ms is %s, want %s", ms, got, want)
		}
	}
}

// Guards against a number that wraps around in a frame: a negative time became 50 days, one of 50 days nothing.
func TestNumbersInFramesSaturate(t *testing.T) {
	for d, want := range map[time.Duration]uint32{0: 0, time.Second: 1000, -time.Second: 0, 60 * 24 * time.Hour: math.MaxUint32} {
		if got := MillisecondsToProto(d); got != want {
			t.Errorf("%s is sent as %d ms, want %d", d, got, want)
		}
	}
	for x, want := range map[float64]uint32{0: 0, 1.5: 1500, -1: 0, 1e300: math.MaxUint32, math.Inf(1): math.MaxUint32, math.Inf(-1): 0} {
		if got := SlowdownToProto(x); got != want {
			t.Errorf("%g is sent as %d thousandths, want %d", x, got, want)
		}
	}
	if got := SlowdownToProto(math.NaN()); got != 0 {
		t.Errorf("NaN is sent as %d thousandths", got)
	}
	for percent, want := range map[int]uint32{-1: 0, 40: 40, 101: 100} {
		if got := ProgressToProto(run.Ref{}, percent, -time.Second); got.GetPercent() != want || got.GetAgeMs() != 0 {
			t.Errorf("%d percent are sent as %v", percent, got)
		}
	}
	f := BatchToProto(jobs.Batch{Claims: []jobs.Claim{{Age: 60 * 24 * time.Hour}}})
	if got := f.GetClaims()[0].GetAgeMs(); got != math.MaxUint32 {
		t.Errorf("an age of 60 days is sent as %d ms", got)
	}
	m := CrashToProto(run.Crash{Suspects: []run.Suspect{{Age: -time.Second}}, Starts: map[string]float64{"q": 1e300}}, -time.Second)
	if m.GetAgeMs() != 0 || m.GetSuspects()[0].GetAgeMs() != 0 || m.GetStarts()[0].GetPerKs() != math.MaxUint32 {
		t.Errorf("crash is sent as %v", m)
	}
}

// Guards against an answer that loses what it says about a cancel or a lost owner, and against a grant of a job that was cancelled.
func TestJobAnswerSurvivesConversion(t *testing.T) {
	in := owner.Request{Job: "j", Number: 3}
	for _, a := range []owner.Answer{
		{Request: in, Granted: true}, {Request: in, Granted: true, OwnerLost: true}, {Request: in, Cancelled: true}, {Request: in},
	} {
		if got := AnswerFromProto(AnswerToProto(a)); got != a {
			t.Errorf("%+v became %+v", a, got)
		}
	}
	if got := AnswerFromProto(&peerv1.JobAnswer{Job: "j", Granted: true, Cancelled: true}); got.Granted || !got.Cancelled {
		t.Errorf("a cancelled job is granted: %+v", got)
	}
	for _, a := range []jobs.CancelAnswer{{PassedOn: true}, {Recorded: true}, {MayHave: true}, {}} {
		if got := CancelAnswerFromProto(CancelAnswerToProto("j", a)); got != a {
			t.Errorf("%+v became %+v", a, got)
		}
	}
}
