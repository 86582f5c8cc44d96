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

// Addresses of the development system. The first two are the tool's defaults.
const (
	DevCallers   = "127.0.0.1:7101"
	DevOperators = "127.0.0.1:7103"
	devPeers     = "127.0.0.1:7102"
	devAgent     = "127.0.0.1:7112"
	devAgentOps  = "127.0.0.1:7113"
	devLocal     = "127.0.0.1:7114"
)

const (
	// devStartLimit is how long the parts of a development system may take to find each other.
	devStartLimit = 20 * time.Second
	devPoll       = 50 * time.Millisecond
	devCallLimit  = 5 * time.Second
)

const devHint = `The development system is ready: one entry, one agent, one sample backend server, a store in memory.
Submit a job of 4 tasks of 200 ms:
  poplargw submit --service ice-forms --team forms --kind wall-thickness-check --payload '{"ms":200}' --tasks 4
Callers connect to http://%s, operators to http://%s. End with Ctrl-C.
`

// RunDev runs a whole development system in this process until a signal, on fixed loopback
// addresses. It writes to out how to submit a job. Nothing is kept.
func RunDev(sig signals.Set, log *event.Logger, out io.Writer) error {
	conf, err := devTLS()
	if err != nil {
		return err
	}
	e, err := start(devEntry(), log, conf, store.NewMemory())
	if err != nil {
		return err
	}
	a, err := start(devAgentSettings(), log, conf, nil)
	if err != nil {
		e.abandon()
		return err
	}
	backend, err := sample.New(sample.Options{
		Name: "dev-server", Service: "ice-forms", Kinds: []string{"wall-thickness-check"},
		Slots: 8, Connections: 64, Listen: "127.0.0.1:0", Agent: devLocal,
	})
	if err != nil {
		e.abandon()
		a.abandon()
		return err
	}
	return runDev(sig, e, a, backend, out)
}

// runDev stops the parts in the order entry, backend server, agent, each after the one before, so
// that accepted jobs end.
func runDev(sig signals.Set, e, a *process, backend *sample.Server, out io.Writer) error {
	serving, leave := context.WithCancel(context.Background())
	defer leave()
	stopAgent := make(chan struct{})
	// A part that fails ends the others.
	stopEntry, failed := context.WithCancel(context.Background())
	defer failed()
	var g errgroup.Group
	g.Go(func() error {
		defer leave()
		return e.run(signals.Set{Stop: either(sig.Stop, stopEntry.Done()), Kill: sig.Kill})
	})
	g.Go(func() error {
		defer close(stopAgent)
		defer failed()
		return backend.Run(serving)
	})
	g.Go(func() error {
		defer failed()
		return a.run(signals.Set{Stop: stopAgent, Kill: sig.Kill})
	})
	g.Go(func() error {
		ctx, cancel := context.WithTimeout(serving, devStartLimit)
		defer cancel()
		if err := devConfigure(ctx); err != nil {
			failed()
			return ignoreStop(serving, err)
		}
		_, err := fmt.Fprintf(out, devHint, DevCallers, DevOperators)
		return err
	})
	return g.Wait()
}

// either returns a channel that is closed when one of both is.
func either(a, b <-chan struct{}) <-chan struct{} {
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

func ignoreStop(serving context.Context, err error) error {
	if serving.Err() != nil {
		return nil
	}
	return err
}

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

func devEntry() *settings.Settings {
	s := settings.Default()
	s.Role = settings.RoleEntry
	s.Node = settings.Node{ID: "dev-entry", Domain: "dev", Region: "dev"}
	s.Listen = settings.Listen{Callers: DevCallers, Peers: devPeers, Operators: DevOperators}
	return &s
}

func devAgentSettings() *settings.Settings {
	s := settings.Default()
	s.Role = settings.RoleAgent
	s.Node = settings.Node{ID: "dev-agent", Domain: "dev", Region: "dev"}
	s.Listen = settings.Listen{Peers: devAgent, Operators: devAgentOps, Local: devLocal}
	s.Transport.Entries = []string{devPeers}
	return &s
}

// devConfigure applies the configuration and waits until the backend server is known.
func devConfigure(ctx context.Context) error {
	declared, err := decl.Parse(map[string][]byte{"dev.toml": devDeclarations})
	if err != nil {
		return err
	}
	op := poplargwv1connect.NewOperatorClient(&http.Client{Timeout: devCallLimit}, "http://"+DevOperators)
	change := &poplargwv1.ApplyRequest{ChangeId: uuid.NewString(), Author: "poplargwd dev", Config: declared.Config(nil)}
	err = poll(ctx, func() error {
		resp, err := op.Apply(ctx, connect.NewRequest(change))
		if err == nil && resp.Msg.GetState() != poplargwv1.ApplyState_APPLY_STATE_ACCEPTED {
			err = errors.New(resp.Msg.GetMessage())
		}
		return err
	})
	if err != nil {
		return trace.Wrap(fmt.Errorf("apply the development configuration: %w", err))
	}
	return poll(ctx, func() error {
		resp, err := op.GetStatus(ctx, connect.NewRequest(&poplargwv1.GetStatusRequest{}))
		if err != nil {
			return err
		}
		for _, a := range resp.Msg.GetAgents() {
			if len(a.GetServers()) > 0 {
				return nil
			}
		}
		return errors.New("the entry does not know the backend server yet")
	})
}

// poll calls f until it succeeds, and returns its last error when ctx ends.
func poll(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(devPoll):
		}
	}
}
