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

// quicDialer opens HTTP/3 connections.
type quicDialer struct {
	local net.IP
	conf  *tls.Config
	quic  *quic.Config
	http  http3.Transport
}

func newQUICDialer(conf *tls.Config, deadPeerLimit time.Duration, local net.IP) *quicDialer {
	conf = http3.ConfigureTLSConfig(conf.Clone())
	return &quicDialer{
		local: local,
		conf:  conf,
		quic: &quic.Config{
			HandshakeIdleTimeout: deadPeerLimit,
			MaxIdleTimeout:       deadPeerLimit,
			KeepAlivePeriod:      deadPeerLimit / 3,
			MaxIncomingStreams:   -1,
		},
		http: http3.Transport{DisableCompression: true},
	}
}

// dial opens a connection with its own UDP socket: a middlebox that lost the flow of a local port
// would also drop a new connection from the same port.
func (d *quicDialer) dial(ctx context.Context, addr string) (connection, error) {
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
	return &quicConnection{conn: conn, http: d.http.NewClientConn(conn)}, nil
}

// quicConnection is an HTTP/3 connection.
type quicConnection struct {
	conn *quic.Conn
	http *http3.ClientConn
	// draining is set after a failure that may affect the whole connection, such as the shutdown of
	// the server. Calls in flight continue; new ones use a new connection.
	draining atomic.Bool
}

func (c *quicConnection) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := c.http.RoundTrip(req)
	if err != nil && req.Context().Err() == nil && !isStreamError(err) {
		c.draining.Store(true)
	}
	return resp, err
}

// isStreamError reports whether err means that the peer ended a single call, not the connection.
func isStreamError(err error) bool {
	var e *http3.Error
	return errors.As(err, &e) && e.Remote && affectsSingleCall(e.ErrorCode)
}

// affectsSingleCall reports whether an error code concerns only one call.
func affectsSingleCall(c http3.ErrCode) bool {
	return c == http3.ErrCodeInternalError || c == http3.ErrCodeRequestCanceled || c == http3.ErrCodeNoError
}

func (c *quicConnection) usable() bool { return !c.draining.Load() && c.conn.Context().Err() == nil }

func (c *quicConnection) close() {
	_ = c.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
}

// quicServer serves HTTP/3.
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
		IdleTimeout:    serverIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		QUICConfig: &quic.Config{
			// The smaller timeout of both sides applies. That is the client's dead-peer limit, unless it
			// is above this one.
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
