package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// proxy forwards TCP connections on loopback and harms them when told to.
type proxy struct {
	target string
	l      net.Listener

	mu    sync.Mutex
	conns map[net.Conn]*atomic.Bool // silent or not

	cut   atomic.Bool // nothing passes, open and new connections alike
	delay atomic.Int64
}

func newProxy(t *testing.T, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{target: target, l: l, conns: map[net.Conn]*atomic.Bool{}}
	go p.accept()
	t.Cleanup(func() {
		if err := l.Close(); err != nil {
			t.Log(err)
		}
		p.reset()
	})
	return p
}

func (p *proxy) addr() string { return p.l.Addr().String() }

func (p *proxy) accept() {
	for {
		in, err := p.l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			in.Close()
			continue
		}
		silent := &atomic.Bool{}
		p.mu.Lock()
		p.conns[in] = silent
		p.mu.Unlock()
		go p.pipe(in, out, silent)
		go p.pipe(out, in, silent)
	}
}

// pipe copies one direction. Bytes that are held up by silence or a cut are lost.
func (p *proxy) pipe(from, to net.Conn, silent *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		time.Sleep(time.Duration(p.delay.Load()))
		if n > 0 && !silent.Load() && !p.cut.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if err != io.EOF || !p.cut.Load() {
				break
			}
		}
	}
	from.Close()
	to.Close()
}

// silence makes the open connections silent for good; new ones work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.conns {
		s.Store(true)
	}
}

// reset ends the open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
	clear(p.conns)
}
