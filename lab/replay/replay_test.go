package replay

import (
	"bytes"
	"math"
	"reflect"
	"testing"
	"time"
)

// smallTrace returns a trace with a fast and a slow backend server of one slot each, and a failing one.
func smallTrace(jobs ...Job) *Trace {
	return &Trace{Header: Header{Name: "small", Kinds: []Kind{{Name: "low", Priority: 1}, {Name: "high", Priority: 2}},
		Domains: []string{"a", "b"}, Servers: []Server{{Domain: "a", Slots: 1, Speed: 2}, {Domain: "b", Slots: 1, Speed: 0.5},
			{Domain: "a", Slots: 1, Speed: 9, Fails: true}}}, Jobs: jobs}
}

// Guards against an ideal schedule that real systems cannot be compared with: one that uses a
// failing server or one that is out of service, ignores the order of tasks or the speeds of servers,
// or counts cancelled jobs.
func TestComputeIdeal(t *testing.T) {
	const ms = time.Millisecond
	out := smallTrace(Job{AtMS: 20, RunMS: []int{100}})
	out.OutDomain, out.OutMS, out.BackMS = "a", 10, 50
	for name, c := range map[string]struct {
		trace *Trace
		want  []time.Duration
	}{
		"longest on the fast server": {smallTrace(Job{RunMS: []int{40, 200}}), []time.Duration{100 * ms}},
		"waits for the fast server":  {smallTrace(Job{RunMS: []int{100}}, Job{AtMS: 10, RunMS: []int{100}}), []time.Duration{50 * ms, 90 * ms}},
		"priority first":             {smallTrace(Job{RunMS: []int{100}}, Job{Kind: 1, RunMS: []int{100}}), []time.Duration{100 * ms, 50 * ms}},
		"cancelled":                  {smallTrace(Job{RunMS: []int{100}, CancelMS: 20}), []time.Duration{0}},
		"domain out":                 {out, []time.Duration{200 * ms}},
	} {
		if got := ComputeIdeal(c.trace).Response; !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: responses %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a trace that changes when it is encoded and decoded, and against damaged traces
// that are accepted.
func TestDecode(t *testing.T) {
	trace, err := Generate("umucyo", "domain", 1)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := Encode(&b, trace); err != nil {
		t.Fatal(err)
	}
	if got, err := Decode(bytes.NewReader(b.Bytes())); err != nil || !reflect.DeepEqual(got, trace) {
		t.Errorf("decoding the encoded trace changed it, error %v", err)
	}
	header := b.Bytes()[:bytes.IndexByte(b.Bytes(), '\n')+1]
	for _, jobs := range []string{"", "{", `{"at":1,"k":9,"run":[1]}`, `{"at":1,"k":0,"run":[]}`, "{\"at\":2,\"k\":0,\"run\":[1]}\n{\"at\":1,\"k\":0,\"run\":[1]}"} {
		if _, err := Decode(bytes.NewReader(append(bytes.Clone(header), jobs...))); err == nil {
			t.Errorf("jobs %q decode without an error", jobs)
		}
	}
}

// Guards against a utilization that counts work outside the window, on failing servers or in the
// failure domain that was out.
func TestUtilization(t *testing.T) {
	trace := smallTrace()
	trace.OutDomain = "a"
	runs := []Run{{Server: 1, Start: 0, End: 20}, {Server: 0, Start: 0, End: 100}, {Server: 2, Start: 0, End: 100}}
	if got := trace.utilization(runs, 10, 30); math.Abs(got-0.5) > 1e-9 {
		t.Errorf("utilization %v, want 0.5", got)
	}
}
