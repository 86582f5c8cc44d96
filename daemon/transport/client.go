package transport

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"poplargw.example/daemon/event"
)

// Transport kinds, as in the setting transport.kind.
const (
	KindTCP  = "tcp"
	KindQUIC = "quic"
)

// client implements Client with one connection to each peer.
type client struct {
	dialer        dialer
	deadPeerLimit time.Duration
	observer      *connectionObserver
	idleTimeout   time.Duration
	resetGrace    time.Duration

	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
}

// NewClient returns a client that authenticates itself and its peers with conf; see LoadTLS. A
// connection with calls in flight fails if nothing arrives on it for the duration deadPeerLimit, and an
// attempt to open a connection fails after the same time. NewClient returns an error if kind is
// unknown or deadPeerLimit is not positive.
func NewClient(kind string, conf *tls.Config, deadPeerLimit time.Duration) (Client, error) {
	return NewObservedClient(kind, conf, deadPeerLimit, nil, nil, nil)
}

// NewObservedClient returns a client like NewClient that also logs the events 501 to 599 to log and
// counts connections in set. Both may be nil; a set can be passed only once. Connections are opened
// from the IP address local, or from one that the operating system chooses if it is nil.
func NewObservedClient(kind string, conf *tls.Config, deadPeerLimit time.Duration, local net.IP, log *event.Logger, set *metrics.Set) (Client, error) {
	if deadPeerLimit <= 0 {
		return nil, trace.BadParameter("dead-peer limit %v is not positive", deadPeerLimit)
	}
	d, err := newDialer(kind, conf, deadPeerLimit, local)
	if err != nil {
		return nil, err
	}
	return &client{
		dialer: d, deadPeerLimit: deadPeerLimit, observer: newConnectionObserver(log, set),
		idleTimeout: idleTimeout, resetGrace: resetGracePeriod, peers: make(map[string]*peer),
	}, nil
}

// newDialer returns the dialer of a transport kind.
func newDialer(kind string, conf *tls.Config, deadPeerLimit time.Duration, local net.IP) (dialer, error) {
	switch kind {
	case KindTCP:
		return newTCPDialer(conf, deadPeerLimit, local), nil
	case KindQUIC:
		return newQUICDialer(conf, deadPeerLimit, local), nil
	}
	return nil, trace.BadParameter("unknown transport kind %q; allowed: %q, %q", kind, KindTCP, KindQUIC)
}

// HTTP implements Client.
func (c *client) HTTP(addr string) *http.Client {
	return &http.Client{Transport: c.peer(addr), CheckRedirect: returnRedirect}
}

// returnRedirect makes the HTTP client return redirects to the caller instead of following them:
// peers never send redirects, and following one would send the request a second time.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// peer returns the peer at addr, creating it if necessary.
func (c *client) peer(addr string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[addr]
	if !ok {
		p = &peer{
			addr: addr, dialer: c.dialer, deadPeerLimit: c.deadPeerLimit, observer: c.observer,
			idleTimeout: c.idleTimeout, resetGrace: c.resetGrace, closed: c.closed,
		}
		c.peers[addr] = p
	}
	return p
}

// Reset implements Client.
func (c *client) Reset(addr string) {
	c.mu.Lock()
	p := c.peers[addr]
	c.mu.Unlock()
	if p != nil {
		p.reset(ErrReset)
	}
}

// Close implements Client.
func (c *client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, p := range c.peers {
		p.close()
	}
}
