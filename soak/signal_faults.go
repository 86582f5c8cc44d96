package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// restartLimit is how long a fault waits for a process to exit and start again. It exceeds graceS in the
// settings, which bounds how long a process drains.
const restartLimit = 8 * time.Second

// signalStep is a signal and the pause before it, drawn from [0, pause).
type signalStep struct {
	pause  time.Duration
	signal syscall.Signal
}

// signalSeries lists the series of signals that one process receives.
var signalSeries = [][]signalStep{
	{{time.Millisecond, syscall.SIGHUP}, {100 * time.Millisecond, syscall.SIGHUP}, {100 * time.Millisecond, syscall.SIGTERM}},
	{{time.Millisecond, syscall.SIGTERM}, {2500 * time.Millisecond, syscall.SIGKILL}},
	{{time.Millisecond, syscall.SIGTERM}, {300 * time.Millisecond, syscall.SIGTERM}, {300 * time.Millisecond, syscall.SIGHUP}},
	{{time.Millisecond, syscall.SIGTERM}, {300 * time.Millisecond, syscall.SIGHUP}, {time.Second, syscall.SIGKILL}},
}

// signalInSeries sends a random series of signals to one process while the configuration changes one to three
// times. In every other case the series begins while the process starts up after a kill.
func (d *deployment) signalInSeries(r *rand.Rand) {
	n := d.anyNode(r)
	changes := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for range 1 + changes.IntN(3) {
			d.publishConfig()
			time.Sleep(randomDuration(changes, 0, 200*time.Millisecond))
		}
	}()
	if r.IntN(2) == 0 {
		before := n.incarnation()
		n.signal(syscall.SIGKILL)
		n.awaitRestart(before, restartLimit)
		time.Sleep(randomDuration(r, 0, 60*time.Millisecond))
	}
	for _, s := range pick(r, signalSeries) {
		time.Sleep(randomDuration(r, 0, s.pause))
		n.signal(s.signal)
	}
	wg.Wait()
}

// errUsed is the error of a client that would need a second connection.
var errUsed = errors.New("the connection has ended")

// singleConnectionClient returns a client that opens one connection, to the process of an entry without the proxy, and
// fails when that has ended.
func singleConnectionClient(e *node) *http.Client {
	used := false
	dial := func(ctx context.Context, network, _ string) (net.Conn, error) {
		if used {
			return nil, errUsed
		}
		used = true
		return (&net.Dialer{}).DialContext(ctx, network, e.frontAddr)
	}
	return &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DialContext: dial}}
}

// useConnectionsToTheEnd submits jobs on several connections to one entry, one after the other on each, while
// the entry is stopped, until each connection has ended.
func (d *deployment) useConnectionsToTheEnd(r *rand.Rand) {
	e := pick(r, d.entries)
	ctx, cancel := context.WithTimeout(context.Background(), restartLimit)
	defer cancel()
	var wg sync.WaitGroup
	for range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := singleConnectionClient(e)
			defer client.CloseIdleConnections()
			for ctx.Err() == nil && d.callers.submitOnce(client, e, fmt.Sprintf(`{"spec":"30","bestEffort":true,"steps":[{"count":1,"cpu":%d,"memMb":64,"estimateMs":30}]}`, taskCPU)) {
			}
		}()
	}
	time.Sleep(randomDuration(r, 50*time.Millisecond, 300*time.Millisecond))
	e.signal(syscall.SIGTERM)
	if r.IntN(3) == 0 {
		time.Sleep(randomDuration(r, 100*time.Millisecond, 2*time.Second))
		e.signal(syscall.SIGKILL)
	}
	wg.Wait()
}
