package nettest

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
)

// testIPs is the number of addresses that testIP has returned.
var testIPs atomic.Int32

// testIP returns a loopback address that no other test of this process uses. Tests of other packages use none in
// 127.251.0.0/16.
func testIP() string {
	return fmt.Sprintf("127.251.%d.%d", 1+os.Getpid()%250, 1+testIPs.Add(1)%250)
}

// Guards against an address that is returned twice: a process that got the same address for two of its listeners
// ended with "address already in use". With ports of listeners on port 0 that are closed again, the first repeat
// is expected within 200 calls, as the kernel chooses among some 14,000.
func TestFreeAddrDoesNotRepeat(t *testing.T) {
	const calls = 600
	ip, seen := testIP(), map[string]int{}
	for i := range calls {
		addr := FreeAddr(t, ip)
		if first, ok := seen[addr]; ok {
			t.Fatalf("call %d returned %s, as call %d did", i, addr, first)
		}
		seen[addr] = i
	}
}

// Guards against an outgoing connection that takes a port which was returned before anything listens on it. The
// kernel chooses among some 14,000 source ports, so about one connection in 28 would take one of these 500.
func TestConnectionsTakeNoReturnedPort(t *testing.T) {
	const ports, dials = 500, 400
	ip, reserved := testIP(), map[string]bool{}
	for range ports {
		reserved[FreeAddr(t, ip)] = true
	}
	l, err := net.Listen("tcp", FreeAddr(t, ip))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	for i := range dials {
		c, err := dialer.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if source := c.LocalAddr().String(); reserved[source] {
			t.Fatalf("connection %d has the source %s, which was returned for a listener", i, source)
		}
	}
}

// Guards against an address that is returned again after the test that it was reserved for: a client may still keep
// an idle connection to it.
func TestFreeAddrDoesNotRepeatAcrossTests(t *testing.T) {
	const calls = 300
	ip, seen := testIP(), map[string]bool{}
	for _, name := range []string{"first", "second"} {
		t.Run(name, func(t *testing.T) {
			for range calls {
				addr := FreeAddr(t, ip)
				if seen[addr] {
					t.Fatalf("%s was returned before", addr)
				}
				seen[addr] = true
			}
		})
	}
}

// Guards against a reservation that keeps the test from listening, or that accepts connections by itself.
func TestListenOnFreeAddr(t *testing.T) {
	addr := FreeAddr(t, testIP())
	for range 2 {
		if _, err := net.Dial("tcp", addr); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("error %v of a connection while nothing listens", err)
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := net.Listen("tcp", addr); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("error %v of a second listener", err)
		}
		c.Close()
		l.Close()
	}
}
