// Command standinstore serves an in-memory key-value store over HTTP, by the protocol of the store
// of a deployment, in tests and demonstrations.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"poplargw.example/store"
)

// shutdownTimeout bounds the graceful shutdown: after it, connections with waiting watches are closed.
const shutdownTimeout = time.Second

func main() {
	listen := flag.String("listen", "127.0.0.1:7400", "address to listen on, as IP:port")
	flag.Parse()
	stackRequests := make(chan os.Signal, 1)
	signal.Notify(stackRequests, syscall.SIGUSR1)
	go printStacks(stackRequests)
	if flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "standinstore: unexpected argument %q\n", flag.Arg(0))
		os.Exit(2)
	}
	if err := run(*listen); err != nil {
		fmt.Fprintf(os.Stderr, "standinstore: %v\n", err)
		os.Exit(1)
	}
}

// maxStacksSize bounds the text of the stacks.
const maxStacksSize = 1 << 20

// printStacks prints the stacks of all goroutines for each request.
func printStacks(requests <-chan os.Signal) {
	buf := make([]byte, maxStacksSize)
	for range requests {
		fmt.Fprintf(os.Stderr, "%s\n", buf[:runtime.Stack(buf, true)])
	}
}

func run(listen string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	s := &http.Server{
		Addr:              listen,
		Handler:           store.NewServer(store.NewMemory()),
		ReadHeaderTimeout: 5 * time.Second,
	}
	failed := make(chan error, 1)
	go func() { failed <- s.ListenAndServe() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.Shutdown(shutdownCtx); errors.Is(err, context.DeadlineExceeded) {
		return s.Close()
	} else if err != nil {
		return err
	}
	return nil
}
