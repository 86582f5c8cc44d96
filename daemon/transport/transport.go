// Package transport implements HTTP between poplargw processes, with mutual TLS
// over QUIC (HTTP/3) or TCP (HTTP/2).
package transport

import (
	"context"
	"net/http"
)

// Server serves one listener.
type Server interface {
	// Addr returns the address that the server listens on, as IP:port.
	Addr() string
	// Serve accepts connections until Shutdown is called, and then returns nil.
	Serve() error
	// Shutdown stops accepting connections and waits for calls in flight until ctx ends.
	Shutdown(ctx context.Context) error
}

// Client makes calls to peers by address. It is safe for concurrent use.
type Client interface {
	// HTTP returns the client for one peer, for use by generated Connect clients
	// with the base URL "https://" + addr.
	HTTP(addr string) *http.Client
	// Reset makes the next call to addr use a new connection from a new local port.
	// Calls in flight on the old connection fail. Resets in quick succession count as
	// one, so that calls that failed together do not end each other's retries.
	Reset(addr string)
	// Close closes all connections. Later calls fail with ErrClosed.
	Close()
}
