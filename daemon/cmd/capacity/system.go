package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
	"poplargw.example/daemon/pki"
	"poplargw.example/store"
)

// Ports of every process on its own loopback address. The peers' port is a forwarder; the process
// itself listens on the port after it.
const (
	portPeers     = 7000
	portPeersReal = 7001
	portCallers   = 7002
	portOperators = 7003
	portLocal     = 7004
	portServer    = 7005
	portStore     = 7010
	// portStandIn is the first of the ports of the stand-in agents.
	portStandIn = 20000
)

// Last bytes of the addresses.
const (
	hostStore   = 1
	hostStandIn = 3
	hostEntry   = 10
	hostAgent   = 50
)

const (
	readyLimit = 30 * time.Second
	pollEvery  = 20 * time.Millisecond
	callLimit  = 60 * time.Second
	// settle is the time that a started system gets before it is watched.
	settle = 3 * time.Second
	slots  = 200
)

// system is a set of processes with counting forwarders before the peers' ports.
type system struct {
	options
	kind, dir, prefix        string
	env                      []string
	store                    *process
	entries, agents, servers []*process
	standIns                 *standIns
	forwarders               map[string]*forwarder
}

// newSystem starts a store and entries, and applies a configuration.
func newSystem(o options, kind string, entries int, env ...string) (*system, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	s := &system{options: o, kind: kind, dir: dir, env: env, forwarders: map[string]*forwarder{},
		prefix: fmt.Sprintf("127.%d.%d.", 216+pid%30, 1+pid/30%250)}
	if err := s.begin(entries); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

func (s *system) begin(entries int) error {
	if err := s.certificates(); err != nil {
		return err
	}
	var err error
	s.store, err = start("store", s.ip(hostStore), s.path("store.log"), nil, nil,
		s.program("standinstore"), "-listen", s.addr(hostStore, portStore))
	if err != nil {
		return err
	}
	for i := range entries {
		p, err := s.daemon("entry", i, hostEntry+i)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, p)
	}
	if err := s.eventually("the first configuration is accepted", func() bool { return s.apply() == nil }); err != nil {
		return err
	}
	return s.eventually("the entries are ready", func() bool { return s.ready(s.entries) })
}

func (s *system) ip(host int) string              { return fmt.Sprint(s.prefix, host) }
func (s *system) addr(host, port int) string      { return fmt.Sprintf("%s%d:%d", s.prefix, host, port) }
func (s *system) path(name string) string         { return filepath.Join(s.dir, name) }
func (s *system) program(name string) string      { return filepath.Join(s.bin, name) }
func (s *system) forwarder(p *process) *forwarder { return s.forwarders[p.name] }

func (s *system) certificates() error {
	var ips []net.IP
	for host := range 100 {
		ips = append(ips, net.ParseIP(s.ip(host)))
	}
	set, err := pki.New(time.Now(), ips)
	if err != nil {
		return err
	}
	return set.Write(s.dir)
}

// daemon starts an entry or an agent.
func (s *system) daemon(role string, i, host int) (*process, error) {
	name := fmt.Sprintf("%s-%d", role, i+1)
	f, err := newForwarder(s.addr(host, portPeers), s.addr(host, portPeersReal))
	if err != nil {
		return nil, err
	}
	s.forwarders[name] = f
	file := s.path(name + ".toml")
	if err := os.WriteFile(file, []byte(s.settings(role, name, i, host)), 0o600); err != nil {
		return nil, err
	}
	return start(name, s.ip(host), s.path(name+".log"), s.env, nil, s.program("poplargwd"), "run", file)
}

func (s *system) settings(role, name string, i, host int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "role = %q\n[node]\nid = %q\ndomain = \"d%d\"\nregion = \"r%d\"\n", role, name, i%5+1, i%2+1)
	fmt.Fprintf(&b, "[listen]\npeers = %q\nadvertise_peers = %q\noperators = %q\n",
		s.addr(host, portPeersReal), s.addr(host, portPeers), s.addr(host, portOperators))
	transport := fmt.Sprintf("[transport]\nkind = %q\n", s.kind)
	if role == "entry" {
		fmt.Fprintf(&b, "callers = %q\n%s[store]\nurl = \"http://%s\"\n", s.addr(host, portCallers), transport, s.addr(hostStore, portStore))
	} else {
		entries := []string{}
		for e := range s.entries {
			entries = append(entries, fmt.Sprintf("%q", s.addr(hostEntry+e, portPeers)))
		}
		fmt.Fprintf(&b, "local = %q\n%sentries = [%s]\n", s.addr(host, portLocal), transport, strings.Join(entries, ", "))
	}
	fmt.Fprintf(&b, "[tls]\ncert = %q\nkey = %q\nca = %q\n", s.path(pki.CertFile), s.path(pki.KeyFile), s.path(pki.CAFile))
	return b.String()
}

// addAgents starts agents with one backend server each and waits until all entries know them.
func (s *system) addAgents(n int) error {
	for i := range n {
		p, err := s.daemon("agent", i, hostAgent+i)
		if err != nil {
			return err
		}
		s.agents = append(s.agents, p)
		name := fmt.Sprintf("server-%d", i+1)
		p, err = start(name, p.ip, s.path(name+".log"), nil, nil, s.program("sampleserver"), "-name", name,
			"-service", "moulds", "-kinds", "quick,long,small", "-slots", fmt.Sprint(slots), "-connections", fmt.Sprint(slots),
			"-listen", s.addr(hostAgent+i, portServer), "-agent", s.addr(hostAgent+i, portLocal))
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
		return s.ready(s.agents)
	})
}

func (s *system) knownServers(entry int) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	res, err := s.operator(entry).GetStatus(ctx, connect.NewRequest(&poplargwv1.GetStatusRequest{}))
	if err != nil {
		return 0
	}
	n := 0
	for _, a := range res.Msg.GetAgents() {
		n += len(a.GetServers())
	}
	return n
}

func (s *system) stop() {
	if s.standIns != nil {
		s.standIns.stop()
	}
	for _, group := range [][]*process{s.servers, s.agents, s.entries, {s.store}} {
		for _, p := range group {
			if p != nil {
				p.kill()
			}
		}
	}
	for _, f := range s.forwarders {
		f.close()
	}
	_ = os.RemoveAll(s.dir)
}

func (s *system) ready(ps []*process) bool {
	client := http.Client{Timeout: time.Second}
	for _, p := range ps {
		res, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", p.ip, portOperators))
		if err != nil {
			return false
		}
		res.Body.Close()
		if res.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

func (s *system) eventually(what string, holds func() bool) error {
	for deadline := time.Now().Add(readyLimit); !holds(); time.Sleep(pollEvery) {
		if time.Now().After(deadline) {
			return fmt.Errorf("not within %v: %s", readyLimit, what)
		}
	}
	return nil
}

func (s *system) operator(entry int) poplargwv1connect.OperatorClient {
	return poplargwv1connect.NewOperatorClient(http.DefaultClient, "http://"+s.addr(hostEntry+entry, portOperators))
}

// apply applies a configuration of the design size: 38 teams and 5 failure domains.
func (s *system) apply() error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	now, err := s.operator(0).GetConfig(ctx, connect.NewRequest(&poplargwv1.GetConfigRequest{}))
	if err != nil {
		return err
	}
	change := &poplargwv1.ApplyRequest{ChangeId: uuid.NewString(), Author: "capacity",
		BaseVersion: now.Msg.GetRecord().GetVersion(), Config: config()}
	res, err := s.operator(0).Apply(ctx, connect.NewRequest(change))
	if err == nil && res.Msg.GetState() != poplargwv1.ApplyState_APPLY_STATE_ACCEPTED {
		err = errors.New(res.Msg.GetMessage())
	}
	return err
}

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

// storeCalls returns the number of calls that the store has received, 0 if it does not answer.
func (s *system) storeCalls() float64 {
	res, err := http.Get("http://" + s.addr(hostStore, portStore) + "/admin/counts")
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	var c store.Counts
	_ = json.NewDecoder(res.Body).Decode(&c)
	return float64(c.Gets + c.Writes + c.Watches)
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
