package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

type quicDialer struct {
	local net.IP
	conf  *tls.Config
	quic  *quic.Config
	http  http3.Transport
}

func newQUICDialer(conf *tls.Config, deadPeer time.Duration, local net.IP) *quicDialer {
	conf = http3.ConfigureTLSConfig(conf.Clone())
	return &quicDialer{
		local: local,
		conf:  conf,
		quic: &quic.Config{
			HandshakeIdleTimeout: deadPeer,
			MaxIdleTimeout:       deadPeer,
			KeepAlivePeriod:      deadPeer / 3,
			MaxIncomingStreams:   -1,
		},
		http: http3.Transport{DisableCompression: true},
	}
}

// dial uses a UDP socket of its own for each connection: a middlebox that lost the flow of one
// local port would also drop a new connection from the same port.
func (d *quicDialer) dial(ctx context.Context, addr string) (link, error) {
	remote, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: d.local})
	if err != nil {
		return nil, err
	}
	conf := d.conf.Clone()
	conf.ServerName = remote.IP.String()
	transport := &quic.Transport{Conn: socket}
	conn, err := transport.Dial(ctx, remote, conf, d.quic)
	if err != nil {
		_ = transport.Close()
		_ = socket.Close()
		return nil, err
	}
	context.AfterFunc(conn.Context(), func() {
		_ = transport.Close()
		_ = socket.Close()
	})
	return &quicLink{conn: conn, http: d.http.NewClientConn(conn)}, nil
}

type quicLink struct {
	conn *quic.Conn
	http *http3.ClientConn
	// draining is set after a failure that may concern the whole connection, such as a server
	// that is shutting down. Calls in flight go on; new ones use a new connection.
	draining atomic.Bool
}

func (l *quicLink) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := l.http.RoundTrip(req)
	if err != nil && req.Context().Err() == nil && !isStreamError(err) {
		l.draining.Store(true)
	}
	return resp, err
}

// isStreamError tells whether the peer ended a single call.
func isStreamError(err error) bool {
	var e *http3.Error
	return errors.As(err, &e) && e.Remote && endsOneCall(e.ErrorCode)
}

func endsOneCall(c http3.ErrCode) bool {
	return c == http3.ErrCodeInternalError || c == http3.ErrCodeRequestCanceled || c == http3.ErrCodeNoError
}

func (l *quicLink) usable() bool { return !l.draining.Load() && l.conn.Context().Err() == nil }

func (l *quicLink) close() {
	_ = l.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
}

type quicServer struct {
	server *http3.Server
	socket *net.UDPConn
}

func newQUICServer(addr string, conf *tls.Config, h http.Handler) (Server, error) {
	local, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, err
	}
	return &quicServer{socket: socket, server: &http3.Server{
		TLSConfig:      http3.ConfigureTLSConfig(conf.Clone()),
		Handler:        h,
		IdleTimeout:    serverIdle,
		MaxHeaderBytes: maxHeaderBytes,
		QUICConfig: &quic.Config{
			// The smaller limit of both sides counts: that is the client's dead-peer limit.
			MaxIdleTimeout:     serverPingAfter + serverPingTimeout,
			MaxIncomingStreams: maxStreams,
		},
	}}, nil
}

func (s *quicServer) Addr() string { return s.socket.LocalAddr().String() }

func (s *quicServer) Serve() error {
	err := s.server.Serve(s.socket)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *quicServer) Shutdown(ctx context.Context) error {
	defer s.socket.Close()
	err := s.server.Shutdown(ctx)
	return errors.Join(err, s.server.Close())
}
