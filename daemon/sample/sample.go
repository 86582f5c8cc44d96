// Package sample is a backend server for demonstrations and tests. It announces
// itself to the agent on its VM and does work by sleeping; see Work and Answer
// for the payloads.
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

// Options describe a sample server.
type Options struct {
	Name        string
	Service     string
	Kinds       []string
	Slots       int
	Connections int
	// Listen is the address to serve on, as IP:port; port 0 chooses a free one.
	Listen string
	// Agent is the local address of the agent, as IP:port.
	Agent string
	// Speed divides the length of work; 0 means 1.
	Speed float64
	// StartLog is the file to which each start is appended; empty means none.
	StartLog string
	Faults   Faults
}

// Faults make a sample server misbehave.
type Faults struct {
	// FailAll ends every task in an error, after its start was recorded.
	FailAll bool
	// Hang never answers.
	Hang bool
	// Instant answers at once, whatever the length of the work.
	Instant bool
	// Slow multiplies the length of work, beyond what Speed says; 0 means 1.
	Slow float64
}

const (
	// announceEvery renews the lease well within its usual length of 3 s.
	announceEvery = time.Second
	// callLimit bounds one call to the agent.
	callLimit = time.Second
	// leavePoll is how often a leaving server asks the agent for the tasks that still run.
	leavePoll = 50 * time.Millisecond
	// leaveLimit bounds a graceful stop: the longest time limit of a task and some more.
	leaveLimit = 65 * time.Second
	// headerLimit bounds the time to read the headers of a request.
	headerLimit = 5 * time.Second
)

// Server is a sample backend server.
type Server struct {
	o        Options
	instance string
	listener net.Listener
	agent    poplargwv1connect.AnnouncerClient
	slots    chan struct{}
	starts   *startLog
}

// New listens and opens the start log. The server is announced by Run.
func New(o Options) (*Server, error) {
	if o.Slots < 1 || o.Connections < 1 {
		return nil, errors.New("slots and connections must be at least 1")
	}
	if o.Speed < 0 || o.Faults.Slow < 0 {
		return nil, errors.New("speed and slow factor must be positive")
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
		agent:    poplargwv1connect.NewAnnouncerClient(&http.Client{Timeout: callLimit}, "http://"+o.Agent),
		slots:    make(chan struct{}, o.Slots),
		starts:   starts,
	}, nil
}

// Address returns where the server serves, as IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Instance returns the instance that the server announces.
func (s *Server) Instance() string { return s.instance }

// Run announces the server and serves until ctx ends. It then leaves, finishes
// the running tasks and returns.
func (s *Server) Run(ctx context.Context) error {
	defer s.starts.close()
	mux := http.NewServeMux()
	mux.Handle(poplargwv1connect.NewBackendServerHandler(service{s}, connect.WithCompression("gzip", nil, nil)))
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: headerLimit}
	g, own := errgroup.WithContext(ctx)
	g.Go(func() error {
		err := srv.Serve(netutil.LimitListener(s.listener, s.o.Connections))
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	g.Go(func() error { return s.announce(own) })
	g.Go(func() error {
		<-own.Done()
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveLimit)
		defer cancel()
		s.leave(limited)
		return srv.Shutdown(limited)
	})
	return g.Wait()
}

// announce renews the lease until ctx ends. The agent may be away for a while,
// so errors only mean another attempt; wrong fields end the server.
func (s *Server) announce(ctx context.Context) error {
	tick := time.NewTicker(announceEvery)
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

// leave tells the agent that no more work should come and waits until it counts
// no running task, so that closing connections interrupts none.
func (s *Server) leave(ctx context.Context) {
	tick := time.NewTicker(leavePoll)
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

// Run implements poplargw.v1.BackendServer.Run.
func (v service) Run(ctx context.Context, req *connect.Request[apiv1.RunRequest]) (*connect.Response[apiv1.RunResponse], error) {
	payload, err := v.s.handle(ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&apiv1.RunResponse{Payload: payload}), nil
}

// handle runs one task and returns its answer.
func (s *Server) handle(ctx context.Context, m *apiv1.RunRequest) ([]byte, error) {
	w, err := parseWork(m.GetPayload())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if err := s.takeSlot(ctx, m); err != nil {
		return nil, err
	}
	defer func() { <-s.slots }()
	if err := s.starts.add(m, s.o.Name, s.instance); err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	if err := s.work(ctx, w); err != nil {
		return nil, err
	}
	return s.answer(m, w)
}

// takeSlot waits for a free slot until the latest start time.
func (s *Server) takeSlot(ctx context.Context, m *apiv1.RunRequest) error {
	late := connect.NewError(connect.CodeFailedPrecondition, errors.New("late: the latest start time has passed"))
	left := time.Until(time.UnixMilli(m.GetStartBeforeUnixMs()))
	if left <= 0 {
		return late
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case s.slots <- struct{}{}:
	case <-t.C:
		return late
	case <-ctx.Done():
		return ctx.Err()
	}
	if time.Now().UnixMilli() > m.GetStartBeforeUnixMs() {
		<-s.slots
		return late
	}
	return nil
}

func (s *Server) work(ctx context.Context, w Work) error {
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
