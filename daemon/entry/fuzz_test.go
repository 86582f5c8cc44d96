package entry

import (
	"bytes"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/submission"
)

// wantWithinLimits fails the test if a job that has passed checkJob has a number out of range.
func wantWithinLimits(t *testing.T, r *poplargwv1.SubmitJobRequest, k submission.Key) {
	now := time.Now()
	j := newJob(submission.Window{Length: time.Minute, Skew: time.Second}, k, r, now.Add(timeoutOf(r)))
	if d := timeoutOf(r); d <= 0 || d > maxTimeout || j.Deadline.After(now.Add(maxTimeout)) {
		t.Errorf("timeout %s, deadline %s", d, j.Deadline)
	}
	if n := len(j.Tasks); n == 0 || n > maxTasks {
		t.Errorf("%d tasks", n)
	}
	for _, task := range j.Tasks {
		if task.Declared < 0 || task.Declared > jobs.MaxEstimate || len(task.Payload) > maxPayloadBytes {
			t.Errorf("declared duration %s, payload of %d bytes", task.Declared, len(task.Payload))
		}
	}
}

// Guards against a SubmitJob request that stops an entry or is accepted with a number out of range, and against tasks
// that are counted differently than they are decoded.
func FuzzSubmitJob(f *testing.F) {
	good := newRequest(tableOf(1, "a"), "a", 0, 2)
	good.Tasks[0].DeclaredDuration = durationpb.New(time.Second)
	odd := proto.Clone(good).(*poplargwv1.SubmitJobRequest)
	odd.Tasks[0].DeclaredDuration = &durationpb.Duration{Seconds: math.MaxInt64, Nanos: math.MinInt32}
	odd.Timeout = &durationpb.Duration{Seconds: math.MinInt64, Nanos: -1}
	for _, r := range []*poplargwv1.SubmitJobRequest{good, odd, {}} {
		binary, err := proto.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(binary, false)
		if text, err := protojson.Marshal(r); err == nil {
			f.Add(text, true)
		}
	}
	f.Add(bytes.Repeat([]byte{byte(tasksField)<<3 | 2, 0}, maxTasks+1), false)
	f.Add([]byte(`{"tasks":[{},null,{"declaredDuration":"315576000000s"}],"timeout":"-1s","new":[[[{}]]]}`), true)
	f.Fuzz(func(t *testing.T, data []byte, text bool) {
		var r poplargwv1.SubmitJobRequest
		h := httptest.NewRequest(http.MethodPost, poplargwv1connect.DispatcherSubmitJobProcedure, nil)
		var err error
		if text {
			h.Header.Set("Content-Type", "application/json")
			err = protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(data, &r)
		} else {
			h.Header.Set("Content-Type", "application/proto")
			err = proto.Unmarshal(data, &r)
		}
		if err != nil {
			return
		}
		if n := len(r.GetTasks()); n > maxTasks && !text && !hasTooManyTasks(h, data) || !text && countTasks(data) != n {
			t.Errorf("%d tasks, counted as %d", n, countTasks(data))
		}
		k, failure := checkJob(&r)
		if failure == nil {
			wantWithinLimits(t, &r, k)
			return
		}
		if failure.Effect != result.NotRun {
			t.Errorf("refused with %+v", failure)
		}
	})
}
