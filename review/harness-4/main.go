// Command review4 runs the cases of review/REPORT-4.md that are scripts. It starts the project's own programs on loopback
// addresses and plays clients, workers, the operator and the platform.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review4 CASE ROOT FOLDER")
		os.Exit(2)
	}
	cases := map[string]func(string, *recorder, bool) (int, error){"stop": stopCase, "config": configCase, "fleet": fleetCase, "herd": herdCase, "cancelled": cancelledCase}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	rec, err := newRecorder(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	code, err := run(os.Args[2], rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = 2
	}
	os.Exit(code)
}
