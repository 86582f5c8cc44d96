package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// result is the result of a case: whether the rule was broken, and a line about it.
type result struct {
	broken bool
	text   string
}

var cases = map[string]func(d *deployment, trouble bool) (result, error){
	"cancel-elsewhere":  cancelElsewhere,
	"cancel-no-route":   cancelNoRoute,
	"cancel-resent":     cancelResent,
	"machine-suspended": machineSuspended,
	"term-waiting":      termWaiting,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return failed
	}
	file, err := os.Create(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer file.Close()
	rec := &record{out: file, started: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, disruption %v", *name, trouble)
	d, err := newDeployment(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer d.close()
	r, err := play(d, trouble)
	if err != nil {
		rec.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	verdict, code := "the rule held", held
	if r.broken {
		verdict, code = "THE RULE WAS BROKEN", broken
	}
	rec.printf("%s: %s", verdict, r.text)
	fmt.Printf("%s: %s\n", verdict, r.text)
	return code
}
