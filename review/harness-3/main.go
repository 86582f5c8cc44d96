// Command harness-3 plays the scripts of this review: it starts the project's programs as separate processes on loopback addresses, and
// plays clients, workers and the platform's store.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(*rig, bool) (broken bool, err error){}

// has reports whether the script plays one of its disruptions: TROUBLE=0 leaves all of them out, and TROUBLE=NAME all but one.
func has(name string) bool {
	value := os.Getenv("TROUBLE")
	return value != "0" && (value == "" || value == "1" || value == name)
}

func main() {
	play := cases[os.Args[1]]
	if play == nil || len(os.Args) != 3 {
		fmt.Println("usage: harness-3 CASE DIRECTORY")
		os.Exit(2)
	}
	r, err := newRig(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	limit := time.AfterFunc(115*time.Second, func() {
		r.note("the script took too long")
		r.closeAll()
		os.Exit(2)
	})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		r.closeAll()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("trouble: %t", trouble)
	broken, err := play(r, trouble)
	limit.Stop()
	if err != nil {
		r.note("could not run: %s", err)
		fmt.Println("could not run:", err)
	} else {
		r.note("rule broken: %t", broken)
		fmt.Println("rule broken:", broken)
	}
	r.closeAll()
	switch {
	case err != nil:
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
