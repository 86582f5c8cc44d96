package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// Server limits.
const (
	// maxStreams is the maximum number of calls in flight on one connection. An entry that forwards
	// jobs to their home, another entry, has an Execute call in flight for each of them, so the HTTP/2
	// server's default of 250 is too small.
	maxStreams = 10_000
	// serverPingAfter and serverPingTimeout close a connection whose client has become silent. This only
	// frees memory on the server; the client detects the failure by its own dead-peer limit.
	serverPingAfter   = 10 * time.Second
	serverPingTimeout = 5 * time.Second
	// serverIdleTimeout is longer than the client's idleTimeout, so that the client closes first and
	// no request arrives on a connection that the server is closing.
	serverIdleTimeout = 4 * idleTimeout
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 16 << 10
)

// tcpDialer opens HTTP/2 connections over TLS.
type tcpDialer struct {
	transport *http.Transport
}

func newTCPDialer(conf *tls.Config, deadPeerLimit time.Duration, local net.IP) *tcpDialer {
	var protocols http.Protocols
	protocols.SetHTTP2(true)
	return &tcpDialer{transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: deadPeerLimit, LocalAddr: localTCPAddr(local)}).DialContext,
		TLSClientConfig:     conf.Clone(),
		TLSHandshakeTimeout: deadPeerLimit,
		DisableCompression:  true,
		Protocols:           &protocols,
		HTTP2: &http.HTTP2Config{
			// A ping is sent after half of the limit without a frame; the other half is left for the answer.
			SendPingTimeout:  deadPeerLimit / 2,
			PingTimeout:      deadPeerLimit / 2,
			WriteByteTimeout: deadPeerLimit,
		},
	}}
}

// localTCPAddr returns the local address to dial from, or nil if the system chooses it.
func localTCPAddr(local net.IP) net.Addr {
	if local == nil {
		return nil
	}
	return &net.TCPAddr{IP: local}
}

func (d *tcpDialer) dial(ctx context.Context, addr string) (connection, error) {
	conn, err := d.transport.NewClientConn(ctx, "https", addr)
	if err != nil {
		return nil, err
	}
	return tcpConnection{conn}, nil
}

// tcpConnection is an HTTP/2 connection.
type tcpConnection struct {
	*http.ClientConn
}

func (c tcpConnection) usable() bool { return c.Available() > 0 }

func (c tcpConnection) close() { _ = c.Close() }

// httpServer serves HTTP over TCP, with or without TLS.
type httpServer struct {
	server   *http.Server
	listener net.Listener
	tls      bool
}

func newTCPServer(addr string, conf *tls.Config, h http.Handler) (Server, error) {
	var protocols http.Protocols
	protocols.SetHTTP2(true)
	return listenHTTP(addr, conf, h, protocols)
}

// NewPlainServer listens on addr without TLS, for callers, operators and processes on the same VM. It
// serves HTTP/1.1 and HTTP/2 with prior knowledge, so that Connect, gRPC and plain HTTP clients can
// use it.
func NewPlainServer(addr string, h http.Handler) (Server, error) {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return listenHTTP(addr, nil, h, protocols)
}

func listenHTTP(addr string, conf *tls.Config, h http.Handler, protocols http.Protocols) (Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &httpServer{listener: l, tls: conf != nil, server: &http.Server{
		Handler:           h,
		TLSConfig:         conf.Clone(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         &protocols,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,
			SendPingTimeout:      serverPingAfter,
			PingTimeout:          serverPingTimeout,
		},
	}}, nil
}

func (s *httpServer) Addr() string { return s.listener.Addr().String() }

func (s *httpServer) Serve() error {
	err := s.serve()
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

func (s *httpServer) serve() error {
	if s.tls {
		return s.server.ServeTLS(s.listener, "", "")
	}
	return s.server.Serve(s.listener)
}

func (s *httpServer) Shutdown(ctx context.Context) error {
	defer s.listener.Close()
	err := s.server.Shutdown(ctx)
	if err != nil {
		_ = s.server.Close()
	}
	return err
}
