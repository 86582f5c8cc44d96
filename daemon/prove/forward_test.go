package prove

import (
	"net"
	"sync"
	"time"
)

// linkMode says what a forwarder does with the connections of one source.
type linkMode int

const (
	linkOpen linkMode = iota
	// linkSilent accepts connections and bytes but delivers nothing.
	linkSilent
	// linkRefuse closes connections at once.
	linkRefuse
	// linkHold keeps what the source sends and delivers it later, also if the source has
	// closed the connection by then.
	linkHold
)

// forwarder forwards TCP connections to one process. The source IP tells which
// process opened a connection, so each pair of processes can be cut separately.
type forwarder struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	modes map[string]linkMode
	delay map[string]time.Duration
	conns map[*forwarded]bool
}

// forwarded is one connection through a forwarder.
type forwarded struct {
	source  string
	in, out net.Conn
	silent  bool
}

func newForwarder(addr, target string) (*forwarder, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	f := &forwarder{
		listener: l, target: target,
		modes: make(map[string]linkMode), delay: make(map[string]time.Duration), conns: make(map[*forwarded]bool),
	}
	go f.accept()
	return f, nil
}

// set changes the mode for open and new connections from the source IP.
func (f *forwarder) set(source string, m linkMode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.modes[source] = m
	if m != linkRefuse {
		return
	}
	for c := range f.conns {
		if c.source == source {
			c.close()
		}
	}
}

// anySource is the source of every connection whose source has no mode of its own.
func (f *forwarder) anySource() string { return "" }

// setDelay adds a delay to each chunk in both directions.
func (f *forwarder) setDelay(source string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay[source] = d
}

// silenceOpen makes the connections that are open now silent for good; new ones work.
func (f *forwarder) silenceOpen(source string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for c := range f.conns {
		if c.source == source {
			c.silent = true
			n++
		}
	}
	return n
}

func (f *forwarder) close() {
	f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.close()
	}
}

func (f *forwarder) accept() {
	for {
		in, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.serve(in)
	}
}

func (f *forwarder) serve(in net.Conn) {
	c := &forwarded{source: in.RemoteAddr().(*net.TCPAddr).IP.String(), in: in}
	if f.mode(c) == linkRefuse {
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
	done.Go(func() { f.copy(c, c.in, c.out) })
	done.Go(func() { f.copy(c, c.out, c.in) })
	done.Wait()
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
}

func (f *forwarder) copy(c *forwarded, from, to net.Conn) {
	defer c.close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for from == c.in && f.mode(c) == linkHold {
			time.Sleep(10 * time.Millisecond)
		}
		if n > 0 && f.mode(c) == linkOpen {
			time.Sleep(f.delayOf(c))
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			// A silent path does not deliver the end of a connection either.
			for f.mode(c) == linkSilent {
				time.Sleep(50 * time.Millisecond)
			}
			return
		}
	}
}

func (f *forwarder) mode(c *forwarded) linkMode {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.silent {
		return linkSilent
	}
	if m, ok := f.modes[c.source]; ok {
		return m
	}
	return f.modes[f.anySource()]
}

func (f *forwarder) delayOf(c *forwarded) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delay[c.source]
}

func (c *forwarded) close() {
	c.in.Close()
	if c.out != nil {
		c.out.Close()
	}
}
