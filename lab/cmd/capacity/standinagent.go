package main

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/api/gen/poplargw/peer/v1/peerv1connect"
	"poplargw.example/daemon/pki"
	"poplargw.example/daemon/transport"
	"poplargw.example/dispatch/submission"
	"poplargw.example/dispatch/table"
)

// standInCommand is the first argument with which this program runs stand-in agents instead of a
// measurement.
const standInCommand = "stand-in"

// Intervals and timeouts of a real agent.
const (
	reportInterval  = time.Second
	reportTimeout   = time.Second
	retryDelay      = 250 * time.Millisecond
	coalesceDelay   = 2 * time.Millisecond
	deadPeerTimeout = 3 * time.Second
)

// serversPerAgent is the number of backend servers of a stand-in agent. It models a deployment of about
// 1,900 accelerators on 880 workers.
const serversPerAgent = 2

// standInOptions holds the command-line options of a process of stand-in agents.
type standInOptions struct {
	kind, dir, ip, entries string
	agents, records        int
}

// standInProcess is the state of a process of stand-in agents. These report like real agents and answer
// claims with generated start records, but run no tasks.
type standInProcess struct {
	o standInOptions

	mu     sync.Mutex
	ready  int            // agents that have reported to an entry
	config map[uint64]int // agents that have fetched a configuration, by version
}

// standInAgent is one stand-in agent.
type standInAgent struct {
	p           *standInProcess
	n           int
	incarnation string
	started     time.Time
	client      transport.Client
	records     []*peerv1.StartRecord

	mu       sync.Mutex
	versions peerv1.Versions
	sequence uint64
	fetching bool
	reported bool
}

// runStandIn runs stand-in agents until the process is killed.
func runStandIn(args []string) error {
	p := &standInProcess{config: map[uint64]int{}}
	flags := flag.NewFlagSet(standInCommand, flag.ContinueOnError)
	flags.StringVar(&p.o.kind, "kind", "tcp", "kind of transport")
	flags.StringVar(&p.o.dir, "dir", "", "directory of the certificates")
	flags.StringVar(&p.o.ip, "ip", "", "address of the agents")
	flags.StringVar(&p.o.entries, "entries", "", "addresses of the entries, separated by commas")
	flags.IntVar(&p.o.agents, "agents", 1, "number of agents")
	flags.IntVar(&p.o.records, "records", 0, "start records of each agent")
	if err := flags.Parse(args); err != nil {
		return err
	}
	for n := range p.o.agents {
		if err := p.addAgent(n); err != nil {
			return err
		}
	}
	select {}
}

// addAgent starts agent n: a server for claims and a goroutine per entry that sends reports.
func (p *standInProcess) addAgent(n int) error {
	conf, err := transport.LoadTLS(filepath.Join(p.o.dir, pki.CertFile), filepath.Join(p.o.dir, pki.KeyFile), filepath.Join(p.o.dir, pki.CAFile))
	if err != nil {
		return err
	}
	a := &standInAgent{p: p, n: n, incarnation: uuid.NewString(), started: time.Now()}
	if a.records, err = newRecords(p.o.records); err != nil {
		return err
	}
	if a.client, err = transport.NewObservedClient(p.o.kind, conf, deadPeerTimeout, net.ParseIP(p.o.ip), nil, nil); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewAgentPeerHandler(a, connect.WithCompression("gzip", nil, nil)))
	server, err := transport.NewServer(p.o.kind, a.address(), conf, mux)
	if err != nil {
		return err
	}
	go func() { _ = server.Serve() }()
	for _, entry := range strings.Split(p.o.entries, ",") {
		go a.reportTo(entry)
	}
	return nil
}

// newRecords returns n start records with unique submission IDs.
func newRecords(n int) ([]*peerv1.StartRecord, error) {
	records := make([]*peerv1.StartRecord, n)
	for i := range records {
		id, err := uuid.NewV7()
		if err != nil {
			return nil, err
		}
		hash := make([]byte, 32)
		_, _ = rand.Read(hash)
		records[i] = &peerv1.StartRecord{Key: &peerv1.Key{Caller: "caller-1", SubmissionId: id[:]}, ResultHeld: true, RequestHash: hash}
	}
	return records, nil
}

func (a *standInAgent) address() string { return fmt.Sprintf("%s:%d", a.p.o.ip, portStandIn+a.n) }

// reportTo sends reports to an entry like a real agent: every reportInterval, and coalesceDelay after it
// fetched a newer configuration. It does not return.
func (a *standInAgent) reportTo(entry string) {
	// Spreads the reports of the agents evenly over the interval.
	time.Sleep(reportInterval * time.Duration(a.n) / time.Duration(a.p.o.agents))
	c := peerv1connect.NewEntryPeerClient(a.client.HTTP(entry), "https://"+entry, connect.WithAcceptCompression("gzip", nil, nil))
	for {
		next := reportInterval
		newer, err := a.report(c)
		switch {
		case err != nil:
			next = retryDelay
		case newer:
			next = coalesceDelay
		}
		time.Sleep(next)
	}
}

// report sends a report, and fetches the configuration if the entry has a newer one. It returns whether
// it fetched one.
func (a *standInAgent) report(c peerv1connect.EntryPeerClient) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	resp, err := c.Report(ctx, connect.NewRequest(a.newReport()))
	if err != nil {
		return false, err
	}
	if t := resp.Msg.GetTable(); t != nil {
		a.mu.Lock()
		a.versions.Table = max(a.versions.Table, t.GetVersion())
		a.mu.Unlock()
	}
	if !a.shouldFetch(resp.Msg.GetVersions().GetConfig()) {
		return false, nil
	}
	return a.fetch(c)
}

// shouldFetch counts the agent as ready on its first report and reports whether the caller has to fetch
// the configuration version: it is newer and no other fetch is in progress.
func (a *standInAgent) shouldFetch(config uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.reported {
		a.reported = true
		a.p.noteReady()
	}
	if a.fetching || config <= a.versions.Config {
		return false
	}
	a.fetching = true
	return true
}

// fetch fetches the configuration and notes its version.
func (a *standInAgent) fetch(c peerv1connect.EntryPeerClient) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	resp, err := c.Fetch(ctx, connect.NewRequest(&peerv1.FetchRequest{}))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fetching = false
	if err != nil {
		return false, err
	}
	if v := resp.Msg.GetConfig().GetVersion(); v > a.versions.Config {
		a.versions.Config = v
		a.p.noteConfig(v)
	}
	return true, nil
}

// noteReady counts an agent that has reported, and prints "ready" once all agents have.
func (p *standInProcess) noteReady() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ready++; p.ready == p.o.agents {
		fmt.Println("ready", 0)
	}
}

// noteConfig counts an agent that has fetched a configuration version, and prints "config VERSION" once
// all agents have.
func (p *standInProcess) noteConfig(version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.config[version]++; p.config[version] == p.o.agents {
		fmt.Println("config", version)
	}
}

// newReport returns the next report of the agent, with all slots free.
func (a *standInAgent) newReport() *peerv1.ReportRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	s := &peerv1.AgentState{
		Agent: fmt.Sprintf("worker-%d", a.n), Incarnation: a.incarnation, StartedUnixMs: a.started.UnixMilli(),
		Address: a.address(), Domain: fmt.Sprintf("d%d", a.n%5+1), Region: fmt.Sprintf("r%d", a.n%2+1), Sequence: a.sequence,
	}
	for i := range serversPerAgent {
		s.Servers = append(s.Servers, &peerv1.ServerReport{
			Server: fmt.Sprintf("server-%d-%d", a.n, i), Service: "moulds", Kinds: []string{"quick", "long", "small"},
			Slots: 8, FreeSlots: 8, Connections: 64, Instance: a.incarnation,
		})
	}
	return &peerv1.ReportRequest{
		Versions: &peerv1.Versions{Config: a.versions.Config, Table: a.versions.Table}, State: s,
		Token: &peerv1.Token{Incarnation: a.incarnation, IssuedNs: int64(time.Since(a.started))},
	}
}

// Start returns an Unimplemented error, since stand-in agents run no tasks.
func (a *standInAgent) Start(context.Context, *connect.Request[peerv1.StartRequest]) (*connect.Response[peerv1.StartResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, nil)
}

// Claim returns the start records whose home is the claiming entry.
func (a *standInAgent) Claim(_ context.Context, r *connect.Request[peerv1.ClaimRequest]) (*connect.Response[peerv1.AgentClaimResponse], error) {
	out := &peerv1.AgentClaimResponse{Agent: fmt.Sprintf("worker-%d", a.n), Incarnation: a.incarnation, StartedUnixMs: a.started.UnixMilli()}
	for _, rec := range a.records {
		k := submission.Key{Caller: rec.GetKey().GetCaller(), ID: uuid.UUID(rec.GetKey().GetSubmissionId())}
		if table.Home(r.Msg.GetTable(), k).GetId() == r.Msg.GetHome() {
			out.Records = append(out.Records, rec)
		}
	}
	return connect.NewResponse(out), nil
}
