package soak

import (
	"io"
	"net"
	"testing"
	"time"
)

// pipeThrough returns both ends of a connection through a new proxy, and the connection of the proxy.
func pipeThrough(t *testing.T) (source, target net.Conn, c *proxyConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p, err := newProxy(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.close)
	if source, err = net.Dial("tcp", p.addr()); err != nil {
		t.Fatal(err)
	}
	if target, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	for len(p.open()) == 0 {
		time.Sleep(time.Millisecond)
	}
	t.Cleanup(func() { source.Close(); target.Close() })
	return source, target, p.open()[0]
}

// TestProxyDeliversAfterReset guards against a proxy that loses what a client has sent before its connection was reset,
// or that delivers it early.
func TestProxyDeliversAfterReset(t *testing.T) {
	source, target, c := pipeThrough(t)
	const lag = 150 * time.Millisecond
	c.hold(time.Minute)
	if _, err := io.WriteString(source, "request"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond) // the proxy has read it by then
	began := time.Now()
	c.resetSource(lag)
	if _, err := source.Read(make([]byte, 1)); err == nil {
		t.Error("the client reads from a connection that was reset")
	}
	data := make([]byte, len("request"))
	if _, err := io.ReadFull(target, data); err != nil || string(data) != "request" {
		t.Errorf("the server read %q, %v", data, err)
	}
	if took := time.Since(began); took < lag {
		t.Errorf("delivered after %s, want %s", took, lag)
	}
	if _, err := target.Read(data); err == nil {
		t.Error("the server does not see the end of the connection")
	}
}

// TestProxySilence guards against a proxy that delivers data or the end of a connection that was silenced.
func TestProxySilence(t *testing.T) {
	source, target, c := pipeThrough(t)
	c.silence()
	if _, err := io.WriteString(source, "request"); err != nil {
		t.Fatal(err)
	}
	source.Close()
	if err := target.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	n, err := target.Read(make([]byte, 10))
	if e, ok := err.(net.Error); n != 0 || !ok || !e.Timeout() {
		t.Errorf("read %d bytes, %v", n, err)
	}
}

// TestProxyCutsAfterRequest guards against a proxy that resets the connection before it has delivered the next request, or
// that tells the server of the reset early, and against a connection that is cut although that was undone.
func TestProxyCutsAfterRequest(t *testing.T) {
	const request, lag = "request", 150 * time.Millisecond
	source, target, c := pipeThrough(t)
	data := make([]byte, len(request))
	send := func() {
		t.Helper()
		if _, err := io.WriteString(source, request); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(target, data); err != nil || string(data) != request {
			t.Fatalf("the server read %q, %v", data, err)
		}
	}
	c.cutAfterRequest(0, (*proxyConn).reset)
	c.keep()
	send()
	c.cutAfterRequest(0, func(c *proxyConn) { c.resetSource(lag) })
	send()
	began := time.Now()
	if _, err := source.Read(data); err == nil {
		t.Error("the client reads from a connection that was cut")
	}
	if took := time.Since(began); took > lag/2 {
		t.Errorf("the client sees the reset after %s, want it at once", took)
	}
	if _, err := target.Read(data); err == nil {
		t.Error("the server does not see the reset")
	}
	if took := time.Since(began); took < lag/2 {
		t.Errorf("the server sees the reset after %s, want about %s", took, lag)
	}
}
