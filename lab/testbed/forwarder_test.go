package testbed

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"poplargw.example/daemon/nettest"
)

// TestForwarderListensAgain guards against a forwarder that accepts connections while it is to refuse them, or that
// does not forward again on the same address.
func TestForwarderListensAgain(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	go func() {
		for {
			c, err := target.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "x") // a failed write shows as a failed read below
			c.Close()
		}
	}()
	f, err := NewForwarder(nettest.FreeAddr(t, "127.0.0.1"), target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	f.StopListening()
	if _, err := net.Dial("tcp", f.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("error %v of a connection after StopListening", err)
	}
	if err := f.Listen(); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", f.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if data, err := io.ReadAll(c); err != nil || string(data) != "x" {
		t.Errorf("read %q, %v after Listen", data, err)
	}
}
