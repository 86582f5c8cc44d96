package testbed

import (
	"net"
	"sync"
	"time"
)

// LinkMode says what a forwarder does with the connections from one source IP.
type LinkMode int

// Link modes.
const (
	// LinkOpen forwards everything.
	LinkOpen LinkMode = iota
	// LinkSilent accepts connections and bytes but delivers nothing, not even the end of a connection.
	LinkSilent
	// LinkRefuse closes connections at once; see SetMode for those that are open when the mode changes.
	LinkRefuse
	// LinkHold holds what the source sends until the mode changes and then treats it by the new
	// mode, even if the source has closed the connection by then. What the target sends meanwhile is
	// discarded.
	LinkHold
)

// Forwarder forwards TCP connections to one process and can disturb them. Each process of a network
// has its own IP, so the source IP of a connection tells which process opened it, and the link
// between any two processes can be cut separately.
type Forwarder struct {
	address string
	target  string

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	modes    map[string]LinkMode
	delays   map[string]time.Duration
	conns    map[*forwardedConn]bool
}

// forwardedConn is one connection through a forwarder: in is the side of the source, out that of the
// target. If silent is set, the connection is treated as LinkSilent whatever the mode of its source.
type forwardedConn struct {
	source  string
	in, out net.Conn
	silent  bool
}

// NewForwarder listens on the address and forwards to the target, an IP:port, until Close. It
// returns an error if it cannot listen.
func NewForwarder(addr, target string) (*Forwarder, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	f := &Forwarder{
		address: l.Addr().String(), listener: l, target: target,
		modes: make(map[string]LinkMode), delays: make(map[string]time.Duration), conns: make(map[*forwardedConn]bool),
	}
	go f.accept(l)
	return f, nil
}

// SetMode changes the mode of open and new connections from the source IP. LinkRefuse closes the open
// ones. For AnySource it closes none, but nothing more is delivered on those without a mode of their
// own.
func (f *Forwarder) SetMode(source string, m LinkMode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.modes[source] = m
	if m != LinkRefuse {
		return
	}
	for c := range f.conns {
		if c.source == source {
			c.close()
		}
	}
}

// AnySource stands for every source IP that has no mode or delay of its own; in SilenceOpen, it
// stands for every source IP.
const AnySource = ""

// SetDelay sets the delay that is added to each chunk, in both directions, on connections from the
// source IP. Chunks are delayed one after the other, so a longer stream is delayed more.
func (f *Forwarder) SetDelay(source string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delays[source] = d
}

// SilenceOpen silences the connections from the source IP that are open now until they end, and
// returns their number. New connections are not affected.
func (f *Forwarder) SilenceOpen(source string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for c := range f.conns {
		if c.source == source || source == AnySource {
			c.silent = true
			n++
		}
	}
	return n
}

// Close stops listening and closes all connections.
func (f *Forwarder) Close() {
	f.StopListening()
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.close()
	}
}

// StopListening makes the operating system refuse new connections until Listen. Open connections are not
// affected.
func (f *Forwarder) StopListening() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listener != nil {
		f.listener.Close()
		f.listener = nil
	}
}

// Listen accepts connections again on the same address after StopListening.
func (f *Forwarder) Listen() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", f.address)
	if err != nil {
		return err
	}
	f.listener = l
	go f.accept(l)
	return nil
}

// Addr returns the IP:port that the forwarder listens on.
func (f *Forwarder) Addr() string { return f.address }

// Reset closes all open connections, with a TCP reset to the source. New connections are not
// affected.
func (f *Forwarder) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if tcp, ok := c.in.(*net.TCPConn); ok {
			// This fails for a connection that has just ended; that one needs no reset.
			_ = tcp.SetLinger(0)
		}
		c.close()
	}
}

func (f *Forwarder) accept(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		go f.serve(in)
	}
}

// serve forwards one connection in both directions until both have ended.
func (f *Forwarder) serve(in net.Conn) {
	c := &forwardedConn{source: in.RemoteAddr().(*net.TCPAddr).IP.String(), in: in}
	if f.modeOf(c) == LinkRefuse {
		in.Close()
		return
	}
	out, err := net.DialTimeout("tcp", f.target, time.Second)
	if err != nil {
		in.Close()
		return
	}
	c.out = out
	f.mu.Lock()
	f.conns[c] = true
	f.mu.Unlock()
	var done sync.WaitGroup
	done.Go(func() { f.forward(c, c.in, c.out) })
	done.Go(func() { f.forward(c, c.out, c.in) })
	done.Wait()
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
}

// forward copies one direction of a connection by the mode and delay of its source.
func (f *Forwarder) forward(c *forwardedConn, from, to net.Conn) {
	defer c.close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for from == c.in && f.modeOf(c) == LinkHold {
			time.Sleep(10 * time.Millisecond)
		}
		if n > 0 && f.modeOf(c) == LinkOpen {
			time.Sleep(f.delayOf(c))
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			// A silent path does not deliver the end of a connection either.
			for f.modeOf(c) == LinkSilent {
				time.Sleep(50 * time.Millisecond)
			}
			return
		}
	}
}

// modeOf returns the mode that applies to a connection now.
func (f *Forwarder) modeOf(c *forwardedConn) LinkMode {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.silent {
		return LinkSilent
	}
	if m, ok := f.modes[c.source]; ok {
		return m
	}
	return f.modes[AnySource]
}

// delayOf returns the delay that applies to a connection now.
func (f *Forwarder) delayOf(c *forwardedConn) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d, ok := f.delays[c.source]; ok {
		return d
	}
	return f.delays[AnySource]
}

func (c *forwardedConn) close() {
	c.in.Close()
	if c.out != nil {
		c.out.Close()
	}
}
