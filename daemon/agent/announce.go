package agent

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	apiv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
	"poplargw.example/daemon/event"
	"poplargw.example/dispatch/fence"
)

// Limits of an announcement.
const (
	maxNameBytes   = 64
	maxKinds       = 64
	maxSlots       = 4096
	maxConnections = 16384
)

// announcer implements poplargw.v1.Announcer.
type announcer struct{ a *Agent }

var _ poplargwv1connect.AnnouncerHandler = announcer{}

// Announce implements poplargw.v1.Announcer.Announce.
func (s announcer) Announce(_ context.Context, req *connect.Request[apiv1.AnnounceRequest]) (*connect.Response[apiv1.AnnounceResponse], error) {
	m := req.Msg
	if err := checkAnnounce(m); err != nil {
		s.a.opts.Log.Warn(event.AnnouncementRefused, event.Fields{"server": m.GetServer(), "error": err.Error()})
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if err := s.a.announce(m); err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewResponse(&apiv1.AnnounceResponse{Lease: durationpb.New(s.a.opts.Settings.Limits.AnnounceLease)}), nil
}

// announce registers a backend server or renews its lease. A new instance or a
// changed announcement replaces the client of the previous one.
func (a *Agent) announce(m *apiv1.AnnounceRequest) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed, err := a.fence.Announce(fence.Announcement{
		Server:      m.GetServer(),
		Instance:    m.GetInstance(),
		Service:     m.GetService(),
		Kinds:       m.GetKinds(),
		Slots:       m.GetSlots(),
		Connections: m.GetConnections(),
		Address:     m.GetAddress(),
	}, a.now())
	if err != nil || !changed {
		return err
	}
	if old := a.backends[m.GetServer()]; old != nil {
		old.close()
	}
	a.backends[m.GetServer()] = newBackend(m.GetInstance(), m.GetAddress(), m.GetConnections())
	a.opts.Log.Info(event.ServerAnnounced, event.Fields{"server": m.GetServer(), "instance": m.GetInstance(),
		"address": m.GetAddress(), "slots": m.GetSlots(), "connections": m.GetConnections()})
	a.notifyAll()
	return nil
}

// Leave implements poplargw.v1.Announcer.Leave.
func (s announcer) Leave(_ context.Context, req *connect.Request[apiv1.LeaveRequest]) (*connect.Response[apiv1.LeaveResponse], error) {
	m := req.Msg
	if err := errors.Join(checkName("server", m.GetServer()), checkName("instance", m.GetInstance())); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	s.a.mu.Lock()
	defer s.a.mu.Unlock()
	running, err := s.a.fence.Leave(m.GetServer(), m.GetInstance())
	if err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	if b := s.a.backends[m.GetServer()]; b != nil && b.instance == m.GetInstance() {
		if b.leaving {
			return connect.NewResponse(&apiv1.LeaveResponse{Running: running}), nil
		}
		b.leaving = true
	}
	s.a.opts.Log.Info(event.ServerLeaving, event.Fields{"server": m.GetServer(), "instance": m.GetInstance(), "running": running})
	s.a.notifyAll()
	return connect.NewResponse(&apiv1.LeaveResponse{Running: running}), nil
}

// checkAnnounce returns an error that names every invalid field, or nil.
func checkAnnounce(m *apiv1.AnnounceRequest) error {
	errs := []error{
		checkName("server", m.GetServer()),
		checkName("instance", m.GetInstance()),
		checkName("service", m.GetService()),
		checkRange("kinds", len(m.GetKinds()), maxKinds),
		checkRange("slots", int(m.GetSlots()), maxSlots),
		checkRange("connections", int(m.GetConnections()), maxConnections),
		checkAddress(m.GetAddress()),
	}
	seen := make(map[string]bool, len(m.GetKinds()))
	for i, k := range m.GetKinds() {
		errs = append(errs, checkName(fmt.Sprintf("kinds[%d]", i), k))
		if seen[k] {
			errs = append(errs, fmt.Errorf("kinds[%d]: duplicate kind %q", i, k))
		}
		seen[k] = true
	}
	return errors.Join(errs...)
}

// checkName checks the length and the characters of a name.
func checkName(field, v string) error {
	if v == "" || len(v) > maxNameBytes || strings.ContainsFunc(v, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return fmt.Errorf("%s: must have 1 to %d printable ASCII characters without spaces", field, maxNameBytes)
	}
	return nil
}

// checkRange checks that n is from 1 to limit.
func checkRange(field string, n, limit int) error {
	if n < 1 || n > limit {
		return fmt.Errorf("%s: %d is out of range 1 to %d", field, n, limit)
	}
	return nil
}

// checkAddress checks that v is a specific IP address with a port.
func checkAddress(v string) error {
	ap, err := netip.ParseAddrPort(v)
	if err != nil || ap.Port() == 0 || ap.Addr().IsUnspecified() {
		return fmt.Errorf("address: %q is not an IP address with a port", v)
	}
	return nil
}
