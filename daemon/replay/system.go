package replay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
	"poplargw.example/daemon/pki"
)

// Ports of every process on its own loopback address. The ports for peers and callers are
// those of delay lines, if there are any; the process itself then listens on the port after it.
const (
	portPeers     = 7000
	portCallers   = 7002
	portOperators = 7004
	portLocal     = 7005
	portServer    = 7006
	portStore     = 7010
)

// Numbers of the processes' addresses.
const (
	storeNumber = 1
	firstEntry  = 10
	firstAgent  = 50
	addresses   = 100
)

const (
	readyLimit = 30 * time.Second
	pollEvery  = 50 * time.Millisecond
	timeLimit  = 30 * time.Second
)

// Options describe a system.
type Options struct {
	// Binaries is the directory of the programs, Dir that of logs and settings.
	Binaries, Dir string
	Header        Header
	Entries       int
	// Policy is the setting scheduler.policy of the entries.
	Policy string
	// Direct leaves the latencies and the delay lines out.
	Direct bool
}

// System is a stand-in store, entries, and an agent and a sample server for each backend
// server of a header, all as processes.
type System struct {
	o       Options
	prefix  string
	all     []*process
	entries []*process
	agents  []*process
	lines   []*delayLine
	domains map[string]string // by IP
	calls   *http.Client
}

var systems atomic.Int32

// Start starts a system, applies its configuration and waits until it is ready.
func Start(o Options) (*System, error) {
	s := &System{o: o, domains: map[string]string{}, calls: &http.Client{Transport: unencryptedHTTP2()}}
	s.prefix = fmt.Sprintf("127.%d.%d.", 16+os.Getpid()%200, 1+int(systems.Add(1))%250)
	err := s.start()
	if err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func unencryptedHTTP2() *http.Transport {
	t := &http.Transport{Protocols: new(http.Protocols)}
	t.Protocols.SetUnencryptedHTTP2(true)
	return t
}

func (s *System) start() error {
	if err := s.certificates(); err != nil {
		return err
	}
	if _, err := s.run("store", storeNumber, "standinstore", "-listen", s.address(storeNumber, portStore)); err != nil {
		return err
	}
	for i := range s.o.Entries {
		s.domains[s.ip(firstEntry+i)] = s.o.Header.Domains[i%len(s.o.Header.Domains)]
	}
	for i, v := range s.o.Header.Servers {
		s.domains[s.ip(firstAgent+i)] = v.Domain
	}
	for i := range s.o.Entries {
		p, err := s.daemon("entry", i, firstEntry+i)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, p)
	}
	for i := range s.o.Header.Servers {
		p, err := s.daemon("agent", i, firstAgent+i)
		if err != nil {
			return err
		}
		s.agents = append(s.agents, p)
		if err := s.server(i); err != nil {
			return err
		}
	}
	return s.waitReady()
}

func (s *System) ip(n int) string { return fmt.Sprint(s.prefix, n) }

func (s *System) address(n, port int) string { return fmt.Sprintf("%s%d:%d", s.prefix, n, port) }

func (s *System) run(name string, n int, program string, args ...string) (*process, error) {
	p, err := startProcess(s.o.Dir, name, s.ip(n), filepath.Join(s.o.Binaries, program), args...)
	if err == nil {
		s.all = append(s.all, p)
	}
	return p, err
}

func (s *System) file(name string) string { return filepath.Join(s.o.Dir, name) }

func (s *System) certificates() error {
	var ips []net.IP
	for n := range addresses {
		ips = append(ips, net.ParseIP(s.ip(n)))
	}
	set, err := pki.New(time.Now(), ips)
	if err != nil {
		return err
	}
	for name, data := range map[string][]byte{pki.CAFile: set.CA, pki.CertFile: set.Cert, pki.KeyFile: set.Key} {
		if err := os.WriteFile(s.file(name), data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// daemon starts an entry or agent with its delay lines.
func (s *System) daemon(role string, i, n int) (*process, error) {
	name := fmt.Sprintf("%s-%d", role, i+1)
	if err := s.line(n, portPeers, s.peerDelay(s.domains[s.ip(n)])); err != nil {
		return nil, err
	}
	if role == "entry" {
		if err := s.line(n, portCallers, s.callerDelay); err != nil {
			return nil, err
		}
	}
	file := s.file(name + ".toml")
	if err := os.WriteFile(file, []byte(s.settings(role, name, n)), 0o600); err != nil {
		return nil, err
	}
	return s.run(name, n, "poplargwd", "run", file)
}

func (s *System) settings(role, name string, n int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "role = %q\n[node]\nid = %q\ndomain = %q\nregion = %q\n", role, name, s.domains[s.ip(n)], s.o.Header.Region)
	fmt.Fprintf(&b, "[tls]\ncert = %q\nkey = %q\nca = %q\n", s.file(pki.CertFile), s.file(pki.KeyFile), s.file(pki.CAFile))
	fmt.Fprintf(&b, "[listen]\npeers = %q\nadvertise_peers = %q\noperators = %q\n",
		s.address(n, s.behind(portPeers)), s.address(n, portPeers), s.address(n, portOperators))
	if role == "entry" {
		fmt.Fprintf(&b, "callers = %q\n[store]\nurl = \"http://%s\"\n[scheduler]\npolicy = %q\n",
			s.address(n, s.behind(portCallers)), s.address(storeNumber, portStore), s.o.Policy)
		return b.String()
	}
	var entries []string
	for e := range s.o.Entries {
		entries = append(entries, fmt.Sprintf("%q", s.address(firstEntry+e, portPeers)))
	}
	fmt.Fprintf(&b, "local = %q\n[transport]\nentries = [%s]\n", s.address(n, portLocal), strings.Join(entries, ", "))
	return b.String()
}

// behind is the port on which a process listens whose port for others is the given one.
func (s *System) behind(port int) int {
	if s.o.Direct {
		return port
	}
	return port + 1
}

// line starts the delay line of a port.
func (s *System) line(n, port int, delay func(string) time.Duration) error {
	if s.o.Direct {
		return nil
	}
	l, err := newDelayLine(s.address(n, port), s.address(n, s.behind(port)), delay)
	if err == nil {
		s.lines = append(s.lines, l)
	}
	return err
}

// peerDelay is the latency to a process in a failure domain; within one it is that of loopback.
func (s *System) peerDelay(domain string) func(string) time.Duration {
	return func(source string) time.Duration {
		if s.domains[source] == domain {
			return 0
		}
		return time.Duration(s.o.Header.OneWayUS) * time.Microsecond
	}
}

func (s *System) callerDelay(string) time.Duration {
	return time.Duration(s.o.Header.ClientUS) * time.Microsecond
}

func serverName(i int) string { return fmt.Sprintf("server-%d", i+1) }

func (s *System) server(i int) error {
	v, name := s.o.Header.Servers[i], serverName(i)
	var kinds []string
	for _, k := range s.o.Header.Kinds {
		kinds = append(kinds, k.Name)
	}
	args := []string{"-name", name, "-service", s.o.Header.Service, "-kinds", strings.Join(kinds, ","),
		"-slots", fmt.Sprint(v.Slots), "-connections", fmt.Sprint(max(connections, v.Slots)), "-speed", fmt.Sprint(v.Speed),
		"-listen", s.address(firstAgent+i, portServer), "-agent", s.address(firstAgent+i, portLocal),
		"-start-log", s.file(name + ".starts")}
	if v.Fails {
		args = append(args, "-fail-all")
	}
	_, err := s.run(name, firstAgent+i, "sampleserver", args...)
	return err
}

// connections is the number of connections of each backend server in both deployments.
const connections = 64

// Stop ends all processes of the system.
func (s *System) Stop() {
	for _, p := range s.all {
		p.kill()
	}
	for _, l := range s.lines {
		l.close()
	}
}

func (s *System) config() *poplargwv1.Config {
	service := &poplargwv1.Service{Name: s.o.Header.Service}
	for _, k := range s.o.Header.Kinds {
		service.Kinds = append(service.Kinds, &poplargwv1.Kind{Name: k.Name, Priority: uint32(k.Priority),
			Urgent: k.Urgent, Repeatable: true, Slots: 1, TimeLimit: durationpb.New(timeLimit)})
	}
	c := &poplargwv1.Config{Services: []*poplargwv1.Service{service}}
	for _, d := range s.o.Header.Domains {
		c.Domains = append(c.Domains, &poplargwv1.FailureDomain{Name: d, Region: s.o.Header.Region})
	}
	return c
}

func (s *System) operator(entry int) poplargwv1connect.OperatorClient {
	return poplargwv1connect.NewOperatorClient(http.DefaultClient, fmt.Sprintf("http://%s:%d", s.entries[entry].ip, portOperators))
}

func (s *System) dispatcher(entry int) poplargwv1connect.DispatcherClient {
	return poplargwv1connect.NewDispatcherClient(s.calls, fmt.Sprintf("http://%s:%d", s.entries[entry].ip, portCallers))
}

func (s *System) waitReady() error {
	if err := eventually("the first configuration is accepted", func() error { return s.apply(s.config(), 0) }); err != nil {
		return err
	}
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		if err := eventually(p.name+" is ready", func() error { return ready(p) }); err != nil {
			return err
		}
	}
	for i := range s.entries {
		if err := eventually("the entries know all backend servers", func() error { return s.knowsServers(i) }); err != nil {
			return err
		}
	}
	return nil
}

func eventually(what string, check func() error) error {
	err := check()
	for deadline := time.Now().Add(readyLimit); err != nil; err = check() {
		if time.Now().After(deadline) {
			return fmt.Errorf("not within %v: %s: %w", readyLimit, what, err)
		}
		time.Sleep(pollEvery)
	}
	return nil
}

func ready(p *process) error {
	res, err := http.Get(fmt.Sprintf("http://%s:%d/readyz", p.ip, portOperators))
	if err != nil {
		return err
	}
	res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.New(res.Status)
	}
	return nil
}

func (s *System) knowsServers(entry int) error {
	res, err := s.operator(entry).GetStatus(context.Background(), connect.NewRequest(&poplargwv1.GetStatusRequest{}))
	if err != nil {
		return err
	}
	n := 0
	for _, a := range res.Msg.GetAgents() {
		n += len(a.GetServers())
	}
	if n != len(s.o.Header.Servers) {
		return fmt.Errorf("%d backend servers", n)
	}
	return nil
}

func (s *System) apply(c *poplargwv1.Config, base uint64) error {
	res, err := s.operator(0).Apply(context.Background(), connect.NewRequest(&poplargwv1.ApplyRequest{
		BaseVersion: base, ChangeId: uuid.NewString(), Author: "replay", Config: c}))
	if err != nil {
		return err
	}
	if res.Msg.GetState() != poplargwv1.ApplyState_APPLY_STATE_ACCEPTED {
		return fmt.Errorf("%v: %s", res.Msg.GetState(), res.Msg.GetMessage())
	}
	return nil
}

// setDomain takes a failure domain out of service or returns it.
func (s *System) setDomain(name string, out bool) error {
	res, err := s.operator(0).GetConfig(context.Background(), connect.NewRequest(&poplargwv1.GetConfigRequest{}))
	if err != nil {
		return err
	}
	record := res.Msg.GetRecord()
	c := proto.Clone(record.GetConfig()).(*poplargwv1.Config)
	for _, d := range c.GetDomains() {
		if d.GetName() == name {
			d.Out = out
		}
	}
	return s.apply(c, record.GetVersion())
}
