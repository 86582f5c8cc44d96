package testbed

import (
	"fmt"
	"net"
	"testing"
)

// Guards against two test processes with the same addresses: a soak failed at its start because another one, whose
// process ID had the same remainder, listened on the ports of its entries.
func TestLoopbackPrefixSkipsRangesInUse(t *testing.T) {
	first := LoopbackPrefix()
	if claimRange(first) {
		t.Errorf("the range %s can be claimed twice", first)
	}
	var a, b, c, d int
	if n, err := fmt.Sscanf(first, "%d.%d.%d.", &a, &b, &c); n != 3 {
		t.Fatal(err)
	}
	d = c%prefixesPerProcess + 1
	other, err := net.Listen("tcp", fmt.Sprintf("%d.%d.%d.%d:%d", a, b, d, claimHost, claimPort))
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if next := LoopbackPrefix(); next == first || next == fmt.Sprintf("%d.%d.%d.", a, b, d) {
		t.Errorf("the range %s is in use", next)
	}
}
