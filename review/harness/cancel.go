package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The zones of the deployment: one entry each, as on the small sites.
const (
	tanta    = "delta-tanta"
	mansura  = "delta-mansura"
	deadline = 40 * time.Second
	// steps is the length of a job of which one task of a second runs after the other.
	steps = 20
	// margin is added to each bound for the delays of this machine.
	margin = 500 * time.Millisecond
)

// startSmall starts two entries in two zones and two workers in each.
func startSmall(d *deployment) error {
	d.putConfig(7, true)
	for _, zone := range []string{tanta, mansura} {
		if err := d.addFront("front-"+zone+"-1", zone); err != nil {
			return err
		}
		for i := 1; i <= 2; i++ {
			if err := d.addWorker(fmt.Sprintf("side-%s-%d", zone, i), zone, 8000); err != nil {
				return err
			}
		}
	}
	return d.start()
}

// startsLate returns the runs of a job that started later than cancelMs after its cancelling was acknowledged, or had
// waited ackMs for that.
func startsLate(d *deployment, id string, sent time.Time, ack answer) []runOn {
	from := sent.Add(ackMs * time.Millisecond)
	if ack.status >= 200 && ack.status < 300 || ack.status == http.StatusGone {
		from = ack.at
	}
	var late []runOn
	for _, s := range d.starts(id) {
		if s.Started.After(from.Add(cancelMs*time.Millisecond + margin)) {
			late = append(late, s)
		}
	}
	return late
}

// judgeCancel waits until the job could have gone on for long enough, and judges UNASKED.
func judgeCancel(d *deployment, id string, sent time.Time, ack answer) result {
	time.Sleep(time.Until(sent.Add((ackMs+cancelMs)*time.Millisecond + 4*time.Second)))
	d.recordRuns(id)
	late := startsLate(d, id, sent, ack)
	if len(late) == 0 {
		return result{text: fmt.Sprintf("UNASKED: no task of %s started later than cancel_ms after its cancelling (%s)", id, ack)}
	}
	last := late[len(late)-1]
	for _, s := range late {
		if s.Started.After(last.Started) {
			last = s
		}
	}
	return result{broken: true, text: fmt.Sprintf("UNASKED: %d tasks of %s started later than cancel_ms after its cancelling, answered %q; the last one %.1f s after the DELETE was sent",
		len(late), id, ack, last.Started.Sub(sent).Seconds())}
}

// cancelElsewhere: a client submits a job, moves to another zone, and cancels the job from there. The job's request
// stays open at the entry of the former zone.
func cancelElsewhere(d *deployment, trouble bool) (result, error) {
	if err := startSmall(d); err != nil {
		return result{}, err
	}
	const moved, stays = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
	var clients sync.WaitGroup
	for client, id := range map[string]string{"client-1": moved, "client-2": stays} {
		clients.Go(func() { d.request(client, tanta, http.MethodPost, prefix+id, chain(steps), deadline) })
	}
	time.Sleep(2 * time.Second)
	if len(d.starts(moved)) == 0 || len(d.starts(stays)) == 0 {
		return result{}, fmt.Errorf("the jobs have not begun")
	}
	zone := tanta
	if trouble {
		zone = mansura
		d.rec.printf("shift: client-1, half of the clients of %s, moves to %s", tanta, mansura)
	}
	time.Sleep(time.Second)
	sent := time.Now()
	ack := d.request("client-1", zone, http.MethodDelete, prefix+moved, "", 5*time.Second)
	control := d.request("client-2", tanta, http.MethodDelete, prefix+stays, "", 5*time.Second)
	r := judgeCancel(d, moved, sent, ack)
	if c := startsLate(d, stays, sent, control); len(c) > 0 {
		return result{}, fmt.Errorf("the job of the client that stayed was not stopped either")
	}
	d.cancel() // the client still waits for the answer to its POST
	clients.Wait()
	return r, nil
}

// cancelNoRoute: the operator removes a route while a job runs on it; then its client cancels the job.
func cancelNoRoute(d *deployment, trouble bool) (result, error) {
	if err := startSmall(d); err != nil {
		return result{}, err
	}
	const id = "5c0e7a21d94b36f8"
	var clients sync.WaitGroup
	clients.Go(func() { d.request("client-1", tanta, http.MethodPost, prefix+id, chain(steps), deadline) })
	time.Sleep(time.Second)
	if len(d.starts(id)) == 0 {
		return result{}, fmt.Errorf("the job has not begun")
	}
	if trouble {
		d.putConfig(9, false)
	}
	time.Sleep((configMs + 500) * time.Millisecond)
	// The client asks again until it is answered or ackMs have passed.
	sent, ack := time.Now(), answer{}
	for {
		ack = d.request("client-1", tanta, http.MethodDelete, prefix+id, "", 5*time.Second)
		acknowledged := ack.status == http.StatusOK || ack.status == http.StatusGone
		if acknowledged || time.Since(sent) > ackMs*time.Millisecond {
			break
		}
		time.Sleep(time.Second)
	}
	r := judgeCancel(d, id, sent, ack)
	d.cancel()
	clients.Wait()
	return r, nil
}

// cancelResent: one of four clients cancels its job. The POST, which is still open, is answered 504, after which the pages have
// the client send the job again.
func cancelResent(d *deployment, trouble bool) (result, error) {
	if err := startSmall(d); err != nil {
		return result{}, err
	}
	const id = "5c0e7a21d94b36f8"
	var clients sync.WaitGroup
	clients.Go(func() { d.submitAndResend("client-1", tanta, id) })
	for i, zone := range []string{tanta, mansura, mansura} {
		clients.Go(func() { d.submitAndResend(fmt.Sprintf("client-%d", i+2), zone, fmt.Sprintf("6d0e7a21d94b36f%d", i)) })
	}
	time.Sleep(2 * time.Second)
	if len(d.starts(id)) == 0 {
		return result{}, fmt.Errorf("the job has not begun")
	}
	if !trouble {
		time.Sleep(6 * time.Second)
		d.recordRuns(id)
		seen := map[string]bool{}
		for _, s := range d.starts(id) {
			if seen[s.Task] {
				return result{}, fmt.Errorf("%s has run again", s.Task)
			}
			seen[s.Task] = true
		}
		d.cancel()
		clients.Wait()
		return result{text: "UNASKED: nothing was cancelled, and no task ran again"}, nil
	}
	sent := time.Now()
	ack := d.request("client-1", tanta, http.MethodDelete, prefix+id, "", 5*time.Second)
	r := judgeCancel(d, id, sent, ack)
	d.cancel()
	clients.Wait()
	return r, nil
}

// submitAndResend submits a job and sends it again as the pages say: resendMs after no answer, 502 or 504.
func (d *deployment) submitAndResend(client, zone, id string) {
	for end := time.Now().Add(deadline); time.Now().Before(end) && d.ctx.Err() == nil; {
		a := d.request(client, zone, http.MethodPost, prefix+id, chain(steps), time.Until(end))
		if a.status != 0 && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
			return
		}
		sleep(d.ctx, resendMs*time.Millisecond)
	}
}
