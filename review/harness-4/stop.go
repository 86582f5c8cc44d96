package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// stopsFor is how long entries are stopped and started again.
	stopsFor = 50 * time.Second
	// jobsPerStop jobs are sent to an entry from drainTime-lead after its SIGTERM on, one each jobGap, each by a caller of its own
	// over a connection that was opened before the SIGTERM.
	jobsPerStop = 130
	jobGap      = 20*time.Millisecond + 12*time.Microsecond
	drainTime   = 2500 * time.Millisecond
	lead        = 350 * time.Microsecond
	lossSlack   = 200 * time.Millisecond
	// stopGap is the least time between two SIGTERMs, gap_s of roll_term.
	stopGap = 1100 * time.Millisecond
	taskMS  = 5
)

// stopRun is the state of the case.
type stopRun struct {
	d       *deployment
	trouble bool

	pace     sync.Mutex // guards lastStop
	lastStop time.Time

	mu        sync.Mutex
	stops     int
	sent      int
	answers   map[int]int // by status
	uncounted int         // requests without an answer that do not count
	lost      int
}

// stopCase stops the three entries with SIGTERM again and again. Callers that have an open connection go on sending short jobs, 50 a
// second to each entry.
func stopCase(root string, rec *recorder, trouble bool) (int, error) {
	d, err := newDeployment(root, rec, 3, 6, 32000, config(2, route("r-a", hostName, "/jobs/", serviceName)))
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return 2, err
	}
	if !d.awaitReady(8 * time.Second) {
		return 2, errors.New("the entries are not ready")
	}
	s := &stopRun{d: d, trouble: trouble, answers: map[int]int{}}
	end := time.Now().Add(stopsFor)
	var group sync.WaitGroup
	for _, n := range d.entries {
		group.Go(func() {
			for time.Now().Before(end) {
				s.stopOnce(n)
			}
		})
	}
	group.Wait()
	return s.verdict(), nil
}

// stopOnce stops one entry and judges what its callers see.
func (s *stopRun) stopOnce(n *node) {
	for !n.isReady() {
		time.Sleep(50 * time.Millisecond)
	}
	conns := make([]net.Conn, 0, jobsPerStop)
	for range jobsPerStop {
		c, err := net.DialTimeout("tcp", n.front, time.Second)
		if err != nil {
			continue
		}
		conns = append(conns, c)
	}
	// Each caller has had an answer over its connection before.
	for _, c := range conns {
		s.submit(n, c, time.Time{})
	}
	time.Sleep(500 * time.Millisecond)
	n.mu.Lock()
	process, starts := n.cmd.Process, n.starts
	n.mu.Unlock()
	s.awaitTurn()
	term := time.Now()
	if s.trouble {
		n.signal(syscall.SIGTERM)
		time.AfterFunc(graceS*time.Second, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.starts == starts {
				_ = process.Kill()
			}
		})
	}
	s.mu.Lock()
	s.stops++
	s.mu.Unlock()
	var callers sync.WaitGroup
	runtime.LockOSThread()
	for i, c := range conns {
		waitUntil(term.Add(drainTime - lead + time.Duration(i)*jobGap))
		if !s.trouble && i == len(conns)/2 {
			for _, c := range conns[i:] {
				c.Close()
			}
			break
		}
		if n.startCount() != starts {
			for _, c := range conns[i:] {
				c.Close()
			}
			break
		}
		ready := make(chan struct{})
		callers.Go(func() { close(ready); s.submitAndClose(n, c, term) })
		<-ready
	}
	runtime.UnlockOSThread()
	callers.Wait()
}

// awaitTurn waits until the last SIGTERM is stopGap ago.
func (s *stopRun) awaitTurn() {
	s.pace.Lock()
	defer s.pace.Unlock()
	time.Sleep(time.Until(s.lastStop.Add(stopGap)))
	s.lastStop = time.Now()
}

func (n *node) startCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.starts
}

// waitUntil returns at the given time, within some microseconds.
func waitUntil(at time.Time) {
	if d := time.Until(at) - time.Millisecond; d > 0 {
		time.Sleep(d)
	}
	for time.Now().Before(at) {
	}
}

func (s *stopRun) submitAndClose(n *node, c net.Conn, term time.Time) {
	s.submit(n, c, term)
	c.Close()
}

// submit sends a job and reads its answer. term is the time of the entry's SIGTERM, or zero before it.
func (s *stopRun) submit(n *node, c net.Conn, term time.Time) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	body := fmt.Sprintf(`{"spec":"%d job","bestEffort":true,"steps":[{"count":1,"cpu":500,"memMb":64,"estimateMs":%d}]}`, taskMS, taskMS)
	text := fmt.Sprintf("POST /jobs/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nDeadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s", id, hostName, len(body), body)
	if _, err := c.Write([]byte(text)); err != nil {
		return
	}
	sent := time.Now()
	s.mu.Lock()
	s.sent++
	s.mu.Unlock()
	_ = c.SetReadDeadline(sent.Add(10 * time.Second))
	status, err := readAnswer(c)
	if err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.answers[status]++
		if !term.IsZero() {
			s.d.rec.printf("job %s, sent to %s %.4f s after its SIGTERM, is answered with %d after %.4f s", id, n.name, sent.Sub(term).Seconds(), status, time.Since(sent).Seconds())
		}
		return
	}
	s.unanswered(n, id, term, sent, err)
}

// readAnswer reads a complete answer and returns its status.
func readAnswer(c net.Conn) (int, error) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// unanswered judges a request that was sent whole and whose connection has ended without a complete answer: it counts if a worker has
// started a task of it, or if the connection lasts for longer than lossSlackMs after its last byte.
func (s *stopRun) unanswered(n *node, id string, term, sent time.Time, err error) {
	took := time.Since(sent)
	started := s.d.started(id)
	lost := !term.IsZero() && time.Since(term) <= (graceS+1)*time.Second && (started || took > lossSlack)
	s.mu.Lock()
	defer s.mu.Unlock()
	if lost {
		s.lost++
	} else {
		s.uncounted++
	}
	s.d.rec.printf("job %s, sent whole to %s %.4f s after its SIGTERM, gets NO ANSWER: the connection ends %.4f s later (%s); started at a worker: %t; breaks the rule: %t",
		id, n.name, sent.Sub(term).Seconds(), took.Seconds(), strings.TrimSpace(err.Error()), started, lost)
}

// started reports whether a worker has started a task of the job.
func (d *deployment) started(id string) bool {
	for _, w := range d.workers {
		w.mu.Lock()
		n := w.jobs[id]
		w.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}

func (s *stopRun) verdict() int {
	text := fmt.Sprintf("%d stops; %d jobs sent; answers by status: %v; no answer, but within the rule: %d; LOST: %d", s.stops, s.sent, s.answers, s.uncounted, s.lost)
	if !s.trouble {
		text = "without SIGTERM: " + text
	}
	s.d.rec.printf("%s", text)
	fmt.Println(text)
	if s.lost > 0 {
		return 1
	}
	return 0
}
