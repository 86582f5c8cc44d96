package transport

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// idleTimeout is how long a connection without calls stays open. It is much longer than the report
// interval of one second, so that peers in regular contact keep their connection.
const idleTimeout = 30 * time.Second

// resetGracePeriod is how long Reset has no effect on the connection that replaces a reset one. When
// a connection fails, all its calls fail together and each may request a reset; without the grace
// period, the later resets would end the calls that already use the new connection.
const resetGracePeriod = 250 * time.Millisecond

var (
	// ErrReset is the error of calls that waited for a connection while Reset canceled the attempt
	// to open it.
	ErrReset = errors.New("connection was reset by the client")
	// ErrClosed is the error of calls after Close, and of calls that waited for a connection.
	ErrClosed = errors.New("transport client is closed")
)

// peer is an http.RoundTripper for one address. All calls share the current connection; a call that
// finds it unusable opens a new one. There are no retries, so a request is never sent twice.
type peer struct {
	addr          string
	dialer        dialer
	deadPeerLimit time.Duration
	observer      *connectionObserver
	idleTimeout   time.Duration
	resetGrace    time.Duration

	mu      sync.Mutex
	current *sharedConn
	closed  bool
	// unreachable is set while attempts to open a connection fail.
	unreachable bool
	// replacing is set from a reset until the attempt to open the replacement has ended. graceUntil is
	// the end of the grace period that follows.
	replacing  bool
	graceUntil time.Time
}

// RoundTrip sends one request on the current connection, waiting until it is open.
func (p *peer) RoundTrip(req *http.Request) (*http.Response, error) {
	c, err := p.acquire()
	if err != nil {
		closeBody(req)
		return nil, err
	}
	select {
	case <-c.ready:
	case <-req.Context().Done():
		p.release(c)
		closeBody(req)
		return nil, context.Cause(req.Context())
	}
	if c.err != nil {
		p.release(c)
		closeBody(req)
		return nil, c.err
	}
	resp, err := c.conn.RoundTrip(req)
	if err != nil {
		p.release(c)
		return nil, err
	}
	resp.Body = &releasingBody{ReadCloser: resp.Body, release: func() { p.release(c) }}
	return resp, nil
}

// closeBody closes the request body, as a RoundTripper must do also on errors.
func closeBody(req *http.Request) {
	if req.Body != nil {
		_ = req.Body.Close()
	}
}

// acquire returns the current connection, opening one if necessary, and adds a call to it.
func (p *peer) acquire() (*sharedConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if p.current != nil && !p.current.usable() {
		if p.current.err == nil {
			p.observer.lost(p.addr)
		}
		p.retire(p.current)
	}
	if p.current == nil {
		p.current = p.open()
	}
	p.current.calls++
	if p.current.idleTimer != nil {
		p.current.idleTimer.Stop()
	}
	return p.current, nil
}

// open starts to open a connection. All calls that wait for it share the attempt, so it does not
// depend on the context of any of them.
func (p *peer) open() *sharedConn {
	ctx, cancel := context.WithCancelCause(context.Background())
	c := &sharedConn{ready: make(chan struct{}), cancel: cancel}
	go func() {
		defer close(c.ready)
		defer cancel(nil)
		ctx, stop := context.WithTimeout(ctx, p.deadPeerLimit)
		defer stop()
		c.conn, c.err = p.dialer.dial(ctx, p.addr)
		if cause := context.Cause(ctx); c.err != nil && (cause == ErrReset || cause == ErrClosed) {
			c.err = cause
		}
		p.dialEnded(c.err)
	}()
	return c
}

// dialEnded records the result of an attempt to open a connection, unless the client canceled it.
func (p *peer) dialEnded(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == ErrReset || err == ErrClosed {
		return
	}
	if p.replacing {
		p.replacing, p.graceUntil = false, time.Now().Add(p.resetGrace)
	}
	p.observer.dialed(p.addr, err, err != nil == p.unreachable)
	p.unreachable = err != nil
}

// release removes one call from a connection. Without calls, a retired connection is closed, and
// another one is closed after idleTimeout.
func (p *peer) release(c *sharedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.calls--
	if c.calls > 0 {
		return
	}
	if c.retired {
		c.closeWhenReady()
		return
	}
	if c.idleTimer == nil {
		c.idleTimer = time.AfterFunc(p.idleTimeout, func() { p.expire(c) })
		return
	}
	c.idleTimer.Reset(p.idleTimeout)
}

// expire closes a connection that had no calls for idleTimeout.
func (p *peer) expire(c *sharedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.calls == 0 {
		p.retire(c)
	}
}

// retire takes c out of use for new calls and closes it once its last call has ended. The caller
// must hold p.mu.
func (p *peer) retire(c *sharedConn) {
	if p.current == c {
		p.current = nil
	}
	if c.retired {
		return
	}
	c.retired = true
	if c.calls == 0 {
		c.closeWhenReady()
	}
}

// reset closes the current connection at once, which fails its calls. With the cause ErrReset it
// does nothing during the grace period.
func (p *peer) reset(cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.current
	if c == nil || (cause == ErrReset && p.inResetGrace()) {
		return
	}
	if cause == ErrReset {
		p.replacing = true
		p.observer.reset(p.addr)
	}
	p.current = nil
	c.retired = true
	c.cancel(cause)
	c.closeWhenReady()
}

// inResetGrace reports whether the current connection replaces one that was just reset. The caller
// must hold p.mu.
func (p *peer) inResetGrace() bool { return p.replacing || time.Now().Before(p.graceUntil) }

// close closes the current connection and makes all further calls fail with ErrClosed.
func (p *peer) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.reset(ErrClosed)
}

// releasingBody is a response body that calls release once, when it is closed or a read fails or
// reaches the end.
type releasingBody struct {
	io.ReadCloser
	once    sync.Once
	release func()
}

func (b *releasingBody) Read(buf []byte) (int, error) {
	n, err := b.ReadCloser.Read(buf)
	if err != nil {
		b.once.Do(b.release)
	}
	return n, err
}

func (b *releasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.release)
	return err
}
