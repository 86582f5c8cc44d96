// Package nettest provides network addresses for tests.
package nettest

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"

	"golang.org/x/sys/unix"
)

// returned holds the addresses that FreeAddr has returned in this process.
var returned sync.Map

// FreeAddr returns an IP:port at an IPv4 address on which the test, or a process that it starts, can listen with
// TCP, also repeatedly. It returns an address only once in a process. Until the test ends, no call in another
// process returns the address either, and no outgoing connection gets the port as its source port.
func FreeAddr(t testing.TB, ip string) string {
	t.Helper()
	for {
		addr, fd, err := reserve(ip)
		if err != nil {
			t.Fatalf("no free port at %s: %v", ip, err)
		}
		// An address that an earlier test got remains reserved meanwhile, so the next round gets another one.
		t.Cleanup(func() {
			if err := unix.Close(fd); err != nil {
				t.Errorf("cannot release %s: %v", addr, err)
			}
		})
		if _, repeated := returned.LoadOrStore(addr, true); !repeated {
			return addr
		}
	}
}

// reserve binds a socket to a port that the kernel chooses, without listening on it, and returns the IP:port and
// the socket. Until that is closed, the kernel chooses the port for no other socket. Listening on it remains
// possible, because this socket and Go's listeners set SO_REUSEADDR and only one of them listens.
func reserve(ip string) (addr string, fd int, err error) {
	host, err := netip.ParseAddr(ip)
	if err != nil {
		return "", 0, err
	}
	if !host.Is4() {
		return "", 0, fmt.Errorf("%s is not an IPv4 address", ip)
	}
	// A started process that inherited the socket would keep the port reserved after this process has ended.
	fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", 0, fmt.Errorf("socket: %w", err)
	}
	port, err := bindAnyPort(fd, host.As4())
	if err != nil {
		return "", 0, errors.Join(err, unix.Close(fd))
	}
	return netip.AddrPortFrom(host, port).String(), fd, nil
}

// bindAnyPort binds a socket to a free port of the IP and returns the port.
func bindAnyPort(fd int, ip [4]byte) (uint16, error) {
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return 0, fmt.Errorf("SO_REUSEADDR: %w", err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: ip}); err != nil {
		return 0, fmt.Errorf("bind: %w", err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		return 0, fmt.Errorf("getsockname: %w", err)
	}
	return uint16(bound.(*unix.SockaddrInet4).Port), nil
}
