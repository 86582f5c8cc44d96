package replay

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
	"poplargw.example/daemon/settings"
	"poplargw.example/lab/testbed"
)

const (
	// readyTimeout bounds each wait of a system start.
	readyTimeout = 30 * time.Second
	// pollInterval is the pause between two checks of such a wait.
	pollInterval = 50 * time.Millisecond
	// taskTimeLimit is the time limit of every declared kind.
	taskTimeLimit = 30 * time.Second
)

// Options configures a system for Start.
type Options struct {
	// Binaries is the directory of the executables. Dir holds logs, settings and certificates.
	Binaries, Dir string
	Header        Header
	Entries       int
	// Policy is the value of the setting scheduler.policy of the entries.
	Policy string
	// NoDelay starts the system without delay proxies, so that no latency is added.
	NoDelay bool
}

// System consists of processes: a stand-in store, the entries, and one agent and one sample
// server for each backend server of a trace header.
type System struct {
	o            Options
	net          *testbed.Network
	processes    []*testbed.Process
	entries      []*testbed.Process
	agents       []*testbed.Process
	proxies      []*delayProxy
	domains      map[string]string // failure domain of each entry and agent, by IP
	callerClient *http.Client
}

// Start starts a system, applies its configuration and waits until all entries and agents are
// ready and every entry knows all backend servers. If that fails, it stops what it has started.
func Start(o Options) (*System, error) {
	net, err := testbed.NewNetwork(o.Dir, o.Binaries)
	if err != nil {
		return nil, err
	}
	s := &System{o: o, net: net, domains: map[string]string{}, callerClient: &http.Client{Transport: unencryptedHTTP2()}}
	if err := s.start(); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

// unencryptedHTTP2 returns a transport that speaks only HTTP/2 without TLS.
func unencryptedHTTP2() *http.Transport {
	t := &http.Transport{Protocols: new(http.Protocols)}
	t.Protocols.SetUnencryptedHTTP2(true)
	return t
}

// start starts the processes and waits until the system is ready.
func (s *System) start() error {
	if err := s.startProcess(s.net.Store()); err != nil {
		return err
	}
	for i := range s.o.Entries {
		s.domains[s.net.IP(testbed.FirstEntryHost+i)] = s.o.Header.Domains[i%len(s.o.Header.Domains)]
	}
	for i, v := range s.o.Header.Servers {
		s.domains[s.net.IP(testbed.FirstAgentHost+i)] = v.Domain
	}
	for i := range s.o.Entries {
		p, err := s.startEntry(i)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, p)
	}
	for i := range s.o.Header.Servers {
		p, err := s.startAgent(i)
		if err != nil {
			return err
		}
		s.agents = append(s.agents, p)
		if err := s.startServer(i); err != nil {
			return err
		}
	}
	return s.waitUntilReady()
}

func (s *System) startProcess(p *testbed.Process) error {
	s.processes = append(s.processes, p)
	return p.Start()
}

// startEntry starts entry i with the delay proxies of its two ports.
func (s *System) startEntry(i int) (*testbed.Process, error) {
	host := testbed.FirstEntryHost + i
	if err := s.startProxy(host, testbed.PortCallers, s.callerDelay); err != nil {
		return nil, err
	}
	return s.startDaemon(testbed.Daemon{Role: settings.RoleEntry, Name: fmt.Sprintf("entry-%d", i+1), Host: host,
		Sections: fmt.Sprintf("[scheduler]\npolicy = %q\n", s.o.Policy)})
}

// startAgent starts the agent of backend server i.
func (s *System) startAgent(i int) (*testbed.Process, error) {
	return s.startDaemon(testbed.Daemon{Role: settings.RoleAgent, Name: fmt.Sprintf("agent-%d", i+1),
		Host: testbed.FirstAgentHost + i, Entries: s.o.Entries})
}

// startDaemon starts an entry or agent with the delay proxy of its port for peers.
func (s *System) startDaemon(d testbed.Daemon) (*testbed.Process, error) {
	d.Domain, d.Region = s.domains[s.net.IP(d.Host)], s.o.Header.Region
	d.PeersForwarded, d.CallersForwarded = !s.o.NoDelay, !s.o.NoDelay
	if err := s.startProxy(d.Host, testbed.PortPeers, s.peerDelay(d.Domain)); err != nil {
		return nil, err
	}
	p, err := s.net.Daemon(d)
	if err != nil {
		return nil, err
	}
	return p, s.startProcess(p)
}

// startProxy starts the delay proxy of a port, which forwards to the port after it. It does
// nothing if the system runs without delays.
func (s *System) startProxy(host, port int, delay func(string) time.Duration) error {
	if s.o.NoDelay {
		return nil
	}
	proxy, err := newDelayProxy(s.net.Addr(host, port), s.net.Addr(host, port+1), delay)
	if err == nil {
		s.proxies = append(s.proxies, proxy)
	}
	return err
}

// peerDelay returns a function that gives the one-way latency from a source IP to a process in
// the failure domain. Nothing is added to the loopback latency within a failure domain.
func (s *System) peerDelay(domain string) func(string) time.Duration {
	return func(source string) time.Duration {
		if s.domains[source] == domain {
			return 0
		}
		return time.Duration(s.o.Header.OneWayUS) * time.Microsecond
	}
}

// callerDelay returns the one-way latency between a caller and an entry.
func (s *System) callerDelay(string) time.Duration {
	return time.Duration(s.o.Header.ClientUS) * time.Microsecond
}

// serverName returns the name of backend server i, which is also the name of its start log.
func serverName(i int) string { return fmt.Sprintf("server-%d", i+1) }

// startServer starts backend server i beside its agent.
func (s *System) startServer(i int) error {
	v, name := s.o.Header.Servers[i], serverName(i)
	var kinds []string
	for _, k := range s.o.Header.Kinds {
		kinds = append(kinds, k.Name)
	}
	args := []string{"-connections", fmt.Sprint(max(serverConnections, v.Slots)), "-speed", fmt.Sprint(v.Speed)}
	if v.Fails {
		args = append(args, "-fail-all")
	}
	return s.startProcess(s.net.Server(name, testbed.FirstAgentHost+i, s.o.Header.Service, strings.Join(kinds, ","), v.Slots, args...))
}

// serverConnections is the number of connections that each backend server accepts in both
// deployments; a server with more slots accepts one for each slot.
const serverConnections = 64

// Stop kills all processes of the system and closes the delay proxies.
func (s *System) Stop() {
	for _, p := range s.processes {
		p.Kill()
	}
	for _, proxy := range s.proxies {
		proxy.close()
	}
}

func (s *System) dispatcherClient(entry int) poplargwv1connect.DispatcherClient {
	return poplargwv1connect.NewDispatcherClient(s.callerClient, fmt.Sprintf("http://%s:%d", s.entries[entry].IP, testbed.PortCallers))
}
