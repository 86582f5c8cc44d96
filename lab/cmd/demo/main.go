// Command demo drives the demonstration: it waits until the processes are ready and replays a trace
// of jobs. It is a test driver and not part of the product.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"
)

func main() {
	if err := run(context.Background(), os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	if len(args) == 0 {
		return fmt.Errorf("usage: demo wait|replay [flags]")
	}
	switch args[0] {
	case "wait":
		return waitCommand(ctx, args[1:])
	case "replay":
		return replayCommand(ctx, args[1:])
	}
	return fmt.Errorf("unknown command %q", args[0])
}

// waitCommand waits until every URL answers with status 200 and every entry knows the backend
// servers. It fails after the limit.
func waitCommand(ctx context.Context, args []string) error {
	f := flag.NewFlagSet("wait", flag.ContinueOnError)
	limit := f.Duration("limit", 30*time.Second, "how long to wait")
	operators := f.String("operators", "", "operator addresses of entries, separated by commas")
	servers := f.Int("servers", 0, "number of backend servers that every entry must know")
	if err := f.Parse(args); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, *limit)
	defer cancel()
	for _, url := range f.Args() {
		if err := waitHTTP(ctx, url); err != nil {
			return err
		}
	}
	for _, address := range splitList(*operators) {
		if err := waitServers(ctx, address, *servers); err != nil {
			return err
		}
	}
	return nil
}

// replayCommand replays the trace and prints the table of outcomes. It fails if an accepted job has
// no outcome, an answer belongs to another request, or the failure domain cannot be changed.
func replayCommand(ctx context.Context, args []string) error {
	f := flag.NewFlagSet("replay", flag.ContinueOnError)
	trace := f.String("trace", "", "trace file, one JSON object a line")
	entries := f.String("entries", "", "caller addresses of entries, separated by commas")
	operators := f.String("operators", "", "operator addresses of entries, separated by commas")
	service := f.String("service", "", "service of all jobs")
	domain := f.String("domain", "", "failure domain to take out of service and return during the replay; empty means none")
	speed := f.Float64("speed", 1, "speed of the fastest backend server")
	if err := f.Parse(args); err != nil {
		return err
	}
	jobs, err := readTrace(*trace)
	if err != nil {
		return err
	}
	clients, err := newClients(splitList(*entries))
	if err != nil {
		return err
	}
	r := &replay{service: *service, clients: clients}
	done := make(chan error, 1)
	go func() { done <- takeOutAndReturn(ctx, splitList(*operators), *domain, jobs[len(jobs)-1].at()) }()
	outcomes := r.run(ctx, jobs)
	domainErr := <-done
	failed := report(os.Stdout, jobs, outcomes, *speed)
	if domainErr != nil {
		return domainErr
	}
	return failed
}

// splitList splits a list at its commas and leaves out empty elements.
func splitList(s string) []string {
	return strings.FieldsFunc(s, func(r rune) bool { return r == ',' })
}
