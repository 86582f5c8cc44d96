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

// Kinds of transport, as in the setting transport.kind.
const (
	KindTCP  = "tcp"
	KindQUIC = "quic"
)

type client struct {
	dialer   dialer
	deadPeer time.Duration
	watch    *watch
	idle     time.Duration
	pause    time.Duration

	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
}

// NewClient returns a client that authenticates itself and its peers by conf; see LoadTLS.
// A connection with calls in flight fails when nothing arrives on it for deadPeer, and so does
// an attempt to open one.
func NewClient(kind string, conf *tls.Config, deadPeer time.Duration) (Client, error) {
	return NewObservedClient(kind, conf, deadPeer, nil, nil, nil)
}

// NewObservedClient returns a client like NewClient that logs the events 501 to 599 and counts
// connections in the set. Both may be nil. Connections come from the local IP, or from one that the
// operating system chooses if it is nil.
func NewObservedClient(kind string, conf *tls.Config, deadPeer time.Duration, local net.IP, log *event.Logger, set *metrics.Set) (Client, error) {
	if deadPeer <= 0 {
		return nil, trace.BadParameter("dead peer limit %v is not positive", deadPeer)
	}
	d, err := newDialer(kind, conf, deadPeer, local)
	if err != nil {
		return nil, err
	}
	return &client{
		dialer: d, deadPeer: deadPeer, watch: newWatch(log, set),
		idle: idleLimit, pause: resetPause, peers: make(map[string]*peer),
	}, nil
}

func newDialer(kind string, conf *tls.Config, deadPeer time.Duration, local net.IP) (dialer, error) {
	switch kind {
	case KindTCP:
		return newTCPDialer(conf, deadPeer, local), nil
	case KindQUIC:
		return newQUICDialer(conf, deadPeer, local), nil
	}
	return nil, trace.BadParameter("unknown transport kind %q, allowed are %q and %q", kind, KindTCP, KindQUIC)
}

func (c *client) HTTP(addr string) *http.Client {
	return &http.Client{Transport: c.peer(addr), CheckRedirect: keepRedirect}
}

// keepRedirect returns redirects to the caller: peers never send any, and following one would
// send the request a second time.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (c *client) peer(addr string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[addr]
	if !ok {
		p = &peer{
			addr: addr, dialer: c.dialer, deadPeer: c.deadPeer, watch: c.watch,
			idle: c.idle, pause: c.pause, closed: c.closed,
		}
		c.peers[addr] = p
	}
	return p
}

func (c *client) Reset(addr string) {
	c.mu.Lock()
	p := c.peers[addr]
	c.mu.Unlock()
	if p != nil {
		p.reset(ErrReset)
	}
}

func (c *client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, p := range c.peers {
		p.close()
	}
}
