package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"poplargw.example/daemon/tool"
)

// The failure domain is out of service between these times, as shares of the length of the trace.
const (
	outStart = 0.3
	outEnd   = 0.6
)

// takeOutAndReturn takes the failure domain out of service and returns it while the trace runs, with
// the operators' tool and at a different entry each time. Without a domain it does nothing.
func takeOutAndReturn(ctx context.Context, operators []string, domain string, length time.Duration) error {
	if domain == "" {
		return nil
	}
	if len(operators) == 0 {
		return errors.New("-domain requires -operators")
	}
	start := time.Now()
	for i, step := range []struct {
		command string
		at      float64
	}{{"out", outStart}, {"in", outEnd}} {
		if !sleep(ctx, time.Until(start.Add(time.Duration(step.at*float64(length))))) {
			return ctx.Err()
		}
		fmt.Printf("%v: domain %s %s\n", time.Since(start).Round(time.Millisecond), step.command, domain)
		if err := runTool(ctx, "domain", step.command, "--entry", operators[i%len(operators)], "--author", "demo", domain); err != nil {
			return err
		}
	}
	return nil
}

// runTool runs a command of the operators' tool in this process and returns its error.
func runTool(ctx context.Context, args ...string) error {
	root := &cli.Command{
		Name: "poplargw", Commands: tool.Commands(),
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	return root.Run(ctx, append([]string{"poplargw"}, args...))
}
