package main

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// gate is a proxy in front of the links to an agent. While it is shut, connections that are open carry nothing and new ones are not
// answered, as by a machine that is suspended or has no power: the queue of its listener is full, so that the kernel drops the
// opening packets.
type gate struct {
	addr, target string
	listener     net.Listener

	mu    sync.Mutex
	open  chan struct{} // closed while the gate is open
	fill  []net.Conn
	conns []net.Conn
	links int // that are open
}

// newGate listens at an address with the shortest queue and forwards to a target.
func newGate(addr, target string) (*gate, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "gate")
	defer f.Close()
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: tcp.Port, Addr: [4]byte(tcp.IP.To4())}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 1); err != nil {
		return nil, err
	}
	l, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	g := &gate{addr: addr, target: target, listener: l, open: closedChannel()}
	go g.accept()
	return g, nil
}

func (g *gate) awaitOpen() {
	g.mu.Lock()
	c := g.open
	g.mu.Unlock()
	<-c
}

func (g *gate) accept() {
	for {
		g.awaitOpen()
		_ = g.listener.(*net.TCPListener).SetDeadline(time.Now().Add(5 * time.Millisecond))
		c, err := g.listener.Accept()
		if err != nil {
			if os.IsTimeout(err) {
				continue
			}
			return
		}
		go g.forward(c)
	}
}

func (g *gate) forward(c net.Conn) {
	defer c.Close()
	out, err := net.Dial("tcp", g.target)
	if err != nil {
		return
	}
	defer out.Close()
	g.mu.Lock()
	g.conns = append(g.conns, c, out)
	g.links++
	g.mu.Unlock()
	go g.pipe(c, out)
	g.pipe(out, c)
	g.mu.Lock()
	g.links--
	g.mu.Unlock()
}

// openLinks returns the number of links through the gate.
func (g *gate) openLinks() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.links
}

// pipe copies from one connection to the other, but nothing while the gate is shut.
func (g *gate) pipe(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		g.awaitOpen()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// shut shuts the gate and fills the queue of the listener.
func (g *gate) shut() {
	g.mu.Lock()
	g.open = make(chan struct{})
	g.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	for range 4 {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", g.addr)
		cancel()
		if err != nil {
			break
		}
		g.fill = append(g.fill, c)
	}
}

// reopen opens the gate again.
func (g *gate) reopen() {
	for _, c := range g.fill {
		c.Close()
	}
	g.fill = nil
	g.mu.Lock()
	close(g.open)
	g.mu.Unlock()
}

func (g *gate) close() {
	g.listener.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conns {
		c.Close()
	}
}
