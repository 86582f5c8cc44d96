package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
	"poplargw.example/lab/testbed"
)

// pollInterval is the pause between two requests for the state of a process.
const pollInterval = 100 * time.Millisecond

// waitHTTP waits until the URL answers with status 200.
func waitHTTP(ctx context.Context, url string) error {
	return poll(ctx, url, func() error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %s", resp.Status)
		}
		return nil
	})
}

// waitServers waits until the entry at the operators' address knows at least the given number of
// backend servers.
func waitServers(ctx context.Context, address string, servers int) error {
	client := poplargwv1connect.NewOperatorClient(http.DefaultClient, "http://"+address)
	return poll(ctx, address, func() error {
		resp, err := client.GetStatus(ctx, connect.NewRequest(&poplargwv1.GetStatusRequest{}))
		if err != nil {
			return err
		}
		if known := testbed.KnownServers(resp.Msg); known < servers {
			return fmt.Errorf("the entry knows %d of %d backend servers", known, servers)
		}
		return nil
	})
}

// poll calls f until it succeeds. When ctx ends first, poll returns the last error of f, with what it
// waited for.
func poll(ctx context.Context, what string, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		if !sleep(ctx, pollInterval) {
			return fmt.Errorf("wait for %s: %w", what, err)
		}
	}
}
