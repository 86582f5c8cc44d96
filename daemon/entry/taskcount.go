package entry

import (
	"bytes"
	"net/http"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
)

const (
	// maxJSONObjects bounds the objects in the JSON form of a job: one for each task, one for the job, and
	// as many again for fields that this version does not know.
	maxJSONObjects = 2 * (maxTasks + 1)
	// grpcPrefixBytes is the size of the prefix of a gRPC message: a flag and the length.
	grpcPrefixBytes = 5
)

// tasksField is the number of the tasks in the binary form of a job.
var tasksField = (&poplargwv1.SubmitJobRequest{}).ProtoReflect().Descriptor().Fields().ByName("tasks").Number()

// hasTooManyTasks reports whether the body of a request is a job with more tasks than allowed. It decodes
// nothing.
func hasTooManyTasks(r *http.Request, body []byte) bool {
	if r.URL.Path != poplargwv1connect.DispatcherSubmitJobProcedure {
		return false
	}
	form := r.Header.Get("Content-Type")
	if strings.HasPrefix(form, "application/grpc") {
		body = body[min(len(body), grpcPrefixBytes):]
	}
	if strings.Contains(form, "json") {
		return bytes.Count(body, []byte("{")) > maxJSONObjects
	}
	return countTasks(body) > maxTasks
}

// countTasks returns the number of tasks in the binary form of a job, up to the first malformed field.
func countTasks(message []byte) int {
	n := 0
	for len(message) > 0 {
		number, kind, size := protowire.ConsumeTag(message)
		if size < 0 {
			return n
		}
		message = message[size:]
		size = protowire.ConsumeFieldValue(number, kind, message)
		if size < 0 {
			return n
		}
		message = message[size:]
		if number == tasksField {
			n++
		}
	}
	return n
}
