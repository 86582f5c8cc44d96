package prove

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
	"poplargw.example/daemon/pki"
	"poplargw.example/daemon/sample"
	"poplargw.example/store"
)

// Ports of every process on its own loopback address. The peers' port is a
// forwarder; the process itself listens on the port after it.
const (
	portPeers     = 7000
	portPeersReal = 7001
	portCallers   = 7002
	portOperators = 7003
	portLocal     = 7004
	portServer    = 7005
	portStore     = 7010
)

const (
	readyLimit = 20 * time.Second
	pollEvery  = 20 * time.Millisecond
	callLimit  = 30 * time.Second
)

// layout says what a system consists of. Agent i is in failure domain "d<i+1>"
// with one backend server.
type layout struct {
	entries int
	agents  int
	slots   int
	// serverArgs holds further arguments of backend servers, by index.
	serverArgs map[int][]string
	// limits replaces lines of the section [limits] in all settings files.
	limits string
}

// system is a running set of processes: a stand-in store, entries, agents and
// backend servers, with a forwarder before each peers' port and between each
// entry and the store.
type system struct {
	t       *testing.T
	dir     string
	prefix  string
	layout  layout
	store   *process
	entries []*process
	agents  []*process
	servers []*process
	peers   map[string]*forwarder
	stores  map[string]*forwarder
}

// logLines is how many lines of each log a failed test shows.
const logLines = 40

var systems atomic.Int32

// newSystem starts the processes, applies the configuration and waits until all are ready.
func newSystem(t *testing.T, l layout) *system {
	t.Helper()
	s := &system{t: t, dir: t.TempDir(), layout: l, peers: map[string]*forwarder{}, stores: map[string]*forwarder{}}
	// Each test process and each system has addresses of its own, so that tests
	// of several checkouts can run at the same time.
	s.prefix = fmt.Sprintf("127.%d.%d.", 16+os.Getpid()%200, 1+int(systems.Add(1))%250)
	s.certificates()
	s.store = newProcess(t, s.dir, "store", s.ip(1), "standinstore", "-listen", s.addr(1, portStore))
	s.store.start()
	for i := range l.entries {
		s.entries = append(s.entries, s.daemon("entry", i, 10+i))
	}
	for i := range l.agents {
		s.agents = append(s.agents, s.daemon("agent", i, 50+i))
		s.servers = append(s.servers, s.server(i))
	}
	t.Cleanup(s.stop)
	for _, group := range [][]*process{s.entries, s.agents, s.servers} {
		for _, p := range group {
			p.start()
		}
	}
	s.waitReady()
	return s
}

func (s *system) ip(n int) string { return fmt.Sprint(s.prefix, n) }

func (s *system) addr(n, port int) string { return fmt.Sprintf("%s%d:%d", s.prefix, n, port) }

func (s *system) certificates() {
	s.t.Helper()
	ips := []net.IP{}
	for n := range 100 {
		ips = append(ips, net.ParseIP(s.ip(n)))
	}
	set, err := pki.New(time.Now(), ips)
	if err != nil {
		s.t.Fatal(err)
	}
	for name, data := range map[string][]byte{"ca.pem": set.CA, "cert.pem": set.Cert, "key.pem": set.Key} {
		if err := os.WriteFile(filepath.Join(s.dir, name), data, 0o600); err != nil {
			s.t.Fatal(err)
		}
	}
}

// daemon writes the settings of an entry or agent and its forwarders.
func (s *system) daemon(role string, i, n int) *process {
	s.t.Helper()
	name := fmt.Sprintf("%s-%d", role, i+1)
	var b strings.Builder
	fmt.Fprintf(&b, "role = %q\n[node]\nid = %q\ndomain = \"d%d\"\nregion = \"r1\"\n", role, name, i+1)
	fmt.Fprintf(&b, "[listen]\npeers = %q\nadvertise_peers = %q\noperators = %q\n",
		s.addr(n, portPeersReal), s.addr(n, portPeers), s.addr(n, portOperators))
	if role == "entry" {
		fmt.Fprintf(&b, "callers = %q\n[store]\nurl = \"http://%s\"\n", s.addr(n, portCallers), s.addr(n, portStore))
		s.stores[name] = s.forward(s.addr(n, portStore), s.addr(1, portStore))
	} else {
		entries := []string{}
		for e := range s.layout.entries {
			entries = append(entries, fmt.Sprintf("%q", s.addr(10+e, portPeers)))
		}
		fmt.Fprintf(&b, "local = %q\n[transport]\nentries = [%s]\n", s.addr(n, portLocal), strings.Join(entries, ", "))
	}
	fmt.Fprintf(&b, "[tls]\ncert = %q\nkey = %q\nca = %q\n[limits]\n%s\n",
		filepath.Join(s.dir, "cert.pem"), filepath.Join(s.dir, "key.pem"), filepath.Join(s.dir, "ca.pem"), s.layout.limits)
	file := filepath.Join(s.dir, name+".toml")
	if err := os.WriteFile(file, []byte(b.String()), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.peers[name] = s.forward(s.addr(n, portPeers), s.addr(n, portPeersReal))
	return newProcess(s.t, s.dir, name, s.ip(n), "poplargwd", "run", file)
}

func (s *system) server(i int) *process {
	name := fmt.Sprintf("server-%d", i+1)
	args := []string{"sampleserver", "-name", name, "-service", "moulds", "-kinds", "quick,long",
		"-slots", fmt.Sprint(s.layout.slots), "-listen", s.addr(50+i, portServer), "-agent", s.addr(50+i, portLocal),
		"-start-log", filepath.Join(s.dir, name+".starts")}
	return newProcess(s.t, s.dir, name, s.ip(50+i), append(args, s.layout.serverArgs[i]...)...)
}

func (s *system) forward(addr, target string) *forwarder {
	s.t.Helper()
	f, err := newForwarder(addr, target)
	if err != nil {
		s.t.Fatal(err)
	}
	return f
}

// stop kills what still runs; the logs are shown when the test failed.
func (s *system) stop() {
	for _, group := range [][]*process{s.servers, s.agents, s.entries, {s.store}} {
		for _, p := range group {
			if p.running() {
				p.kill()
			}
			if s.t.Failed() {
				s.t.Logf("--- log of %s\n%s", p.name, p.tail(logLines))
			}
		}
	}
	for _, links := range []map[string]*forwarder{s.peers, s.stores} {
		for _, f := range links {
			f.close()
		}
	}
}

// config is the configuration of every test.
func (s *system) config() *poplargwv1.Config {
	c := &poplargwv1.Config{Services: []*poplargwv1.Service{{Name: "moulds", Kinds: []*poplargwv1.Kind{
		{Name: "quick", Priority: 5, Repeatable: true, Slots: 1, TimeLimit: durationpb.New(10 * time.Second)},
		{Name: "long", Priority: 3, Slots: 1, TimeLimit: durationpb.New(20 * time.Second)},
	}}}}
	for i := range s.layout.agents {
		c.Domains = append(c.Domains, &poplargwv1.FailureDomain{Name: fmt.Sprintf("d%d", i+1), Region: "r1"})
	}
	return c
}

func (s *system) waitReady() {
	s.t.Helper()
	for _, e := range s.entries {
		s.eventually(readyLimit, e.name+" serves operators", func() bool { return s.get(e, "/healthz") == http.StatusOK })
	}
	s.eventually(readyLimit, "the first configuration is accepted", func() bool {
		res, err := s.apply(0, s.config(), 0)
		return err == nil && res.GetState() == poplargwv1.ApplyState_APPLY_STATE_ACCEPTED
	})
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		s.eventually(readyLimit, p.name+" is ready", func() bool { return s.get(p, "/readyz") == http.StatusOK })
	}
	for i := range s.entries {
		s.eventually(readyLimit, "every entry knows all backend servers", func() bool { return s.knownServers(i) == len(s.servers) })
	}
}

func (s *system) knownServers(entry int) int {
	res, err := s.operator(entry).GetStatus(s.context(), connect.NewRequest(&poplargwv1.GetStatusRequest{}))
	if err != nil {
		return 0
	}
	n := 0
	for _, a := range res.Msg.GetAgents() {
		n += len(a.GetServers())
	}
	return n
}

func (s *system) get(p *process, path string) int {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get(fmt.Sprintf("http://%s:%d%s", p.ip, portOperators, path))
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}

// eventually waits until the condition holds.
func (s *system) eventually(limit time.Duration, what string, holds func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(pollEvery) {
		if time.Now().After(deadline) {
			s.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

func (s *system) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	s.t.Cleanup(cancel)
	return ctx
}

func (s *system) operator(entry int) poplargwv1connect.OperatorClient {
	return poplargwv1connect.NewOperatorClient(http.DefaultClient, fmt.Sprintf("http://%s:%d", s.entries[entry].ip, portOperators))
}

func (s *system) dispatcher(entry int) poplargwv1connect.DispatcherClient {
	return poplargwv1connect.NewDispatcherClient(http.DefaultClient, fmt.Sprintf("http://%s:%d", s.entries[entry].ip, portCallers))
}

// apply replaces the configuration at an entry.
func (s *system) apply(entry int, c *poplargwv1.Config, base uint64) (*poplargwv1.ApplyResponse, error) {
	res, err := s.operator(entry).Apply(s.context(), connect.NewRequest(&poplargwv1.ApplyRequest{
		BaseVersion: base, ChangeId: uuid.NewString(), Author: "prove", Config: c}))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// current returns the configuration in force at an entry.
func (s *system) current(entry int) *poplargwv1.ConfigRecord {
	s.t.Helper()
	res, err := s.operator(entry).GetConfig(s.context(), connect.NewRequest(&poplargwv1.GetConfigRequest{}))
	if err != nil {
		s.t.Fatal(err)
	}
	return res.Msg.GetRecord()
}

// setDomain takes a failure domain out or in through an entry and returns the time of
// the request. Bounds count from there: the reply comes up to 3 s after the acceptance,
// since it waits for the processes that have not confirmed.
func (s *system) setDomain(entry int, name string, out bool) time.Time {
	s.t.Helper()
	record := s.current(entry)
	begin := time.Now()
	c := proto.Clone(record.GetConfig()).(*poplargwv1.Config)
	for _, d := range c.GetDomains() {
		if d.GetName() == name {
			d.Out = out
		}
	}
	res, err := s.apply(entry, c, record.GetVersion())
	if err != nil || res.GetState() != poplargwv1.ApplyState_APPLY_STATE_ACCEPTED {
		s.t.Fatalf("set %s out=%v: %v %v", name, out, res, err)
	}
	return begin
}

// storeFaults replaces the faults of the store.
func (s *system) storeFaults(f store.Faults) {
	s.t.Helper()
	body, err := json.Marshal(f)
	if err != nil {
		s.t.Fatal(err)
	}
	s.storeAdmin(http.MethodPut, "/admin/faults", body)
}

func (s *system) storeAdmin(method, path string, body []byte) {
	s.t.Helper()
	req, err := http.NewRequest(method, "http://"+s.addr(1, portStore)+path, bytes.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode >= http.StatusBadRequest {
		s.t.Fatalf("%s %s: %s", method, path, res.Status)
	}
}

// starts returns every start that the backend servers recorded.
func (s *system) starts() []sample.Start {
	s.t.Helper()
	var all []sample.Start
	for _, p := range s.servers {
		list, err := sample.ReadStarts(filepath.Join(s.dir, p.name+".starts"))
		if err != nil && !os.IsNotExist(err) {
			s.t.Fatal(err)
		}
		all = append(all, list...)
	}
	return all
}
