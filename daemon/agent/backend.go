package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	apiv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
	"poplargw.example/dispatch/fence"
	"poplargw.example/dispatch/result"
)

const (
	// dialLimit bounds the wait for a connection on the same VM.
	dialLimit = time.Second
	// idleLimit closes unused connections well before usual servers do, since a
	// server that closes one just as a task is sent makes the outcome unknown.
	idleLimit = 4 * time.Second
	// resultEnvelope is the room for encoding around the largest result in bytes.
	resultEnvelope = 1 << 10
	// lateMark is in the message of a FAILED_PRECONDITION answer to a late request.
	lateMark = "late"
)

// backend calls one instance of a backend server.
type backend struct {
	instance  string
	transport *http.Transport
	client    poplargwv1connect.BackendServerClient
	// leaving says that the end of the lease is expected.
	leaving bool
}

// newBackend returns a client that holds at most connections connections. It
// follows no redirect and uses no proxy: both could send a task a second time.
// net/http itself sends a POST again only if not one byte of it was written.
func newBackend(instance, address string, connections uint32) *backend {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialLimit}).DialContext,
		MaxConnsPerHost:     int(connections),
		MaxIdleConnsPerHost: int(connections),
		IdleConnTimeout:     idleLimit,
		DisableCompression:  true,
	}
	c := &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	opts := append(clientOptions(), connect.WithReadMaxBytes(maxPayload+resultEnvelope))
	return &backend{instance: instance, transport: t, client: poplargwv1connect.NewBackendServerClient(c, "http://"+address, opts...)}
}

// close drops idle connections; calls in progress go on.
func (b *backend) close() { b.transport.CloseIdleConnections() }

// run sends the task once. An outcome with effect "not run" means that the
// backend server certainly has not started it.
func (b *backend) run(ctx context.Context, m *apiv1.RunRequest, limit time.Duration) fence.Outcome {
	begin := time.Now()
	if begin.UnixMilli() > m.GetStartBeforeUnixMs() {
		return failure(result.StartTooLate, result.NotRun, "the start was granted too long ago")
	}
	var connected atomic.Bool
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	res, err := b.client.Run(httptrace.WithClientTrace(limited, &httptrace.ClientTrace{
		GetConn: func(string) { connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}), connect.NewRequest(m))
	took := time.Since(begin)
	if err != nil {
		o := classify(err, limited, connected.Load(), limit)
		o.RunTime = took
		return o
	}
	if len(res.Msg.GetPayload()) > maxPayload {
		o := failure(result.TaskFailed, result.Run, fmt.Sprintf("the result is larger than %d bytes", maxPayload))
		o.RunTime = took
		return o
	}
	return fence.Outcome{Payload: res.Msg.GetPayload(), RunTime: took}
}

// classify maps the error of a run. connected says that a connection was handed
// to the request, so that a part of it may have been written.
func classify(err error, limited context.Context, connected bool, limit time.Duration) fence.Outcome {
	answered := connect.IsWireError(err)
	code := connect.CodeOf(err)
	switch {
	case answered && code == connect.CodeFailedPrecondition && strings.Contains(err.Error(), lateMark):
		return failure(result.StartTooLate, result.NotRun, "the backend server received the task too late")
	case !answered && !connected:
		return failure(result.UnknownServer, result.NotRun, "no connection to the backend server: "+err.Error())
	// The Connect client sends the limit along, so the backend server may notice its end first.
	case errors.Is(limited.Err(), context.DeadlineExceeded), answered && code == connect.CodeDeadlineExceeded:
		return failure(result.TimeLimit, result.Run, fmt.Sprintf("the task ran longer than %v", limit))
	case limited.Err() != nil:
		return failure(result.AgentLost, result.Unknown, "the agent stopped in mid-task")
	case answered:
		return failure(result.TaskFailed, result.Run, "the backend server answered: "+err.Error())
	case code == connect.CodeResourceExhausted:
		return failure(result.TaskFailed, result.Run, fmt.Sprintf("the result is larger than %d bytes", maxPayload))
	}
	return failure(result.ServerLost, result.Unknown, "the connection to the backend server was lost: "+err.Error())
}

func failure(c result.Code, e result.Effect, message string) fence.Outcome {
	return fence.Outcome{Failure: &result.Failure{Code: c, Effect: e, Message: message}}
}
