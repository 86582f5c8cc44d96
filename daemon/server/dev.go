package server

import (
	"context"
	"crypto/tls"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
	"poplargw.example/daemon/event"
	"poplargw.example/daemon/pki"
	"poplargw.example/daemon/sample"
	"poplargw.example/daemon/settings"
	"poplargw.example/daemon/signals"
	"poplargw.example/daemon/transport"
	"poplargw.example/dispatch/decl"
	"poplargw.example/store"
)

//go:embed dev.toml
var devDeclarations []byte

// Addresses of the development system. The first two are the defaults of the poplargw command.
const (
	DevCallersAddr        = "127.0.0.1:7101"
	DevOperatorsAddr      = "127.0.0.1:7103"
	devPeersAddr          = "127.0.0.1:7102"
	devAgentPeersAddr     = "127.0.0.1:7112"
	devAgentOperatorsAddr = "127.0.0.1:7113"
	devAgentLocalAddr     = "127.0.0.1:7114"
)

const (
	// devStartTimeout bounds the time until the entry knows the backend server.
	devStartTimeout = 20 * time.Second
	// devPollInterval is the time between two attempts of a call during the start.
	devPollInterval = 50 * time.Millisecond
	// devCallTimeout bounds one call to the entry.
	devCallTimeout = 5 * time.Second
)

// devUsageFormat is printed when the development system is ready. Its arguments are the addresses for
// callers and for operators.
const devUsageFormat = `The development system is ready: one entry, one agent, one sample backend server, a store in memory.
Submit a job of 4 tasks of 200 ms:
  poplargw submit --service ice-forms --team forms --kind wall-thickness-check --payload '{"ms":200}' --tasks 4
Callers connect to http://%s, operators to http://%s. End with Ctrl-C.
`

// RunDev runs a complete development system in this process until a signal arrives, on fixed loopback
// addresses. Once the system is ready, it writes instructions for submitting a job to out. All data is
// kept in memory and lost at the end.
func RunDev(sig signals.Set, log *event.Logger, out io.Writer) error {
	conf, err := devTLS()
	if err != nil {
		return err
	}
	entryProcess, err := start(devEntrySettings(), log, conf, store.NewMemory())
	if err != nil {
		return err
	}
	agentProcess, err := start(devAgentSettings(), log, conf, nil)
	if err != nil {
		entryProcess.closeAll()
		return err
	}
	backend, err := sample.New(sample.Options{
		Name: "dev-server", Service: "ice-forms", Kinds: []string{"wall-thickness-check"},
		Slots: 8, Connections: 64, Listen: "127.0.0.1:0", Agent: devAgentLocalAddr,
	})
	if err != nil {
		entryProcess.closeAll()
		agentProcess.closeAll()
		return err
	}
	return runDev(sig, entryProcess, agentProcess, backend, out)
}

// runDev runs the three components until a signal arrives or one of them fails. It stops the entry, the
// backend server and the agent in this order, each after the previous one has ended, so that accepted
// jobs are completed.
func runDev(sig signals.Set, entryProcess, agentProcess *process, backend *sample.Server, out io.Writer) error {
	backendCtx, stopBackend := context.WithCancel(context.Background())
	defer stopBackend()
	stopAgent := make(chan struct{})
	// A component that fails stops the others, beginning with the entry.
	stopEntryCtx, stopEntry := context.WithCancel(context.Background())
	defer stopEntry()
	var g errgroup.Group
	g.Go(func() error {
		defer stopBackend()
		return entryProcess.run(signals.Set{Stop: firstClosed(sig.Stop, stopEntryCtx.Done()), Force: sig.Force})
	})
	g.Go(func() error {
		defer close(stopAgent)
		defer stopEntry()
		return backend.Run(backendCtx)
	})
	g.Go(func() error {
		defer stopEntry()
		return agentProcess.run(signals.Set{Stop: stopAgent, Force: sig.Force})
	})
	g.Go(func() error {
		ctx, cancel := context.WithTimeout(backendCtx, devStartTimeout)
		defer cancel()
		if err := applyDevConfig(ctx); err != nil {
			stopEntry()
			return ignoreErrorAfterStop(backendCtx, err)
		}
		_, err := fmt.Fprintf(out, devUsageFormat, DevCallersAddr, DevOperatorsAddr)
		return err
	})
	return g.Wait()
}

// firstClosed returns a channel that is closed as soon as a or b is closed.
func firstClosed(a, b <-chan struct{}) <-chan struct{} {
	c := make(chan struct{})
	go func() {
		defer close(c)
		select {
		case <-a:
		case <-b:
		}
	}()
	return c
}

// ignoreErrorAfterStop returns nil if ctx has ended, and err otherwise.
func ignoreErrorAfterStop(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// devTLS returns a mutual TLS configuration with a new CA and a new certificate for 127.0.0.1.
func devTLS() (*tls.Config, error) {
	set, err := pki.New(time.Now(), []net.IP{net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	cert, ca, err := set.Pair()
	if err != nil {
		return nil, err
	}
	return transport.MutualTLS(cert, ca), nil
}

func devEntrySettings() *settings.Settings {
	s := settings.Default()
	s.Role = settings.RoleEntry
	s.Node = settings.Node{ID: "dev-entry", Domain: "dev", Region: "dev"}
	s.Listen = settings.Listen{Callers: DevCallersAddr, Peers: devPeersAddr, Operators: DevOperatorsAddr}
	return &s
}

func devAgentSettings() *settings.Settings {
	s := settings.Default()
	s.Role = settings.RoleAgent
	s.Node = settings.Node{ID: "dev-agent", Domain: "dev", Region: "dev"}
	s.Listen = settings.Listen{Peers: devAgentPeersAddr, Operators: devAgentOperatorsAddr, Local: devAgentLocalAddr}
	s.Transport.Entries = []string{devPeersAddr}
	return &s
}

// applyDevConfig applies the development configuration and waits until the entry knows the backend server.
func applyDevConfig(ctx context.Context) error {
	declared, err := decl.Parse(map[string][]byte{"dev.toml": devDeclarations})
	if err != nil {
		return err
	}
	client := poplargwv1connect.NewOperatorClient(&http.Client{Timeout: devCallTimeout}, "http://"+DevOperatorsAddr)
	request := &poplargwv1.ApplyRequest{ChangeId: uuid.NewString(), Author: "poplargwd dev", Config: declared.Config(nil)}
	err = poll(ctx, func() error {
		resp, err := client.Apply(ctx, connect.NewRequest(request))
		if err == nil && resp.Msg.GetState() != poplargwv1.ApplyState_APPLY_STATE_ACCEPTED {
			err = errors.New(resp.Msg.GetMessage())
		}
		return err
	})
	if err != nil {
		return trace.Wrap(fmt.Errorf("apply the development configuration: %w", err))
	}
	return poll(ctx, func() error {
		resp, err := client.GetStatus(ctx, connect.NewRequest(&poplargwv1.GetStatusRequest{}))
		if err != nil {
			return err
		}
		for _, a := range resp.Msg.GetAgents() {
			if len(a.GetServers()) > 0 {
				return nil
			}
		}
		return errors.New("the backend server has not registered with the entry yet")
	})
}

// poll calls f every devPollInterval until it succeeds. If ctx ends first, it returns f's last error.
func poll(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(devPollInterval):
		}
	}
}
