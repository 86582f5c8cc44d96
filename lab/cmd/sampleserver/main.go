// Command sampleserver is a backend server for demonstrations and tests. It announces itself to the
// agent on the same VM and simulates the work of a task by sleeping.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"poplargw.example/daemon/sample"
	"poplargw.example/daemon/signals"
)

func main() {
	o := parseFlags()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// The first signal starts a graceful stop; a second one ends the process at once.
	context.AfterFunc(ctx, stop)
	go printStacks(signals.NotifyStacks())
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "sampleserver:", err)
		os.Exit(1)
	}
}

// parseFlags returns the options that the command line sets.
func parseFlags() sample.Options {
	var o sample.Options
	var kinds string
	flag.StringVar(&o.Name, "name", "", "name of the backend server, unique in the system")
	flag.StringVar(&o.Service, "service", "", "service that it serves")
	flag.StringVar(&kinds, "kinds", "", "kinds of task that it serves, separated by commas")
	flag.IntVar(&o.Slots, "slots", 8, "number of tasks that it runs at the same time")
	flag.IntVar(&o.Connections, "connections", 64, "number of connections that it accepts at the same time")
	flag.StringVar(&o.Listen, "listen", "127.0.0.1:0", "IP:port to serve on; port 0 chooses a free one")
	flag.StringVar(&o.Agent, "agent", "", "local IP:port of the agent")
	flag.Float64Var(&o.Speed, "speed", 1, "speed of the server; divides the run time of every task")
	flag.StringVar(&o.StartLog, "start-log", "", "file to which each start of a task is appended; empty means none")
	flag.BoolVar(&o.Faults.FailAll, "fail-all", false, "fault: end every task in an error")
	flag.BoolVar(&o.Faults.Hang, "hang", false, "fault: never answer a task")
	flag.BoolVar(&o.Faults.Instant, "instant", false, "fault: answer at once, whatever the run time of the task")
	flag.Float64Var(&o.Faults.Slow, "slow", 1, "fault: multiplies the run time of every task")
	flag.Parse()
	o.Kinds = strings.Split(kinds, ",")
	return o
}

// printStacks prints the stacks of all goroutines for each request.
func printStacks(requests <-chan os.Signal) {
	for range requests {
		fmt.Fprintln(os.Stderr, signals.Stacks())
	}
}

func run(ctx context.Context, o sample.Options) error {
	s, err := sample.New(o)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "sampleserver: %s serves on %s\n", o.Name, s.Address())
	return s.Run(ctx)
}
