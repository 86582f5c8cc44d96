package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// traffic counts the bytes, packets and connections of one source IP through a forwarder: in is the
// direction to the target, out the direction back. Bytes are those of TLS records or UDP datagrams,
// without the headers of IP, TCP and UDP. Packets are reads of the forwarder; for TCP there are at most
// as many reads as segments.
type traffic struct {
	in, out, packets, connections atomic.Int64
}

func (t *traffic) bytes() int64 { return t.in.Load() + t.out.Load() }

// forwarder forwards TCP connections and UDP datagrams to a target and counts the traffic by source IP.
type forwarder struct {
	target   string
	listener net.Listener
	socket   *net.UDPConn

	mu      sync.Mutex
	traffic map[string]*traffic
	flows   map[string]*net.UDPConn
}

// newForwarder listens on an address over TCP and UDP and forwards to the target.
func newForwarder(addr, target string) (*forwarder, error) {
	f := &forwarder{target: target, traffic: map[string]*traffic{}, flows: map[string]*net.UDPConn{}}
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	if f.listener, err = net.Listen("tcp", addr); err != nil {
		return nil, err
	}
	if f.socket, err = net.ListenUDP("udp", udp); err != nil {
		f.listener.Close()
		return nil, err
	}
	go f.accept()
	go f.forwardDatagrams()
	return f, nil
}

// trafficFrom returns the counters of a source IP.
func (f *forwarder) trafficFrom(ip string) *traffic {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.traffic[ip]
	if t == nil {
		t = &traffic{}
		f.traffic[ip] = t
	}
	return t
}

func (f *forwarder) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.forwardConn(c)
	}
}

// forwardConn forwards one TCP connection in both directions until it ends.
func (f *forwarder) forwardConn(in net.Conn) {
	out, err := net.Dial("tcp", f.target)
	if err != nil {
		in.Close()
		return
	}
	t := f.trafficFrom(in.RemoteAddr().(*net.TCPAddr).IP.String())
	t.connections.Add(1)
	go copyAndCount(in, out, &t.in, &t.packets)
	copyAndCount(out, in, &t.out, &t.packets)
}

// copyAndCount copies and counts data in one direction until a connection fails or ends, and then closes
// both.
func copyAndCount(from, to net.Conn, bytes, packets *atomic.Int64) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		bytes.Add(int64(n))
		packets.Add(1)
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// forwardDatagrams forwards UDP datagrams to the target until the socket is closed.
func (f *forwarder) forwardDatagrams() {
	buffer := make([]byte, 64<<10)
	for {
		n, source, err := f.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		t := f.trafficFrom(source.IP.String())
		t.in.Add(int64(n))
		t.packets.Add(1)
		if flow := f.flowFor(source, t); flow != nil {
			_, _ = flow.Write(buffer[:n])
		}
	}
}

// flowFor returns the socket that carries the datagrams of a source address to the target. It opens the
// socket on first use and returns nil if that fails.
func (f *forwarder) flowFor(source *net.UDPAddr, t *traffic) *net.UDPConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.flows[source.String()]
	if c != nil {
		return c
	}
	target, err := net.ResolveUDPAddr("udp", f.target)
	if err != nil {
		return nil
	}
	if c, err = net.DialUDP("udp", nil, target); err != nil {
		return nil
	}
	t.connections.Add(1)
	f.flows[source.String()] = c
	go f.forwardReplies(c, source, t)
	return c
}

// forwardReplies forwards the target's datagrams back to a source until the socket is closed.
func (f *forwarder) forwardReplies(c *net.UDPConn, source *net.UDPAddr, t *traffic) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := c.Read(buffer)
		if isClosed(err) {
			return
		}
		if err != nil {
			// The target is not listening, for example because it is starting or was killed.
			time.Sleep(time.Millisecond)
			continue
		}
		t.out.Add(int64(n))
		t.packets.Add(1)
		_, _ = f.socket.WriteToUDP(buffer[:n], source)
	}
}

func (f *forwarder) close() {
	f.listener.Close()
	f.socket.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.flows {
		c.Close()
	}
}

// totalBytes returns the number of bytes of all sources in both directions.
func (f *forwarder) totalBytes() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := int64(0)
	for _, t := range f.traffic {
		n += t.bytes()
	}
	return float64(n)
}
