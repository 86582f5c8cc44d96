package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	cancelledJobs  = 12
	cancelTime     = 3 * time.Second // cancel_ms
	copyAfter      = 5500 * time.Millisecond
	cancelledSteps = `{"spec":"4000 job","bestEffort":true,"steps":[{"count":1,"cpu":2000,"memMb":64,"estimateMs":4000}]}`
)

// cancelledJob is a job that its client cancels.
type cancelledJob struct {
	id    string
	entry int
	acked time.Time // when the DELETE was answered with 2xx or 410; zero if it was not
}

// cancelledCase cancels jobs, kills all processes, and sends a copy of each job's request some seconds after its answer.
func cancelledCase(root string, rec *recorder, trouble bool) (int, error) {
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
	time.Sleep(2 * time.Second)
	jobs := make([]*cancelledJob, cancelledJobs)
	var clients sync.WaitGroup
	for i := range jobs {
		j := &cancelledJob{id: fmt.Sprintf("%016x", rand.Uint64()), entry: i % len(d.entries)}
		jobs[i] = j
		clients.Go(func() { d.call("POST", j, d.entries[j.entry], cancelledSteps) })
	}
	time.Sleep(time.Second)
	for _, j := range jobs {
		if status := d.call("DELETE", j, d.entries[j.entry], ""); status >= 200 && status < 300 || status == 410 {
			j.acked = time.Now()
		}
	}
	clients.Wait()
	began := time.Now()
	time.Sleep(500 * time.Millisecond)
	if trouble {
		for _, n := range append(append([]*node(nil), d.entries...), d.agents...) {
			n.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(time.Until(began.Add(copyAfter)))
	rec.printf("copies of the requests arrive")
	for _, j := range jobs {
		clients.Go(func() { d.call("POST", j, d.entries[(j.entry+1)%len(d.entries)], cancelledSteps) })
	}
	clients.Wait()
	broken := 0
	for _, j := range jobs {
		if at := d.lastStart(j.id); !j.acked.IsZero() && at.Sub(j.acked) > cancelTime {
			broken++
			rec.printf("job %s starts %.2f s after its cancelling was acknowledged", j.id, at.Sub(j.acked).Seconds())
		}
	}
	text := fmt.Sprintf("cancelled jobs that started later than cancel_ms after the acknowledgement: %d of %d", broken, len(jobs))
	rec.printf("%s", text)
	fmt.Println(text)
	if broken > 0 {
		return 1, nil
	}
	return 0, nil
}

// call sends a request for a job and returns the status of the answer, or 0.
func (d *deployment) call(method string, j *cancelledJob, n *node, body string) int {
	c, err := net.DialTimeout("tcp", n.front, time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	fmt.Fprintf(c, "%s /jobs/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nDeadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n%s", method, j.id, hostName, len(body), body)
	_ = c.SetReadDeadline(time.Now().Add(9 * time.Second))
	status, err := readAnswer(c)
	if err != nil {
		status = 0
	}
	d.rec.printf("%s %s at %s is answered with %d", method, j.id, n.name, status)
	return status
}

// lastStart returns when a task of the job started last.
func (d *deployment) lastStart(id string) time.Time {
	var last time.Time
	for _, w := range d.workers {
		w.mu.Lock()
		for _, s := range w.spans {
			if s.task[:len(id)] == id && s.began.After(last) {
				last = s.began
			}
		}
		w.mu.Unlock()
	}
	return last
}
