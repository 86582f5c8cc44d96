// Package prove tests deployments of real processes on loopback addresses under injected faults. The tests
// check that no task starts twice, that "not run" is reported only for submissions without a start, that
// answers are complete and belong to their jobs, and that configuration changes take effect in time.
package prove

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
	"poplargw.example/daemon/sample"
	"poplargw.example/daemon/settings"
	"poplargw.example/lab/testbed"
	"poplargw.example/store"
)

const (
	// readyTimeout bounds each wait for a process or for an expected state of the system.
	readyTimeout = 20 * time.Second
	// pollInterval is the time between two checks of an awaited condition.
	pollInterval = 20 * time.Millisecond
	// callTimeout bounds one call to an entry.
	callTimeout = 30 * time.Second
)

// layout holds the number of entries and agents of a system and of slots per backend server. Agent i
// is in failure domain "d<i+1>" and has one backend server.
type layout struct {
	entries int
	agents  int
	slots   int
	// serverArgs holds additional command-line arguments of backend servers, by index.
	serverArgs map[int][]string
}

// system is a running deployment: a stand-in store, entries, agents and backend servers. A forwarder
// in front of each peer port and one between each entry and the store inject network faults; both
// maps are keyed by the name of the process.
type system struct {
	t               *testing.T
	layout          layout
	net             *testbed.Network
	store           *process
	entries         []*process
	agents          []*process
	servers         []*process
	peerForwarders  map[string]*testbed.Forwarder
	storeForwarders map[string]*testbed.Forwarder
	stalls          *stallWatch
}

// maxLogLines is the number of lines at the end of each process log that a failed test prints.
const maxLogLines = 40

// newSystem starts the processes, applies the initial configuration and waits until all are ready.
// The processes are killed when the test ends.
func newSystem(t *testing.T, l layout) *system {
	t.Helper()
	net, err := testbed.NewNetwork(t.TempDir(), binDir)
	if err != nil {
		t.Fatal(err)
	}
	s := &system{t: t, net: net, layout: l, peerForwarders: map[string]*testbed.Forwarder{}, storeForwarders: map[string]*testbed.Forwarder{}}
	s.store = s.newProcess(net.Store())
	s.store.start()
	for i := range l.entries {
		s.entries = append(s.entries, s.newEntry(i))
	}
	for i := range l.agents {
		s.agents = append(s.agents, s.newAgent(i))
		s.servers = append(s.servers, s.newServer(i))
	}
	s.stalls = newStallWatch(s)
	t.Cleanup(s.stop)
	for _, group := range [][]*process{s.entries, s.agents, s.servers} {
		for _, p := range group {
			p.start()
		}
	}
	s.waitReady()
	return s
}

func (s *system) newProcess(p *testbed.Process) *process { return &process{Process: p, t: s.t} }

// newEntry returns an entry, not yet started, with forwarders in front of its peer port and of the store.
func (s *system) newEntry(i int) *process {
	host, name := testbed.FirstEntryHost+i, fmt.Sprintf("entry-%d", i+1)
	store := s.net.Addr(host, testbed.PortStore)
	s.storeForwarders[name] = s.newForwarder(store, s.net.Addr(testbed.StoreHost, testbed.PortStore))
	return s.newDaemon(testbed.Daemon{Role: settings.RoleEntry, Name: name, Host: host, StoreURL: "http://" + store}, i)
}

// newAgent returns an agent that is not yet started.
func (s *system) newAgent(i int) *process {
	return s.newDaemon(testbed.Daemon{Role: settings.RoleAgent, Name: fmt.Sprintf("agent-%d", i+1),
		Host: testbed.FirstAgentHost + i, Entries: s.layout.entries}, i)
}

// newDaemon returns an entry or agent, not yet started, with a forwarder in front of its peer port.
func (s *system) newDaemon(d testbed.Daemon, i int) *process {
	s.t.Helper()
	d.Domain, d.Region, d.PeersForwarded = fmt.Sprintf("d%d", i+1), "r1", true
	s.peerForwarders[d.Name] = s.newForwarder(s.net.Addr(d.Host, testbed.PortPeers), s.net.Addr(d.Host, testbed.PortPeers+1))
	p, err := s.net.Daemon(d)
	if err != nil {
		s.t.Fatal(err)
	}
	return s.newProcess(p)
}

// newServer returns the backend server of agent i, not yet started.
func (s *system) newServer(i int) *process {
	return s.newProcess(s.net.Server(fmt.Sprintf("server-%d", i+1), testbed.FirstAgentHost+i, "moulds", "quick,long",
		s.layout.slots, s.layout.serverArgs[i]...))
}

func (s *system) newForwarder(addr, target string) *testbed.Forwarder {
	s.t.Helper()
	f, err := testbed.NewForwarder(addr, target)
	if err != nil {
		s.t.Fatal(err)
	}
	return f
}

// stop kills the running processes and closes the forwarders. If the test failed, it prints the end of
// each process log.
func (s *system) stop() {
	s.stalls.close()
	for _, group := range [][]*process{s.servers, s.agents, s.entries, {s.store}} {
		for _, p := range group {
			if p.Running() {
				p.kill()
			}
			if s.t.Failed() {
				s.t.Logf("--- log of %s\n%s", p.Name, p.Tail(maxLogLines))
			}
		}
	}
	for _, forwarders := range []map[string]*testbed.Forwarder{s.peerForwarders, s.storeForwarders} {
		for _, f := range forwarders {
			f.Close()
		}
	}
}

// initialConfig returns the configuration with which every system starts.
func (s *system) initialConfig() *poplargwv1.Config {
	c := &poplargwv1.Config{Services: []*poplargwv1.Service{{Name: "moulds", Kinds: []*poplargwv1.Kind{
		{Name: "quick", Priority: 5, Repeatable: true, Slots: 1, TimeLimit: durationpb.New(10 * time.Second)},
		{Name: "long", Priority: 3, Slots: 1, TimeLimit: durationpb.New(20 * time.Second)},
	}}}}
	for i := range s.layout.agents {
		c.Domains = append(c.Domains, &poplargwv1.FailureDomain{Name: fmt.Sprintf("d%d", i+1), Region: "r1"})
	}
	return c
}

// waitReady applies the initial configuration and waits until every process is ready and every entry
// knows all backend servers.
func (s *system) waitReady() {
	s.t.Helper()
	for _, e := range s.entries {
		s.eventually(readyTimeout, e.Name+" serves operators", func() bool { return e.GetStatus("/healthz") == http.StatusOK })
	}
	s.eventually(readyTimeout, "the first configuration is accepted", func() bool {
		res, err := s.apply(0, s.initialConfig(), 0)
		return err == nil && res.GetState() == poplargwv1.ApplyState_APPLY_STATE_ACCEPTED
	})
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		s.eventually(readyTimeout, p.Name+" is ready", func() bool { return p.GetStatus("/readyz") == http.StatusOK })
	}
	for i := range s.entries {
		s.eventually(readyTimeout, "every entry knows all backend servers", func() bool { return s.knownServers(i) == len(s.servers) })
	}
}

// knownServers returns the number of backend servers that an entry knows, 0 if it does not answer.
func (s *system) knownServers(entry int) int {
	res, err := s.operator(entry).GetStatus(s.callContext(), connect.NewRequest(&poplargwv1.GetStatusRequest{}))
	if err != nil {
		return 0
	}
	n := 0
	for _, a := range res.Msg.GetAgents() {
		n += len(a.GetServers())
	}
	return n
}

// eventually polls the condition until it holds, and ends the test if it does not within the limit.
func (s *system) eventually(limit time.Duration, what string, holds func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out after %v waiting until: %s", limit, what)
		}
	}
}

// callContext returns a context with a timeout of callTimeout that is released when the test ends.
func (s *system) callContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	s.t.Cleanup(cancel)
	return ctx
}

func (s *system) operator(entry int) poplargwv1connect.OperatorClient {
	return poplargwv1connect.NewOperatorClient(http.DefaultClient, fmt.Sprintf("http://%s:%d", s.entries[entry].IP, testbed.PortOperators))
}

func (s *system) dispatcher(entry int) poplargwv1connect.DispatcherClient {
	return poplargwv1connect.NewDispatcherClient(http.DefaultClient, fmt.Sprintf("http://%s:%d", s.entries[entry].IP, testbed.PortCallers))
}

// apply sends a configuration that replaces version base to an entry.
func (s *system) apply(entry int, c *poplargwv1.Config, base uint64) (*poplargwv1.ApplyResponse, error) {
	res, err := s.operator(entry).Apply(s.callContext(), connect.NewRequest(&poplargwv1.ApplyRequest{
		BaseVersion: base, ChangeId: uuid.NewString(), Author: "prove", Config: c}))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// mustApply sends the edited configuration of a record to entry 0, with the record's version as the
// base, and ends the test if it is not accepted.
func (s *system) mustApply(record *poplargwv1.ConfigRecord) {
	s.t.Helper()
	res, err := s.apply(0, record.GetConfig(), record.GetVersion())
	if err != nil || res.GetState() != poplargwv1.ApplyState_APPLY_STATE_ACCEPTED {
		s.t.Fatalf("apply: %v %v", res, err)
	}
}

// currentConfig returns the configuration record that an entry applies.
func (s *system) currentConfig(entry int) *poplargwv1.ConfigRecord {
	s.t.Helper()
	res, err := s.operator(entry).GetConfig(s.callContext(), connect.NewRequest(&poplargwv1.GetConfigRequest{}))
	if err != nil {
		s.t.Fatal(err)
	}
	return res.Msg.GetRecord()
}

// setDomainOut takes a failure domain out, or puts it back in, through an entry and returns the time
// of the request. Time limits count from the request: the reply comes up to 3 s after the acceptance,
// because the entry waits for the processes that have not confirmed the change.
func (s *system) setDomainOut(entry int, name string, out bool) time.Time {
	s.t.Helper()
	record := s.currentConfig(entry)
	begin := time.Now()
	c := proto.Clone(record.GetConfig()).(*poplargwv1.Config)
	for _, d := range c.GetDomains() {
		if d.GetName() == name {
			d.Out = out
		}
	}
	res, err := s.apply(entry, c, record.GetVersion())
	if err != nil || res.GetState() != poplargwv1.ApplyState_APPLY_STATE_ACCEPTED {
		s.t.Fatalf("set failure domain %s to out=%v: %v %v", name, out, res, err)
	}
	return begin
}

// setStoreFaults replaces the set of faults that the store simulates.
func (s *system) setStoreFaults(f store.Faults) {
	s.t.Helper()
	body, err := json.Marshal(f)
	if err != nil {
		s.t.Fatal(err)
	}
	s.storeAdmin(http.MethodPut, "/admin/faults", body)
}

// storeAdmin sends a request to the admin API of the store and ends the test on an error status.
func (s *system) storeAdmin(method, path string, body []byte) {
	s.t.Helper()
	req, err := http.NewRequest(method, "http://"+s.net.Addr(testbed.StoreHost, testbed.PortStore)+path, bytes.NewReader(body))
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

// starts returns all starts that the backend servers recorded.
func (s *system) starts() []sample.Start {
	s.t.Helper()
	var all []sample.Start
	for _, p := range s.servers {
		list, err := sample.ReadStarts(s.net.File(p.Name + ".starts"))
		if err != nil && !os.IsNotExist(err) {
			s.t.Fatal(err)
		}
		all = append(all, list...)
	}
	return all
}
