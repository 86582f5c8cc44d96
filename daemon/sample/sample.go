// Package sample implements a backend server for demonstrations and tests. The server
// announces itself to the agent on its VM and simulates work by sleeping; see Work and
// Answer for the payloads.
package sample

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	apiv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
)

// Options configures a sample server.
type Options struct {
	Name    string
	Service string
	Kinds   []string
	// Slots is the number of tasks that run at the same time, at least 1.
	Slots int
	// Connections is the number of connections that are open at the same time, at least 1.
	Connections int
	// Listen is the address to listen on, as IP:port; port 0 chooses a free one.
	Listen string
	// Agent is the local address of the agent, as IP:port.
	Agent string
	// Speed divides the duration of work; 0 means 1.
	Speed float64
	// StartLog is the file to which the start of each task is appended; empty means none.
	StartLog string
	Faults   Faults
}

// Faults configures faults of a sample server.
type Faults struct {
	// FailAll ends every task with an error after recording its start.
	FailAll bool
	// Hang makes the server never answer.
	Hang bool
	// Instant makes the server answer at once, whatever the duration of the work.
	Instant bool
	// Slow multiplies the duration of work, in addition to Speed; 0 means 1.
	Slow float64
}

const (
	// announceInterval renews the lease well within its default length of 3 s.
	announceInterval = time.Second
	// callTimeout bounds one call to the agent.
	callTimeout = time.Second
	// leavePollInterval is how often a leaving server asks the agent how many tasks still run.
	leavePollInterval = 50 * time.Millisecond
	// leaveTimeout bounds a graceful stop. It is a little more than the longest time limit of a task.
	leaveTimeout = 65 * time.Second
	// headerTimeout bounds the time to read the headers of a request.
	headerTimeout = 5 * time.Second
)

// Server is a sample backend server.
type Server struct {
	o        Options
	instance string
	listener net.Listener
	agent    poplargwv1connect.AnnouncerClient
	// slots has one element for each running task.
	slots  chan struct{}
	starts *startLog
}

// New opens the start log and starts to listen. Run announces the server and serves.
func New(o Options) (*Server, error) {
	if o.Slots < 1 || o.Connections < 1 {
		return nil, errors.New("slots and connections must be at least 1")
	}
	if o.Speed < 0 || o.Faults.Slow < 0 {
		return nil, errors.New("speed and slow factor must not be negative")
	}
	if o.Speed == 0 {
		o.Speed = 1
	}
	if o.Faults.Slow == 0 {
		o.Faults.Slow = 1
	}
	starts, err := openStartLog(o.StartLog)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		starts.close()
		return nil, trace.Wrap(fmt.Errorf("sample server: %w", err))
	}
	return &Server{
		o:        o,
		instance: uuid.NewString(),
		listener: l,
		agent:    poplargwv1connect.NewAnnouncerClient(&http.Client{Timeout: callTimeout}, "http://"+o.Agent),
		slots:    make(chan struct{}, o.Slots),
		starts:   starts,
	}, nil
}

// Address returns the address on which the server listens, as IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Instance returns the instance ID that the server announces. It is unique to this Server.
func (s *Server) Instance() string { return s.instance }

// Run announces the server and serves until ctx ends. It then tells the agent that the
// server leaves, finishes the running tasks, for at most leaveTimeout, and returns.
func (s *Server) Run(ctx context.Context) error {
	defer s.starts.close()
	mux := http.NewServeMux()
	mux.Handle(poplargwv1connect.NewBackendServerHandler(service{s}, connect.WithCompression("gzip", nil, nil)))
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	g, groupCtx := errgroup.WithContext(ctx)
	g.Go(func() error {
		err := srv.Serve(netutil.LimitListener(s.listener, s.o.Connections))
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	g.Go(func() error { return s.announce(groupCtx) })
	g.Go(func() error {
		<-groupCtx.Done()
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
		defer cancel()
		s.leave(limited)
		return srv.Shutdown(limited)
	})
	return g.Wait()
}

// announce renews the lease until ctx ends. The agent may be unreachable for a while, so a
// failed call is only repeated. It returns an error if the agent rejects the fields.
func (s *Server) announce(ctx context.Context) error {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		_, err := s.agent.Announce(ctx, connect.NewRequest(&apiv1.AnnounceRequest{
			Server:      s.o.Name,
			Instance:    s.instance,
			Service:     s.o.Service,
			Kinds:       s.o.Kinds,
			Slots:       uint32(s.o.Slots),
			Connections: uint32(s.o.Connections),
			Address:     s.Address(),
		}))
		if connect.CodeOf(err) == connect.CodeInvalidArgument && connect.IsWireError(err) {
			return trace.Wrap(fmt.Errorf("the agent refuses the announcement: %w", err))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// leave tells the agent to send no more tasks and waits until the agent counts no running
// task, so that closing the connections interrupts none. It returns early if a call fails.
func (s *Server) leave(ctx context.Context) {
	tick := time.NewTicker(leavePollInterval)
	defer tick.Stop()
	for {
		res, err := s.agent.Leave(ctx, connect.NewRequest(&apiv1.LeaveRequest{Server: s.o.Name, Instance: s.instance}))
		if err != nil || res.Msg.GetRunning() == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// service implements poplargw.v1.BackendServer.
type service struct{ s *Server }

// Run runs one task and returns its result.
func (v service) Run(ctx context.Context, req *connect.Request[apiv1.RunRequest]) (*connect.Response[apiv1.RunResponse], error) {
	payload, err := v.s.runTask(ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&apiv1.RunResponse{Payload: payload}), nil
}

// runTask waits for a slot, records the start, does the work of one task and returns its answer.
func (s *Server) runTask(ctx context.Context, m *apiv1.RunRequest) ([]byte, error) {
	w, err := parseWork(m.GetPayload())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if err := s.acquireSlot(ctx, m); err != nil {
		return nil, err
	}
	defer func() { <-s.slots }()
	if err := s.starts.add(m, s.o.Name, s.instance); err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	if err := s.doWork(ctx, w); err != nil {
		return nil, err
	}
	return s.answer(m, w)
}

// acquireSlot waits for a free slot until the latest start time of the task. If none becomes
// free in time, it returns the error of newTooLateError.
func (s *Server) acquireSlot(ctx context.Context, m *apiv1.RunRequest) error {
	left := time.Until(time.UnixMilli(m.GetStartBeforeUnixMs()))
	if left <= 0 {
		return newTooLateError()
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case s.slots <- struct{}{}:
	case <-t.C:
		return newTooLateError()
	case <-ctx.Done():
		return ctx.Err()
	}
	if time.Now().UnixMilli() > m.GetStartBeforeUnixMs() {
		<-s.slots
		return newTooLateError()
	}
	return nil
}

// newTooLateError returns the error for a task that was not started because its latest start had
// passed. If its detail cannot be encoded, the agent counts the task as run.
func newTooLateError() *connect.Error {
	err := connect.NewError(connect.CodeFailedPrecondition, errors.New("the latest start time has passed"))
	detail, encodeErr := connect.NewErrorDetail(&apiv1.TaskNotStarted{Reason: apiv1.NotStartedReason_NOT_STARTED_REASON_TOO_LATE})
	if encodeErr != nil {
		return connect.NewError(connect.CodeInternal, encodeErr)
	}
	err.AddDetail(detail)
	return err
}

// doWork simulates the work of a task: it sleeps, unless a fault makes it fail, hang or return at once.
func (s *Server) doWork(ctx context.Context, w Work) error {
	switch {
	case s.o.Faults.FailAll || w.Fail:
		return connect.NewError(connect.CodeInternal, errors.New("the task failed"))
	case s.o.Faults.Hang:
		<-ctx.Done()
		return ctx.Err()
	case s.o.Faults.Instant:
		return nil
	}
	t := time.NewTimer(w.duration(s.o.Speed, s.o.Faults.Slow))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
