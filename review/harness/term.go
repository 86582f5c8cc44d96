package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// termWaiting: the workers are busy with jobs of the other entry. A job waits at an entry that gets SIGTERM. Its
// deadline and its route's timeout are far off.
func termWaiting(d *deployment, trouble bool) (result, error) {
	d.putConfig(7, true)
	for _, zone := range []string{tanta, mansura} {
		if err := d.addFront("front-"+zone+"-1", zone); err != nil {
			return result{}, err
		}
		if err := d.addWorker("side-"+zone+"-1", zone, 4000); err != nil {
			return result{}, err
		}
	}
	if err := d.start(); err != nil {
		return result{}, err
	}
	const busy, waits = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
	const busyFor = 12 * time.Second
	var clients sync.WaitGroup
	clients.Go(func() {
		d.request("client-2", mansura, http.MethodPost, prefix+busy, single(2, 4000, busyFor), deadline)
	})
	time.Sleep(time.Second)
	if n := len(d.starts(busy)); n != 2 {
		return result{}, fmt.Errorf("%d tasks run, not 2", n)
	}
	var a answer
	var sent time.Time
	clients.Go(func() {
		sent = time.Now()
		a = d.request("client-1", tanta, http.MethodPost, prefix+waits, single(1, 4000, 4*time.Second), deadline)
	})
	time.Sleep(time.Second)
	entry := d.frontFor(tanta)
	var stopped time.Time
	if trouble {
		stopped = time.Now()
		entry.proc.terminate()
	}
	clients.Wait()
	d.recordRuns(busy)
	d.recordRuns(waits)
	if a.status != 0 {
		return result{text: fmt.Sprintf("LOST: the request was answered %.1f s after it was sent: %s", a.at.Sub(sent).Seconds(), a)}, nil
	}
	if !trouble {
		return result{}, fmt.Errorf("the request was not answered without a disruption: %s", a)
	}
	if after := a.at.Sub(stopped); after > (graceS+1)*time.Second {
		return result{text: fmt.Sprintf("LOST: the connection ended %.1f s after SIGTERM, which does not count as planned work", after.Seconds())}, nil
	}
	return result{broken: true, text: fmt.Sprintf("LOST: the entry read the request, and its connection ended without an answer %.1f s after it was sent and %.1f s after SIGTERM; %d tasks of it had started, %.0f s of its deadline were left",
		a.at.Sub(sent).Seconds(), a.at.Sub(stopped).Seconds(), len(d.starts(waits)), (deadline - a.at.Sub(sent)).Seconds())}, nil
}
