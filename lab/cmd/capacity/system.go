package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
	"poplargw.example/daemon/settings"
	"poplargw.example/lab/testbed"
	"poplargw.example/store"
)

const (
	// hostStandIn is the host number of the stand-in agents in the test network. Stand-in agent n listens on
	// port portStandIn+n.
	hostStandIn = 3
	portStandIn = 20000
)

const (
	// readyTimeout bounds each wait for an expected state of the system.
	readyTimeout = 30 * time.Second
	// pollInterval is the time between two checks of an awaited condition.
	pollInterval = 20 * time.Millisecond
	// callTimeout bounds a call that reads the configuration, and all jobs of one callers.run together.
	callTimeout = 60 * time.Second
	// settleTime is how long a started system runs before it is measured.
	settleTime = 3 * time.Second
	// slotsPerServer is the number of slots of a backend server, and of its connections.
	slotsPerServer = 200
)

// system is a running deployment with a forwarder in front of each peer port that counts the traffic.
type system struct {
	options
	kind                     string
	net                      *testbed.Network
	env                      []string
	store                    *process
	entries, agents, servers []*process
	standIns                 *standInChild
	forwarders               map[string]*forwarder
}

// newSystem starts a store and entries with a kind of transport and additional environment variables,
// applies a configuration and waits until the entries are ready.
func newSystem(o options, kind string, entries int, env ...string) (*system, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, err
	}
	net, err := testbed.NewNetwork(dir, o.bin)
	if err != nil {
		return nil, err
	}
	s := &system{options: o, kind: kind, net: net, env: env, forwarders: map[string]*forwarder{}}
	if err := s.startCore(entries); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

// newFleet starts a system like newSystem, with agents that have one backend server each, and waits until it is
// ready.
func newFleet(o options, kind string, entries, agents int, env ...string) (*system, error) {
	s, err := newSystem(o, kind, entries, env...)
	if err != nil {
		return nil, err
	}
	if err := s.addAgents(agents); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

// startCore starts the store and the entries, and applies the first configuration.
func (s *system) startCore(entries int) error {
	var err error
	if s.store, err = start(s.net.Store()); err != nil {
		return err
	}
	for i := range entries {
		p, err := s.startDaemon(settings.RoleEntry, i, testbed.FirstEntryHost+i)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, p)
	}
	if err := s.eventually("the first configuration is accepted", func() bool { return s.apply() == nil }); err != nil {
		return err
	}
	return s.eventually("the entries are ready", func() bool { return s.allReady(s.entries) })
}

// forwarder returns the forwarder in front of the peer port of a process.
func (s *system) forwarder(p *process) *forwarder { return s.forwarders[p.Name] }

// startDaemon starts the entry or agent with index i on a host, behind a forwarder.
func (s *system) startDaemon(role settings.Role, i, host int) (*process, error) {
	name := fmt.Sprintf("%s-%d", role, i+1)
	f, err := newForwarder(s.net.Addr(host, testbed.PortPeers), s.net.Addr(host, testbed.PortPeers+1))
	if err != nil {
		return nil, err
	}
	s.forwarders[name] = f
	p, err := s.net.Daemon(testbed.Daemon{Role: role, Name: name, Host: host, Domain: fmt.Sprintf("d%d", i%5+1),
		Region: fmt.Sprintf("r%d", i%2+1), PeersForwarded: true, Entries: len(s.entries), Transport: s.kind})
	if err != nil {
		return nil, err
	}
	p.Env = s.env
	return start(p)
}

// addAgents starts n agents with one backend server each, and waits until all entries know the backend
// servers and the agents are ready.
func (s *system) addAgents(n int) error {
	for i := range n {
		p, err := s.startDaemon(settings.RoleAgent, i, testbed.FirstAgentHost+i)
		if err != nil {
			return err
		}
		s.agents = append(s.agents, p)
		p, err = start(s.net.Server(fmt.Sprintf("server-%d", i+1), testbed.FirstAgentHost+i, "moulds", "quick,long,small", slotsPerServer,
			"-connections", fmt.Sprint(slotsPerServer)))
		if err != nil {
			return err
		}
		s.servers = append(s.servers, p)
	}
	return s.eventually("the entries know the backend servers", func() bool {
		for e := range s.entries {
			if s.knownServers(e) != n {
				return false
			}
		}
		return s.allReady(s.agents)
	})
}

// knownServers returns the number of backend servers that an entry knows, 0 if it does not answer.
func (s *system) knownServers(entry int) int { return testbed.KnownServers(s.status(entry)) }

// status returns the status that an entry reports, nil if it does not answer.
func (s *system) status(entry int) *poplargwv1.GetStatusResponse {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	res, err := s.operator(entry).GetStatus(ctx, connect.NewRequest(&poplargwv1.GetStatusRequest{}))
	if err != nil {
		return nil
	}
	return res.Msg
}

// stop kills all processes, closes the forwarders and removes the directory of the system.
func (s *system) stop() {
	if s.standIns != nil {
		s.standIns.stop()
	}
	for _, group := range [][]*process{s.servers, s.agents, s.entries, {s.store}} {
		for _, p := range group {
			if p != nil {
				p.Kill()
			}
		}
	}
	for _, f := range s.forwarders {
		f.close()
	}
	_ = os.RemoveAll(s.net.Dir)
}

// allReady reports whether all the processes are ready.
func (s *system) allReady(ps []*process) bool {
	for _, p := range ps {
		if p.GetStatus("/readyz") != http.StatusOK {
			return false
		}
	}
	return true
}

// eventually polls the condition until it holds and returns an error after readyTimeout.
func (s *system) eventually(what string, holds func() bool) error {
	for deadline := time.Now().Add(readyTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			return fmt.Errorf("timed out after %v waiting until: %s", readyTimeout, what)
		}
	}
	return nil
}

func (s *system) operator(entry int) poplargwv1connect.OperatorClient {
	return poplargwv1connect.NewOperatorClient(http.DefaultClient, "http://"+s.net.Addr(testbed.FirstEntryHost+entry, testbed.PortOperators))
}

// apply applies the configuration of config as a new version. It returns an error if the change is not
// accepted.
func (s *system) apply() error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	current, err := s.operator(0).GetConfig(ctx, connect.NewRequest(&poplargwv1.GetConfigRequest{}))
	if err != nil {
		return err
	}
	change := &poplargwv1.ApplyRequest{ChangeId: uuid.NewString(), Author: "capacity",
		BaseVersion: current.Msg.GetRecord().GetVersion(), Config: config()}
	res, err := s.operator(0).Apply(ctx, connect.NewRequest(change))
	if err == nil && res.Msg.GetState() != poplargwv1.ApplyState_APPLY_STATE_ACCEPTED {
		err = errors.New(res.Msg.GetMessage())
	}
	return err
}

// config returns a configuration of the size that the system is designed for: 38 teams and 5 failure
// domains.
func config() *poplargwv1.Config {
	limit := durationpb.New(time.Minute)
	c := &poplargwv1.Config{Services: []*poplargwv1.Service{{Name: "moulds"}}}
	for i, kind := range []string{"quick", "long", "small"} {
		c.Services[0].Kinds = append(c.Services[0].Kinds,
			&poplargwv1.Kind{Name: kind, Priority: uint32(3 + i), Repeatable: true, Slots: 1, TimeLimit: limit})
	}
	for i := range 38 {
		c.Teams = append(c.Teams, &poplargwv1.Team{Name: fmt.Sprintf("team-%d", i), QuotaSlots: 50})
	}
	for i := range 5 {
		c.Domains = append(c.Domains, &poplargwv1.FailureDomain{Name: fmt.Sprintf("d%d", i+1), Region: fmt.Sprintf("r%d", i%2+1)})
	}
	return c
}

// storeCalls returns the number of gets, writes and watches that the store has received, 0 if it does not
// answer.
func (s *system) storeCalls() float64 {
	res, err := http.Get("http://" + s.net.Addr(testbed.StoreHost, testbed.PortStore) + "/admin/counts")
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	var c store.Counts
	_ = json.NewDecoder(res.Body).Decode(&c)
	return float64(c.Gets + c.Writes + c.Watches)
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
