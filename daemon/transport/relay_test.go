package transport

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay forwards connections to a server. It can make the open connections permanently silent, like
// a middlebox that lost its flow state; new connections still work.
type relay struct {
	addr string

	mu    sync.Mutex
	flows []*flow
}

// flow is one relayed connection.
type flow struct {
	mu     sync.Mutex
	silent bool
}

func (f *flow) isSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent
}

func (r *relay) add() *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := &flow{}
	r.flows = append(r.flows, f)
	return f
}

// silence makes all open connections silent.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.mu.Lock()
		f.silent = true
		f.mu.Unlock()
	}
}

func newRelay(t *testing.T, kind, server string) *relay {
	t.Helper()
	if kind == KindTCP {
		return newTCPRelay(t, server)
	}
	return newUDPRelay(t, server)
}

func newTCPRelay(t *testing.T, server string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	r := &relay{addr: l.Addr().String()}
	go func() {
		for {
			inbound, err := l.Accept()
			if err != nil {
				return
			}
			outbound, err := net.Dial("tcp", server)
			if err != nil {
				_ = inbound.Close()
				continue
			}
			f := r.add()
			go f.copyTCP(outbound, inbound)
			go f.copyTCP(inbound, outbound)
		}
	}()
	return r
}

func (f *flow) copyTCP(dst, src net.Conn) {
	defer dst.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if f.isSilent() {
			// Continue reading, so that neither side sees a closed connection.
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func newUDPRelay(t *testing.T, server string) *relay {
	listener, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	r := &relay{addr: listener.LocalAddr().String()}
	go r.serveUDP(t, listener, server)
	return r
}

func (r *relay) serveUDP(t *testing.T, listener net.PacketConn, server string) {
	type path struct {
		flow *flow
		out  net.Conn
	}
	paths := make(map[string]path)
	buf := make([]byte, 64<<10)
	for {
		n, from, err := listener.ReadFrom(buf)
		if err != nil {
			return
		}
		p, ok := paths[from.String()]
		if !ok {
			out, err := net.Dial("udp", server)
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = out.Close() })
			p = path{flow: r.add(), out: out}
			paths[from.String()] = p
			go p.flow.copyUDP(listener, from, out)
		}
		if !p.flow.isSilent() {
			_, _ = p.out.Write(buf[:n])
		}
	}
}

func (f *flow) copyUDP(listener net.PacketConn, to net.Addr, from io.Reader) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if !f.isSilent() {
			_, _ = listener.WriteTo(buf[:n], to)
		}
	}
}
