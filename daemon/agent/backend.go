package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	apiv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
	"poplargw.example/dispatch/fence"
	"poplargw.example/dispatch/result"
)

const (
	// dialTimeout bounds the time to connect to a backend server on the same VM.
	dialTimeout = time.Second
	// idleTimeout closes idle connections well before common servers do: if a server
	// closes a connection just as a task is sent, the outcome of the task is unknown.
	idleTimeout = 4 * time.Second
	// resultOverheadBytes is the allowance for the encoding of the largest result.
	resultOverheadBytes = 1 << 10
)

// backend is the client of one instance of a backend server.
type backend struct {
	instance  string
	transport *http.Transport
	client    poplargwv1connect.BackendServerClient
	// leaving is set after Leave: the end of the lease is expected and not logged.
	leaving bool
}

// newBackend returns a client that opens at most the given number of connections.
// It follows no redirects and uses no proxy, since both could send a task twice.
// net/http itself retries a POST only if none of its bytes were written.
func newBackend(instance, address string, connections uint32) *backend {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     int(connections),
		MaxIdleConnsPerHost: int(connections),
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	c := &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	opts := append(clientOptions(), connect.WithReadMaxBytes(maxPayloadBytes+resultOverheadBytes))
	return &backend{instance: instance, transport: t, client: poplargwv1connect.NewBackendServerClient(c, "http://"+address, opts...)}
}

// close closes idle connections. Calls in progress continue.
func (b *backend) close() { b.transport.CloseIdleConnections() }

// run sends the task once and waits at most timeLimit for the result. The effect
// "not run" in the outcome guarantees that the backend server has not started it.
func (b *backend) run(ctx context.Context, m *apiv1.RunRequest, timeLimit time.Duration) fence.Outcome {
	begin := time.Now()
	if begin.UnixMilli() > m.GetStartBeforeUnixMs() {
		return failedOutcome(result.StartTooLate, result.NotRun, "the latest start time of the task has passed")
	}
	var connected atomic.Bool
	runCtx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	res, err := b.client.Run(httptrace.WithClientTrace(runCtx, &httptrace.ClientTrace{
		GetConn: func(string) { connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}), connect.NewRequest(m))
	elapsed := time.Since(begin)
	if err != nil {
		o := classifyError(err, runCtx, connected.Load(), timeLimit)
		o.RunTime = elapsed
		return o
	}
	if len(res.Msg.GetPayload()) > maxPayloadBytes {
		o := failedOutcome(result.TaskFailed, result.Run, fmt.Sprintf("the result is larger than %d bytes", maxPayloadBytes))
		o.RunTime = elapsed
		return o
	}
	return fence.Outcome{Payload: res.Msg.GetPayload(), RunTime: elapsed}
}

// classifyError returns the outcome of a run that failed with err. connected tells
// whether the request was assigned a connection, so that part of it may have been
// written.
func classifyError(err error, runCtx context.Context, connected bool, timeLimit time.Duration) fence.Outcome {
	answered := connect.IsWireError(err)
	code := connect.CodeOf(err)
	switch {
	case answered && startedTooLate(err):
		return failedOutcome(result.StartTooLate, result.NotRun, "the backend server received the task too late")
	case !answered && !connected:
		return failedOutcome(result.UnknownServer, result.NotRun, "no connection to the backend server: "+err.Error())
	// The Connect client sends the timeout to the backend server, which may detect its expiry first.
	case errors.Is(runCtx.Err(), context.DeadlineExceeded), answered && code == connect.CodeDeadlineExceeded:
		return failedOutcome(result.TimeLimit, result.Run, fmt.Sprintf("the task ran longer than %v", timeLimit))
	case runCtx.Err() != nil:
		return failedOutcome(result.AgentLost, result.Unknown, "the agent stopped while the task was running")
	case answered:
		return failedOutcome(result.TaskFailed, result.Run, "the backend server returned an error: "+err.Error())
	case code == connect.CodeResourceExhausted:
		return failedOutcome(result.TaskFailed, result.Run, fmt.Sprintf("the result is larger than %d bytes", maxPayloadBytes))
	}
	return failedOutcome(result.ServerLost, result.Unknown, "the connection to the backend server was lost: "+err.Error())
}

// startedTooLate reports whether the backend server states in a TaskNotStarted detail that it has not
// started the task because its latest start had passed. The text of the error is not considered: it
// may be that of the task itself.
func startedTooLate(err error) bool {
	var failure *connect.Error
	if !errors.As(err, &failure) || failure.Code() != connect.CodeFailedPrecondition {
		return false
	}
	for _, d := range failure.Details() {
		value, err := d.Value()
		if err != nil {
			continue // The detail is of a type that this build does not know.
		}
		if m, ok := value.(*apiv1.TaskNotStarted); ok && m.GetReason() == apiv1.NotStartedReason_NOT_STARTED_REASON_TOO_LATE {
			return true
		}
	}
	return false
}

// failedOutcome returns the outcome of a task that failed with the given code and effect.
func failedOutcome(c result.Code, e result.Effect, message string) fence.Outcome {
	return fence.Outcome{Failure: &result.Failure{Code: c, Effect: e, Message: message}}
}
