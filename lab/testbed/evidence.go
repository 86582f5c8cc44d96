package testbed

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Evidence is what the operating system tells about a process, for the search of a stall.
type Evidence struct {
	// State is the letter of /proc/PID/stat: R runs or waits for a processor, S sleeps, D waits for a device, T is
	// stopped. It is "?" if the process has ended.
	State string
	// Ran is the processor time of all threads that live, Waited the time in which they could run and had no
	// processor.
	Ran, Waited time.Duration
}

// ReadEvidence returns the evidence about the process with the given ID, which may be "self".
func ReadEvidence(pid string) Evidence {
	e := Evidence{State: "?"}
	if data, err := os.ReadFile(filepath.Join("/proc", pid, "stat")); err == nil {
		// The state follows the command name, which is in parentheses and may contain spaces.
		text := string(data)
		e.State = strings.Fields(text[strings.LastIndexByte(text, ')')+1:])[0]
	}
	// schedstat of a process covers its first thread only.
	threads, _ := filepath.Glob(filepath.Join("/proc", pid, "task", "*", "schedstat"))
	for _, name := range threads {
		data, err := os.ReadFile(name)
		if fields := strings.Fields(string(data)); err == nil && len(fields) >= 2 {
			ran, _ := strconv.ParseInt(fields[0], 10, 64)
			waited, _ := strconv.ParseInt(fields[1], 10, 64)
			e.Ran += time.Duration(ran)
			e.Waited += time.Duration(waited)
		}
	}
	return e
}

// Evidence returns the evidence about the process, which must have been started.
func (p *Process) Evidence() Evidence { return ReadEvidence(filepath.Base(p.procFile(""))) }

// Sockets describes the TCP sockets of the loopback address of the process that have bytes in a queue, a
// retransmission or a full backlog of connections, one a line, and the number of the others. Forwarders in front of
// the process are included.
func (p *Process) Sockets() string {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return err.Error()
	}
	return describeSockets(string(data), p.IP)
}

// Fields of a line of /proc/net/tcp.
const (
	socketLocal      = 1
	socketRemote     = 2
	socketState      = 3
	socketQueues     = 4 // sent and not acknowledged : received and not read, for a listener: connections not accepted
	socketRetransmit = 6
	socketFields     = 10
)

func describeSockets(table, ip string) string {
	var b strings.Builder
	idle := 0
	for line := range strings.Lines(table) {
		f := strings.Fields(line)
		if len(f) < socketFields || !strings.HasPrefix(socketAddr(f[socketLocal]), ip+":") {
			continue
		}
		if f[socketQueues] == "00000000:00000000" && f[socketRetransmit] == "00000000" {
			idle++
			continue
		}
		fmt.Fprintf(&b, "%s to %s state %s queues %s retransmits %s\n", socketAddr(f[socketLocal]), socketAddr(f[socketRemote]),
			f[socketState], f[socketQueues], f[socketRetransmit])
	}
	fmt.Fprintf(&b, "%d sockets with empty queues\n", idle)
	return b.String()
}

// socketAddr returns the IP:port of an address in /proc/net/tcp, or "" if it cannot be read. The four bytes of the IP
// are in the order of a little-endian machine.
func socketAddr(text string) string {
	ip, port, _ := strings.Cut(text, ":")
	n, err := strconv.ParseUint(ip, 16, 32)
	if err != nil {
		return ""
	}
	p, err := strconv.ParseUint(port, 16, 16)
	if err != nil {
		return ""
	}
	addr := netip.AddrFrom4([4]byte{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24)})
	return netip.AddrPortFrom(addr, uint16(p)).String()
}
