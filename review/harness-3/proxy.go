package main

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"time"
)

// linkProxy stands between the entries and one agent. It tells the entries apart by the name in their first frame.
type linkProxy struct {
	rig      *rig
	side     *side
	address  string
	listener net.Listener

	mu     sync.Mutex
	cut    map[string]bool // by zone of the entry
	frozen bool            // the machine is suspended
	hole   *blackhole      // while it is
	conns  map[*proxied]bool
}

type proxied struct {
	zone    string
	in, out net.Conn
}

func newLinkProxy(r *rig, v *side) (*linkProxy, error) {
	l, err := net.Listen("tcp", v.ip+":0")
	if err != nil {
		return nil, err
	}
	p := &linkProxy{rig: r, side: v, address: l.Addr().String(), listener: l, cut: map[string]bool{}, conns: map[*proxied]bool{}}
	go p.accept(l)
	return p, nil
}

func (p *linkProxy) addr() string { return p.address }

func (p *linkProxy) accept(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(in)
	}
}

func (p *linkProxy) serve(in net.Conn) {
	buf := make([]byte, 64<<10)
	n, err := in.Read(buf)
	if err != nil {
		in.Close()
		return
	}
	zone := ""
	for _, e := range p.rig.entries {
		if bytes.Contains(buf[:n], []byte(e.name)) {
			zone = e.zone
		}
	}
	p.mu.Lock()
	if p.cut[zone] {
		p.mu.Unlock()
		reset(in)
		return
	}
	out, err := net.Dial("tcp", p.side.link)
	if err != nil {
		p.mu.Unlock()
		reset(in)
		return
	}
	c := &proxied{zone, in, out}
	p.conns[c] = true
	p.mu.Unlock()
	if _, err := out.Write(buf[:n]); err == nil {
		var done sync.WaitGroup
		done.Go(func() { p.pipe(in, out) })
		done.Go(func() { p.pipe(out, in) })
		done.Wait()
	}
	in.Close()
	out.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// isFrozen reports whether the machine is suspended.
func (p *linkProxy) isFrozen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.frozen
}

// pipe forwards one direction. While the machine is suspended it holds the data, and the end of the connection too.
func (p *linkProxy) pipe(from, to net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		for p.isFrozen() {
			time.Sleep(2 * time.Millisecond)
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	from.Close()
	to.Close()
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// setCut cuts the entries of a zone from the agent: open connections are reset, and new ones too.
func (p *linkProxy) setCut(zone string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[zone] = cut
	if !cut {
		return
	}
	for c := range p.conns {
		if c.zone == zone {
			reset(c.in)
			reset(c.out)
		}
	}
}

// cutZone cuts a zone from the others, or ends that.
func (r *rig) cutZone(zone string, cut bool) {
	for _, v := range r.sides {
		for _, e := range r.entries {
			if (e.zone == zone) != (v.zone == zone) {
				v.proxy.setCut(e.zone, cut)
			}
		}
	}
	r.note("zone %s is cut from the others: %t", zone, cut)
}

// rewriteLinks makes the store hold the addresses of the proxies in place of those of the agents.
func (r *rig) rewriteLinks() {
	r.store.SetRewrite(func(_ string, value []byte) []byte {
		for _, v := range r.sides {
			if v.proxy != nil {
				value = bytes.ReplaceAll(value, fmt.Appendf(nil, "%q", v.link), fmt.Appendf(nil, "%q", v.proxy.addr()))
			}
		}
		return value
	})
}
