package testbed

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"poplargw.example/daemon/pki"
	"poplargw.example/daemon/settings"
)

// Ports that each process uses on its own loopback address. A forwarder can listen on the ports for
// peers and callers; the process itself then listens on the next higher port.
const (
	PortPeers     = 7000
	PortCallers   = 7002
	PortOperators = 7004
	PortLocal     = 7005
	PortServer    = 7006
	PortStore     = 7010
)

// Host numbers, which are the last bytes of the addresses: that of the store, those of the first
// entry and the first agent, after which the others follow, and the number of hosts.
const (
	StoreHost      = 1
	FirstEntryHost = 10
	FirstAgentHost = 50
	hostCount      = 100
)

// Network is the range of loopback addresses and the directory that one system uses.
type Network struct {
	// Dir holds certificates, settings and logs.
	Dir string
	// Binaries is the directory of the executables.
	Binaries string
	// prefix is the first three bytes of the addresses, with the dot after them.
	prefix string
}

// prefixCount is the number of ranges of addresses that this process has used.
var prefixCount atomic.Int32

// LoopbackPrefix returns the first three bytes, with the dot after them, of a range of loopback addresses that no
// other test process uses until this one ends, so that several test processes, each with several ranges, can run at
// the same time. The ranges depend on the ID of this process and the number of ranges that it has used; two processes
// whose IDs differ by a multiple of 200 would use the same ones.
func LoopbackPrefix() string {
	prefix := ""
	for range prefixesPerProcess {
		prefix = fmt.Sprintf("127.%d.%d.", 16+os.Getpid()%200, 1+int(prefixCount.Add(1))%prefixesPerProcess)
		if claimRange(prefix) {
			break
		}
	}
	return prefix
}

const (
	// prefixesPerProcess is the number of ranges from which a process chooses.
	prefixesPerProcess = 250
	// claimHost and claimPort are the address in each range whose listener shows that the range is in use.
	claimHost, claimPort = 254, 7100
)

// claims holds the listeners of the ranges of this process: one without a reference would be closed.
var claims struct {
	mu        sync.Mutex
	listeners []net.Listener
}

// claimRange reports whether the range was free, and claims it until the process ends.
func claimRange(prefix string) bool {
	l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, claimHost, claimPort))
	if err != nil {
		return false
	}
	claims.mu.Lock()
	defer claims.mu.Unlock()
	claims.listeners = append(claims.listeners, l)
	return true
}

// NewNetwork chooses a range of addresses and writes certificates for them into the directory.
func NewNetwork(dir, binaries string) (*Network, error) {
	n := &Network{Dir: dir, Binaries: binaries, prefix: LoopbackPrefix()}
	var ips []net.IP
	for h := range hostCount {
		ips = append(ips, net.ParseIP(n.IP(h)))
	}
	certs, err := pki.New(time.Now(), ips)
	if err != nil {
		return nil, err
	}
	return n, certs.Write(dir)
}

// IP returns the IP address of a host number from 0 to 99.
func (n *Network) IP(host int) string { return fmt.Sprint(n.prefix, host) }

// Addr returns the IP:port of a port of a host.
func (n *Network) Addr(host, port int) string { return fmt.Sprintf("%s%d:%d", n.prefix, host, port) }

// File returns the path of a file in the directory of the network.
func (n *Network) File(name string) string { return filepath.Join(n.Dir, name) }

// Process returns a process that runs a program of Binaries on a host and logs to the file NAME.log.
// It is not started yet.
func (n *Network) Process(name string, host int, program string, args ...string) *Process {
	return &Process{Name: name, IP: n.IP(host), Log: n.File(name + ".log"),
		Program: filepath.Join(n.Binaries, program), Args: args}
}

// Store returns the process of the stand-in store, not started yet.
func (n *Network) Store() *Process {
	return n.Process("store", StoreHost, "standinstore", "-listen", n.Addr(StoreHost, PortStore))
}

// Daemon describes an entry or agent process.
type Daemon struct {
	// Role is that of an entry or of an agent. Name is the node ID and the base name of its files.
	Role settings.Role
	Name string
	// Host is the host number.
	Host   int
	Domain string
	Region string
	// PeersForwarded and CallersForwarded say that a forwarder listens on the port for peers or
	// callers, so that the daemon listens on the port after it.
	PeersForwarded, CallersForwarded bool
	// StoreURL is the URL of the store for an entry; empty means the stand-in store of the network.
	StoreURL string
	// Entries is the number of entries in the settings of an agent, counted from FirstEntryHost.
	Entries int
	// Transport is the value of the setting transport.kind; empty means the default.
	Transport string
	// Sections is appended to the settings file: further sections with their headers.
	Sections string
}

// Daemon writes the settings file of an entry or agent and returns its process, not started yet. It
// returns an error if the file cannot be written.
func (n *Network) Daemon(d Daemon) (*Process, error) {
	file := n.File(d.Name + ".toml")
	if err := os.WriteFile(file, []byte(n.settingsText(d)), 0o600); err != nil {
		return nil, err
	}
	return n.Process(d.Name, d.Host, "poplargwd", "run", file), nil
}

// settingsText returns the settings of a daemon as TOML.
func (n *Network) settingsText(d Daemon) string {
	var b strings.Builder
	fmt.Fprintf(&b, "role = %q\n[node]\nid = %q\ndomain = %q\nregion = %q\n", d.Role, d.Name, d.Domain, d.Region)
	fmt.Fprintf(&b, "[tls]\ncert = %q\nkey = %q\nca = %q\n", n.File(pki.CertFile), n.File(pki.KeyFile), n.File(pki.CAFile))
	fmt.Fprintf(&b, "[listen]\npeers = %q\nadvertise_peers = %q\noperators = %q\n",
		n.Addr(d.Host, PortPeers+portOffset(d.PeersForwarded)), n.Addr(d.Host, PortPeers), n.Addr(d.Host, PortOperators))
	transport := ""
	if d.Transport != "" {
		transport = fmt.Sprintf("kind = %q\n", d.Transport)
	}
	if d.Role == settings.RoleEntry {
		store := d.StoreURL
		if store == "" {
			store = "http://" + n.Addr(StoreHost, PortStore)
		}
		fmt.Fprintf(&b, "callers = %q\n[store]\nurl = %q\n[transport]\n%s",
			n.Addr(d.Host, PortCallers+portOffset(d.CallersForwarded)), store, transport)
	} else {
		fmt.Fprintf(&b, "local = %q\n[transport]\n%sentries = [%s]\n", n.Addr(d.Host, PortLocal), transport, n.entryList(d.Entries))
	}
	return b.String() + d.Sections
}

// entryList returns the addresses of the first entries as the elements of a TOML array.
func (n *Network) entryList(entries int) string {
	var list []string
	for e := range entries {
		list = append(list, fmt.Sprintf("%q", n.Addr(FirstEntryHost+e, PortPeers)))
	}
	return strings.Join(list, ", ")
}

// portOffset returns what is added to a port on which a forwarder listens to get that of the daemon.
func portOffset(forwarded bool) int {
	if forwarded {
		return 1
	}
	return 0
}

// Server returns the process of a sample backend server on the host of its agent, not started yet.
// The kinds are separated by commas. The server appends each start to the file NAME.starts.
func (n *Network) Server(name string, host int, service, kinds string, slots int, args ...string) *Process {
	all := []string{"-name", name, "-service", service, "-kinds", kinds, "-slots", fmt.Sprint(slots),
		"-listen", n.Addr(host, PortServer), "-agent", n.Addr(host, PortLocal), "-start-log", n.File(name + ".starts")}
	return n.Process(name, host, "sampleserver", append(all, args...)...)
}
