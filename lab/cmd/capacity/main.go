// Command capacity measures the CPU time, memory and traffic of the processes of the system as their
// number, state and load grow. It prints tables with the slopes from which docs/CAPACITY.md is
// computed. It starts the programs of the project itself and kills them by process ID. It is a tool for
// development and not part of the product.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// options holds the command-line options that all measurements share.
type options struct {
	bin    string
	kinds  []string
	sizes  []int
	window time.Duration
	// agents is the number of stand-in agents in measurements whose size is another quantity.
	agents int
}

// measurement is a subcommand with its description and its default sizes. A size is the quantity that the
// measurement varies; in the description it is called SIZES.
type measurement struct {
	name, description string
	sizes             []int
	run               func(options) error
}

func measurements() []measurement {
	return []measurement{
		{"entry", "an idle entry with SIZES stand-in agents", []int{0, 50, 200, 880}, measureEntry},
		{"agent", "an idle agent with SIZES entries", []int{1, 2, 4, 8}, measureAgent},
		{"peers", "an idle entry in a table of SIZES entries, and its store calls", []int{1, 2, 4, 8}, measurePeers},
		{"load", "SIZES tasks through two entries and two agents", []int{1000, 5000, 10000}, measureLoad},
		{"queue", "SIZES queued tasks at one entry, and a quarter as many ended submissions", []int{10000, 20000, 40000}, measureQueue},
		{"config", "configuration changes with SIZES stand-in agents", []int{50, 200, 880}, measureConfig},
		{"claim", "loss of one of two entries with SIZES start records at the agents", []int{10000, 100000, 450000}, measureClaim},
		{"loss", "loss of SIZES of ten entries at once", []int{1, 2, 4}, measureLoss},
		{"state", "memory of SIZES records in the packages under dispatch/, in this process", []int{10000, 50000, 200000}, measureState},
	}
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == standInCommand {
		exit(runStandIn(os.Args[2:]))
	}
	exit(run(os.Args[1:]))
}

func exit(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
	os.Exit(0)
}

// run runs the measurement named by the arguments.
func run(args []string) error {
	flags := flag.NewFlagSet("capacity", flag.ContinueOnError)
	bin := flags.String("bin", "bin", "directory of the programs poplargwd, sampleserver and standinstore")
	kinds := flags.String("kinds", "tcp,quic", "kinds of transport, separated by commas")
	sizes := flags.String("sizes", "", "sizes to measure, separated by commas; empty means the defaults of the measurement")
	window := flags.Duration("window", 10*time.Second, "how long an idle process is measured")
	agents := flags.Int("agents", 100, "number of stand-in agents of the measurements claim and loss")
	flags.Usage = func() { usage(flags) }
	if err := flags.Parse(args); err != nil {
		return err
	}
	for _, m := range measurements() {
		if m.name != flags.Arg(0) {
			continue
		}
		o := options{bin: *bin, kinds: strings.Split(*kinds, ","), sizes: m.sizes, window: *window, agents: *agents}
		if *sizes != "" {
			var err error
			if o.sizes, err = parseInts(*sizes); err != nil {
				return err
			}
		}
		return m.run(o)
	}
	flags.Usage()
	return errors.New("unknown or missing measurement")
}

func usage(flags *flag.FlagSet) {
	fmt.Fprintln(flags.Output(), "usage: capacity [flags] MEASUREMENT")
	for _, m := range measurements() {
		fmt.Fprintf(flags.Output(), "  %-8s%s (default %v)\n", m.name, m.description, m.sizes)
	}
	flags.PrintDefaults()
}

// parseInts parses integers that are separated by commas.
func parseInts(list string) ([]int, error) {
	var out []int
	for _, s := range strings.Split(list, ",") {
		n, err := strconv.Atoi(s)
		if err != nil {
			return nil, err
		}
		out = append(out, n)
	}
	return out, nil
}
