package entry

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
)

// postJob posts a SubmitJob request and returns the response and the bytes that were allocated meanwhile.
func postJob(e *Entry, form string, body []byte) (*httptest.ResponseRecorder, uint64) {
	r := httptest.NewRequest(http.MethodPost, poplargwv1connect.DispatcherSubmitJobProcedure, bytes.NewReader(body))
	r.Header.Set("Content-Type", form)
	w := httptest.NewRecorder()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	e.CallerHandler().ServeHTTP(w, r)
	runtime.ReadMemStats(&after)
	return w, after.TotalAlloc - before.TotalAlloc
}

// Guards against a request of two million empty tasks that takes the memory of an entry before the tasks are
// counted.
func TestTooManyTasksAreNotDecoded(t *testing.T) {
	e := newTestbed(t).startEntry("a", tableOf(1, "a"))
	// Reading the body takes several times its size, because its buffer grows.
	const maxAllocated = 8 * maxRequestBytes
	binary := bytes.Repeat([]byte{byte(tasksField)<<3 | 2, 0}, maxJobBytes/2)
	text := []byte(`{"tasks":[` + strings.Repeat(`{},`, maxJobBytes/3) + `{}]}`)
	prefix := []byte{0, 0, byte(len(binary) >> 16), byte(len(binary) >> 8), byte(len(binary))}
	for form, body := range map[string][]byte{
		"application/proto": binary, "application/json": text, "application/json; charset=utf-8": text,
		"application/grpc": append(prefix, binary...),
	} {
		w, allocated := postJob(e, form, body)
		answer := w.Body.String() + w.Header().Get("Grpc-Message") + w.Header().Get(http.TrailerPrefix+"Grpc-Message")
		if !strings.Contains(answer, "at most 400 tasks") {
			t.Errorf("%s: status %d, %.200q", form, w.Code, answer)
		}
		if allocated > maxAllocated {
			t.Errorf("%s: %d bytes allocated", form, allocated)
		}
	}
}

// Guards against a count that differs from that of the decoder.
func TestTasksAreCountedAsDecoded(t *testing.T) {
	r := newRequest(tableOf(1, "a"), "a", 0, maxTasks)
	data, err := proto.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	if n := countTasks(data); n != maxTasks {
		t.Errorf("%d tasks counted, want %d", n, maxTasks)
	}
}
