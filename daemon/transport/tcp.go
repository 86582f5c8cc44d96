package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// Limits of the listeners between processes.
const (
	// maxStreams is the number of calls in flight that one connection accepts. A home serves many
	// waiting Execute calls of one receiver, so the default of 250 is too small.
	maxStreams = 10_000
	// serverPingAfter and serverPingTimeout close a server's connection whose client went silent.
	// The client notices within its own dead-peer limit; the server only frees memory.
	serverPingAfter   = 10 * time.Second
	serverPingTimeout = 5 * time.Second
	// serverIdle is longer than the client's idleLimit, so that the client closes first and no
	// request meets a connection that the server is closing.
	serverIdle        = 4 * idleLimit
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 16 << 10
)

type tcpDialer struct {
	transport *http.Transport
}

func newTCPDialer(conf *tls.Config, deadPeer time.Duration, local net.IP) *tcpDialer {
	var protocols http.Protocols
	protocols.SetHTTP2(true)
	return &tcpDialer{transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: deadPeer, LocalAddr: tcpSource(local)}).DialContext,
		TLSClientConfig:     conf.Clone(),
		TLSHandshakeTimeout: deadPeer,
		DisableCompression:  true,
		Protocols:           &protocols,
		HTTP2: &http.HTTP2Config{
			// A ping after half of the limit without a frame, and the rest of it to answer.
			SendPingTimeout:  deadPeer / 2,
			PingTimeout:      deadPeer / 2,
			WriteByteTimeout: deadPeer,
		},
	}}
}

func tcpSource(local net.IP) net.Addr {
	if local == nil {
		return nil
	}
	return &net.TCPAddr{IP: local}
}

func (d *tcpDialer) dial(ctx context.Context, addr string) (link, error) {
	conn, err := d.transport.NewClientConn(ctx, "https", addr)
	if err != nil {
		return nil, err
	}
	return tcpLink{conn}, nil
}

type tcpLink struct {
	*http.ClientConn
}

func (l tcpLink) usable() bool { return l.Available() > 0 }

func (l tcpLink) close() { _ = l.Close() }

// httpServer serves HTTP over TCP.
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

// NewPlainServer returns a server without TLS for callers, operators and the processes on the same
// VM. It serves HTTP/1.1 and HTTP/2 with prior knowledge, so Connect, gRPC and plain HTTP clients
// reach it.
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
		IdleTimeout:       serverIdle,
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
