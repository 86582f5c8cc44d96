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

// maxPeerClients bounds the cache of Connect clients; addresses of replaced VMs pile up in it.
const maxPeerClients = 4096

// peerClients caches the Connect clients of peers by address.
type peerClients struct {
	transport transport.Client
	mu        sync.Mutex
	cached    map[string]*peerClient
	resets    map[string]time.Time
}

type peerClient struct {
	http  *http.Client
	entry peerv1connect.EntryPeerClient
	agent peerv1connect.AgentPeerClient
}

func newPeerClients(t transport.Client) *peerClients {
	return &peerClients{transport: t, cached: make(map[string]*peerClient), resets: make(map[string]time.Time)}
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
	// Payloads are opaque; compressing every response costs more than it saves here.
	plain := connect.WithAcceptCompression("gzip", nil, nil)
	c := &peerClient{
		http:  h,
		entry: peerv1connect.NewEntryPeerClient(h, "https://"+addr, plain),
		agent: peerv1connect.NewAgentPeerClient(h, "https://"+addr, plain),
	}
	p.cached[addr] = c
	return c
}

func (p *peerClients) entryAt(addr string) peerv1connect.EntryPeerClient { return p.get(addr).entry }
func (p *peerClients) agentAt(addr string) peerv1connect.AgentPeerClient { return p.get(addr).agent }

// repair prepares the next call to an address whose connection failed a call. An error
// that the peer sent came over a working connection, and a call that ran into its own
// time limit says nothing about it.
func (p *peerClients) repair(addr string, sent time.Time, err error) {
	if !connect.IsWireError(err) && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled) {
		p.resetAfter(addr, sent)
	}
}

// resetAfter gives the address a fresh connection, unless that has been done since the
// failed call was sent: calls that break together must not break each other's resends.
func (p *peerClients) resetAfter(addr string, sent time.Time) {
	p.mu.Lock()
	done := sent.Before(p.resets[addr])
	if !done {
		if len(p.resets) >= maxPeerClients {
			clear(p.resets)
		}
		p.resets[addr] = time.Now()
	}
	p.mu.Unlock()
	if !done {
		p.transport.Reset(addr)
	}
}
