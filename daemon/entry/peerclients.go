package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"poplargw.example/api/gen/poplargw/peer/v1/peerv1connect"
	"poplargw.example/daemon/transport"
)

// maxPeerClients bounds the cache of Connect clients, which would otherwise grow with the
// addresses of replaced VMs.
const maxPeerClients = 4096

// peerClients caches the Connect clients of peers by address. It is safe for concurrent use.
type peerClients struct {
	transport transport.Client
	mu        sync.Mutex
	cached    map[string]*peerClient
	lastReset map[string]time.Time
}

type peerClient struct {
	http  *http.Client
	entry peerv1connect.EntryPeerClient
	agent peerv1connect.AgentPeerClient
}

func newPeerClients(t transport.Client) *peerClients {
	return &peerClients{transport: t, cached: make(map[string]*peerClient), lastReset: make(map[string]time.Time)}
}

func (p *peerClients) get(addr string) *peerClient {
	h := p.transport.HTTP(addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.cached[addr]; c != nil && c.http.Transport == h.Transport {
		return c
	}
	if len(p.cached) >= maxPeerClients {
		clear(p.cached)
	}
	// Payloads are opaque: compressing every response costs more than it saves.
	noCompression := connect.WithAcceptCompression("gzip", nil, nil)
	c := &peerClient{
		http:  h,
		entry: peerv1connect.NewEntryPeerClient(h, "https://"+addr, noCompression),
		agent: peerv1connect.NewAgentPeerClient(h, "https://"+addr, noCompression),
	}
	p.cached[addr] = c
	return c
}

func (p *peerClients) entryAt(addr string) peerv1connect.EntryPeerClient { return p.get(addr).entry }
func (p *peerClients) agentAt(addr string) peerv1connect.AgentPeerClient { return p.get(addr).agent }

// onCallError resets the connection to an address after a call failed, if the connection
// may be the cause. An error that the peer sent shows that the connection works, and a call
// that was cancelled or exceeded its own deadline says nothing about the connection.
func (p *peerClients) onCallError(addr string, sent time.Time, err error) {
	if !connect.IsWireError(err) && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled) {
		p.resetConnection(addr, sent)
	}
}

// resetConnection makes the next call to the address use a new connection, unless the
// connection was already reset after the failed call was sent: calls that fail together must
// not break each other's resends.
func (p *peerClients) resetConnection(addr string, sent time.Time) {
	p.mu.Lock()
	done := sent.Before(p.lastReset[addr])
	if !done {
		if len(p.lastReset) >= maxPeerClients {
			clear(p.lastReset)
		}
		p.lastReset[addr] = time.Now()
	}
	p.mu.Unlock()
	if !done {
		p.transport.Reset(addr)
	}
}
