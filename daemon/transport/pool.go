package transport

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// idleLimit is how long a connection without calls stays open. It is well above the reporting
// interval of one second, so that peers in regular contact keep their connection.
const idleLimit = 30 * time.Second

// resetPause is the time after a new connection in which Reset keeps it. When a connection fails, all
// its calls fail together and each may ask for a reset; without the pause they would end the calls
// that already use the new connection.
const resetPause = 250 * time.Millisecond

var (
	// ErrReset is the cause of calls that fail because Reset closed their connection.
	ErrReset = errors.New("connection was reset by its user")
	// ErrClosed is returned by calls after Close.
	ErrClosed = errors.New("transport client is closed")
)

// link is one connection to a peer.
type link interface {
	http.RoundTripper
	// usable tells whether new calls may be sent on the connection.
	usable() bool
	close()
}

// dialer opens a new connection from a new local port.
type dialer interface {
	dial(ctx context.Context, addr string) (link, error)
}

// slot is a connection that is being opened or is open. Its fields are guarded by the peer's mutex,
// except link and err, which are set before ready is closed and constant afterwards.
type slot struct {
	ready   chan struct{}
	link    link
	err     error
	cancel  context.CancelCauseFunc
	calls   int
	retired bool
	idle    *time.Timer
}

func (s *slot) usable() bool {
	select {
	case <-s.ready:
		return s.err == nil && s.link.usable()
	default:
		return true
	}
}

// peer holds the current connection to one address. All calls share it; a call that finds it
// unusable opens the next one. A request is never sent twice: there are no retries.
type peer struct {
	addr     string
	dialer   dialer
	deadPeer time.Duration
	watch    *watch
	idle     time.Duration
	pause    time.Duration

	mu     sync.Mutex
	cur    *slot
	closed bool
	// unreachable is set while attempts to open a connection fail.
	unreachable bool
	// replacing is set from a reset until its new connection is open or has failed, and keepUntil is
	// the end of the pause after that.
	replacing bool
	keepUntil time.Time
}

// RoundTrip sends one request on the current connection.
func (p *peer) RoundTrip(req *http.Request) (*http.Response, error) {
	s, err := p.acquire()
	if err != nil {
		closeBody(req)
		return nil, err
	}
	select {
	case <-s.ready:
	case <-req.Context().Done():
		p.release(s)
		closeBody(req)
		return nil, context.Cause(req.Context())
	}
	if s.err != nil {
		p.release(s)
		closeBody(req)
		return nil, s.err
	}
	resp, err := s.link.RoundTrip(req)
	if err != nil {
		p.release(s)
		return nil, err
	}
	resp.Body = &releasingBody{ReadCloser: resp.Body, release: func() { p.release(s) }}
	return resp, nil
}

func closeBody(req *http.Request) {
	if req.Body != nil {
		_ = req.Body.Close()
	}
}

// acquire returns the current connection, opening one if necessary, and counts the call.
func (p *peer) acquire() (*slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if p.cur != nil && !p.cur.usable() {
		if p.cur.err == nil {
			p.watch.lost(p.addr)
		}
		p.retire(p.cur)
	}
	if p.cur == nil {
		p.cur = p.open()
	}
	p.cur.calls++
	if p.cur.idle != nil {
		p.cur.idle.Stop()
	}
	return p.cur, nil
}

// open starts to dial. The dial is shared by all calls that wait for it, so it does not end with
// the context of one of them.
func (p *peer) open() *slot {
	ctx, cancel := context.WithCancelCause(context.Background())
	s := &slot{ready: make(chan struct{}), cancel: cancel}
	go func() {
		defer close(s.ready)
		defer cancel(nil)
		ctx, stop := context.WithTimeout(ctx, p.deadPeer)
		defer stop()
		s.link, s.err = p.dialer.dial(ctx, p.addr)
		if cause := context.Cause(ctx); s.err != nil && (cause == ErrReset || cause == ErrClosed) {
			s.err = cause
		}
		p.opened(s.err)
	}()
	return s
}

// opened notes the end of an attempt to open a connection.
func (p *peer) opened(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == ErrReset || err == ErrClosed {
		return
	}
	if p.replacing {
		p.replacing, p.keepUntil = false, time.Now().Add(p.pause)
	}
	p.watch.opened(p.addr, err, err != nil == p.unreachable)
	p.unreachable = err != nil
}

// release ends one call.
func (p *peer) release(s *slot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.calls--
	if s.calls > 0 {
		return
	}
	if s.retired {
		s.closeWhenReady()
		return
	}
	if s.idle == nil {
		s.idle = time.AfterFunc(p.idle, func() { p.expire(s) })
		return
	}
	s.idle.Reset(p.idle)
}

// expire closes a connection that had no calls for idleLimit.
func (p *peer) expire(s *slot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.calls == 0 {
		p.retire(s)
	}
}

// retire takes s out of use for new calls and closes it once its last call has ended.
func (p *peer) retire(s *slot) {
	if p.cur == s {
		p.cur = nil
	}
	if s.retired {
		return
	}
	s.retired = true
	if s.calls == 0 {
		s.closeWhenReady()
	}
}

// reset closes the current connection at once, with its calls.
func (p *peer) reset(cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.cur
	if s == nil || (cause == ErrReset && p.isFresh()) {
		return
	}
	if cause == ErrReset {
		p.replacing = true
		p.watch.reset(p.addr)
	}
	p.cur = nil
	s.retired = true
	s.cancel(cause)
	s.closeWhenReady()
}

// isFresh tells whether the current connection replaces one that was just reset.
func (p *peer) isFresh() bool { return p.replacing || time.Now().Before(p.keepUntil) }

func (p *peer) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.reset(ErrClosed)
}

// closeWhenReady closes the connection. A dial that is still going on ends first, since its
// connection is known only then.
func (s *slot) closeWhenReady() {
	if s.idle != nil {
		s.idle.Stop()
	}
	s.cancel(ErrReset)
	go func() {
		<-s.ready
		if s.err == nil {
			s.link.close()
		}
	}()
}

// releasingBody ends the call when the response was read to its end or closed.
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
