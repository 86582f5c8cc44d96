package entry

import (
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/result"
)

// Guards against a declared run time of centuries, whose product with the speed of a backend server overflows.
func TestDeclaredDurationsAreBounded(t *testing.T) {
	for d, want := range map[time.Duration]result.Code{
		0: 0, jobs.MaxEstimate: 0, jobs.MaxEstimate + 1: result.Malformed, -1: result.Malformed, 250 * 365 * 24 * time.Hour: result.Malformed,
	} {
		r := newRequest(tableOf(1, "a"), "a", 0, 1)
		r.Tasks[0].DeclaredDuration = durationpb.New(d)
		var got result.Code
		if _, f := checkJob(r); f != nil {
			got = f.Code
		}
		if got != want {
			t.Errorf("%s: code %d, want %d", d, got, want)
		}
	}
	r := newRequest(tableOf(1, "a"), "a", 0, 1)
	r.Tasks[0].DeclaredDuration = &durationpb.Duration{Seconds: 1 << 62, Nanos: -1}
	if _, f := checkJob(r); f == nil || f.Code != result.Malformed {
		t.Errorf("seconds out of range: %v", f)
	}
}
