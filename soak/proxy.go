package soak

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to one address and disturbs each of them separately. Data of one direction stays in
// order. Create one with newProxy.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	delay time.Duration // of each chunk, in both directions
	conns map[*proxyConn]bool
}

// proxyConn is one connection through a proxy: source is the side of the client, target that of the server.
type proxyConn struct {
	source, target *net.TCPConn

	mu        sync.Mutex
	heldUntil time.Time // nothing is delivered before
	silent    bool      // nothing is delivered any more
	closed    bool
	// cut is called once after the next data of the client was delivered, unless it is nil.
	cut func()
}

// proxyChunk is data that is delivered at a time, or the end of a direction if data is nil.
type proxyChunk struct {
	data  []byte
	due   time.Time
	reset bool // the end was a reset
}

const (
	// proxyQueueLength bounds the chunks of one direction that wait for their delivery.
	proxyQueueLength = 4096
	// proxyPollInterval is the time between two looks at whether held data is due.
	proxyPollInterval = 2 * time.Millisecond
)

// newProxy starts a proxy to a target address on a free port of the loopback address.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[*proxyConn]bool{}}
	go p.accept()
	return p, nil
}

// addr returns the address on which the proxy listens.
func (p *proxy) addr() string { return p.listener.Addr().String() }

// close stops listening and closes all connections.
func (p *proxy) close() {
	_ = p.listener.Close() // the proxy is not used any more
	for _, c := range p.open() {
		c.reset()
	}
}

func (p *proxy) accept() {
	for {
		source, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(source.(*net.TCPConn))
	}
}

// serve forwards one connection in both directions until both have ended.
func (p *proxy) serve(source *net.TCPConn) {
	target, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = source.SetLinger(0) // the source gets a reset, as from a port without a listener
		_ = source.Close()
		return
	}
	c := &proxyConn{source: source, target: target.(*net.TCPConn)}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(c, c.source, c.target, c.cutOnce) })
	wg.Go(func() { p.forward(c, c.target, c.source, func() {}) })
	wg.Wait()
	c.reset()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// forward forwards one direction of a connection until its end has been delivered. It calls delivered after each write.
func (p *proxy) forward(c *proxyConn, from, to *net.TCPConn, delivered func()) {
	queue := make(chan proxyChunk, proxyQueueLength)
	go p.read(from, queue)
	for chunk := range queue {
		if !c.await(chunk.due) {
			break
		}
		if chunk.data == nil {
			if chunk.reset {
				_ = to.SetLinger(0) // fails if the connection has ended already
				_ = to.Close()
			} else {
				_ = to.CloseWrite()
			}
			break
		}
		if _, err := to.Write(chunk.data); err != nil {
			break
		}
		delivered()
	}
	for range queue { // the reader may be waiting for space
	}
}

// read passes on what arrives on a connection, and its end.
func (p *proxy) read(from *net.TCPConn, queue chan<- proxyChunk) {
	defer close(queue)
	for {
		buf := make([]byte, 16<<10)
		n, err := from.Read(buf)
		p.mu.Lock()
		due := time.Now().Add(p.delay)
		p.mu.Unlock()
		if n > 0 {
			queue <- proxyChunk{data: buf[:n], due: due}
		}
		if err != nil {
			queue <- proxyChunk{due: due, reset: !errors.Is(err, io.EOF)}
			return
		}
	}
}

// await waits until data that is due at the given time may be delivered. It returns false if the connection was
// reset meanwhile.
func (c *proxyConn) await(due time.Time) bool {
	for {
		c.mu.Lock()
		at, closed := due, c.closed
		if c.heldUntil.After(at) {
			at = c.heldUntil
		}
		silent := c.silent
		c.mu.Unlock()
		switch {
		case closed:
			return false
		case !silent && !time.Now().Before(at):
			return true
		}
		time.Sleep(proxyPollInterval)
	}
}

// open returns the open connections.
func (p *proxy) open() []*proxyConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*proxyConn
	for c := range p.conns {
		list = append(list, c)
	}
	return list
}

// some returns each open connection with the given probability.
func (p *proxy) some(r *rand.Rand, share float64) []*proxyConn {
	var list []*proxyConn
	for _, c := range p.open() {
		if r.Float64() < share {
			list = append(list, c)
		}
	}
	return list
}

// setDelay sets the delay of data that is read from now on.
func (p *proxy) setDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// hold delivers nothing for a time, and then everything in order.
func (c *proxyConn) hold(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heldUntil = time.Now().Add(d)
}

// cutAfterRequest calls cut a pause after the next data of the client was delivered to the server.
func (c *proxyConn) cutAfterRequest(pause time.Duration, cut func(*proxyConn)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = func() { time.AfterFunc(pause, func() { cut(c) }) }
}

// keep undoes cutAfterRequest, unless the data was delivered already.
func (c *proxyConn) keep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = nil
}

// cutOnce does what cutAfterRequest has set.
func (c *proxyConn) cutOnce() {
	c.mu.Lock()
	cut := c.cut
	c.cut = nil
	c.mu.Unlock()
	if cut != nil {
		cut()
	}
}

// silence delivers nothing any more, not even the end of the connection.
func (c *proxyConn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

// reset resets both sides at once. What has not been delivered is lost.
func (c *proxyConn) reset() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	resetConn(c.source)
	resetConn(c.target)
}

// resetSource resets the side of the client at once. The other side gets what was read, and the reset, after lag.
func (c *proxyConn) resetSource(lag time.Duration) {
	c.hold(lag)
	resetConn(c.source)
}

// resetTarget resets the side of the server at once. The other side gets what was read, and the reset, after lag.
func (c *proxyConn) resetTarget(lag time.Duration) {
	c.hold(lag)
	resetConn(c.target)
}

// resetConn closes a connection with a TCP reset. Errors mean that it has ended already.
func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
