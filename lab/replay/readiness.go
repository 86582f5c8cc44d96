package replay

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/lab/testbed"
)

// waitUntilReady applies the first configuration and waits until every entry and agent is ready
// and every entry knows all backend servers.
func (s *System) waitUntilReady() error {
	if err := eventually("the first configuration is accepted", func() error { return s.apply(s.config(), 0) }); err != nil {
		return err
	}
	for _, p := range append(append([]*testbed.Process{}, s.entries...), s.agents...) {
		if err := eventually(p.Name+" is ready", func() error { return checkReady(p) }); err != nil {
			return err
		}
	}
	for i := range s.entries {
		if err := eventually("the entries know all backend servers", func() error { return s.checkServersKnown(i) }); err != nil {
			return err
		}
	}
	return nil
}

// eventually repeats a check until it succeeds. After readyTimeout it returns an error that says
// which condition was not reached and wraps the error of the last check.
func eventually(what string, check func() error) error {
	err := check()
	for deadline := time.Now().Add(readyTimeout); err != nil; err = check() {
		if time.Now().After(deadline) {
			return fmt.Errorf("condition not reached within %v: %s: %w", readyTimeout, what, err)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

func checkReady(p *testbed.Process) error {
	if status := p.GetStatus("/readyz"); status != http.StatusOK {
		return fmt.Errorf("/readyz answered status %d", status)
	}
	return nil
}

// checkServersKnown returns an error unless the entry knows as many backend servers as the header has.
func (s *System) checkServersKnown(entry int) error {
	res, err := s.operatorClient(entry).GetStatus(context.Background(), connect.NewRequest(&poplargwv1.GetStatusRequest{}))
	if err != nil {
		return err
	}
	if n := testbed.KnownServers(res.Msg); n != len(s.o.Header.Servers) {
		return fmt.Errorf("the entry knows %d backend servers", n)
	}
	return nil
}
