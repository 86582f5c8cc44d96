// Command harness-2 plays the scripts of the second review. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
	"time"
)

const (
	// cancelBound is cancel_ms of the settings.
	cancelBound = 3 * time.Second
	// contactBound is contactMs, after which machines are in touch again.
	contactBound = 3 * time.Second
	// cutLength is for_s of zone_cut in the site file.
	cutLength = 5500 * time.Millisecond
	// suspension is for how long a machine is suspended.
	suspension = 4 * time.Second
)

// play is a case: it returns what broke the rule, or nothing. trouble is false for a run without the disruption.
type play struct {
	setup func(r *rig) error
	run   func(r *rig, trouble bool) ([]string, error)
}

var plays = map[string]play{
	"late-copy":   {plain, lateCopy},
	"lost-answer": {plain, lostAnswer},
	"cut-owner":   {func(r *rig) error { return r.prepare(2, 4, true) }, cutOwner},
	"suspended":   {func(r *rig) error { return r.prepare(2, 4, true) }, suspended},
	"cut-zone":    {func(r *rig) error { return r.prepare(2, 6, true) }, cutZone},
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE RECORD")
		return 2
	}
	p, ok := plays[os.Args[1]]
	file, err := os.Create(os.Args[2])
	if !ok || err != nil {
		fmt.Fprintln(os.Stderr, "no such case, or the record cannot be written:", err)
		return 2
	}
	defer file.Close()
	rec := &recorder{out: io.MultiWriter(file, os.Stdout), begun: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, with the disruption: %v", os.Args[1], trouble)
	r, err := newRig(rec)
	if err == nil {
		defer r.close()
		go r.closeOnSignal()
		err = p.setup(r)
	}
	var broken []string
	if err == nil {
		err = r.startAll()
	}
	if err == nil {
		broken, err = p.run(r, trouble)
	}
	if err != nil {
		rec.log("the case could not run: %v", err)
		return 2
	}
	for _, b := range broken {
		rec.log("BROKEN: %s", b)
	}
	if len(broken) > 0 {
		return 1
	}
	rec.log("the rule held")
	return 0
}

// plain prepares two entries and three workers.
func plain(r *rig) error { return r.prepare(2, 3, false) }

// prepare prepares entries and workers in three zones, with proxies between the entries and the agents if withProxy is set.
func (r *rig) prepare(entries, workers int, withProxy bool) error {
	var err error
	for i := range workers {
		err = errors.Join(err, r.addWorker(16000, []string{"a", fmt.Sprintf("r1-%d", i+1)}, withProxy))
	}
	for range entries {
		err = errors.Join(err, r.addEntry())
	}
	return err
}

// unasked returns the starts of a cancelled job that are later than the bound after the acknowledgement, and the tasks that
// are still at work then.
func (r *rig) unasked(id string, acknowledged time.Time) []string {
	var broken []string
	limit := acknowledged.Add(cancelBound)
	for _, s := range r.startsOf(id) {
		switch {
		case s.at.After(limit):
			broken = append(broken, fmt.Sprintf("UNASKED: %s started task %s run %d %d ms after the cancelling of its job was acknowledged",
				s.worker, s.task, s.run, s.at.Sub(acknowledged).Milliseconds()))
		case s.ended.IsZero() || s.ended.After(limit.Add(100*time.Millisecond)):
			broken = append(broken, fmt.Sprintf("UNASKED: %s was still at work on task %s run %d more than cancel_ms and stopMs after the cancelling of its job was acknowledged",
				s.worker, s.task, s.run))
		}
	}
	return broken
}

// awaitStart waits until the job has a number of starts.
func (r *rig) awaitStart(id string, n int, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if len(r.startsOf(id)) >= n {
			return nil
		}
	}
	return fmt.Errorf("job %s has no %d starts within %v", id, n, limit)
}

// lateCopy: a job is cancelled and its request answered with 2xx; seconds later the same request arrives again, at another
// entry.
func lateCopy(r *rig, trouble bool) ([]string, error) {
	id, body := newID(), jobBody(2, 2500)
	first := r.submit(r.entries[0], r.entries[0].front, id, body, 11*time.Second)
	if err := r.awaitStart(id, 1, 3*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond)
	c := r.cancel(r.entries[0], id)
	if c.status/100 != 2 && c.status != 410 {
		return nil, fmt.Errorf("the cancelling was answered with %d", c.status)
	}
	if a := <-first; a.status/100 != 2 {
		return nil, fmt.Errorf("the job was answered with %d", a.status)
	}
	time.Sleep(4 * time.Second)
	if trouble {
		<-r.submit(r.entries[1], r.entries[1].front, id, body, 8*time.Second)
	}
	time.Sleep(time.Second)
	return r.unasked(id, c.at), nil
}

// lostAnswer: a job completes and its answer is lost with the connection, so the client sends it again, to another entry, and
// cancels it there by way of the first one.
func lostAnswer(r *rig, trouble bool) ([]string, error) {
	// The platform forwards the client's connection to the entry.
	ingress, err := newProxy("127.0.0.1", r.entries[0].front)
	if err != nil {
		return nil, err
	}
	id, body := newID(), jobBody(3, 2000)
	ingress.setResetAnswer(trouble)
	a := <-r.submit(r.entries[0], ingress.addr(), id, body, 11*time.Second)
	ingress.setResetAnswer(false)
	if trouble {
		if a.status != 0 {
			return nil, fmt.Errorf("the first answer was not lost: %d", a.status)
		}
		time.Sleep(1300 * time.Millisecond)
		r.submit(r.entries[1], r.entries[1].front, id, body, 11*time.Second)
		if err := r.awaitStart(id, 4, 3*time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	c := r.cancel(r.entries[0], id)
	if c.status/100 != 2 && c.status != 410 {
		return nil, fmt.Errorf("the cancelling was answered with %d", c.status)
	}
	time.Sleep(cancelBound + 4*time.Second)
	return r.unasked(id, c.at), nil
}

// cutOwner: the entry that has a job is cut off from all agents, and leaves the rotation. The job is cancelled by way of the
// other entry. Then the cut heals.
func cutOwner(r *rig, trouble bool) ([]string, error) {
	owner, other := r.entries[0], r.entries[1]
	id, body := newID(), jobBody(8, 1500)
	r.submit(owner, owner.front, id, body, 20*time.Second)
	if err := r.awaitStart(id, 1, 3*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		r.rec.log("%s is cut off from all agents", owner.name)
		for _, p := range r.linkProxies {
			p.cut(owner.name)
		}
	}
	time.Sleep(2500 * time.Millisecond)
	if trouble && r.isReady(owner) {
		return nil, errors.New("the entry that was cut off still says that it is ready")
	}
	c := r.cancel(other, id)
	if c.status/100 != 2 && c.status != 410 {
		return nil, fmt.Errorf("the cancelling was answered with %d", c.status)
	}
	time.Sleep(1500 * time.Millisecond)
	healed := time.Now()
	if trouble {
		r.rec.log("the cut of %s heals", owner.name)
		for _, p := range r.linkProxies {
			p.cut("")
		}
	}
	time.Sleep(11 * time.Second)
	var broken []string
	for _, s := range r.startsOf(id) {
		// The machine is in touch again contactMs after the cut.
		if s.at.After(c.at.Add(cancelBound)) && s.at.After(healed.Add(contactBound)) {
			broken = append(broken, fmt.Sprintf("UNASKED: %s started task %s run %d %d ms after the cancelling of its job was acknowledged, %d ms after the cut",
				s.worker, s.task, s.run, s.at.Sub(c.at).Milliseconds(), s.at.Sub(healed).Milliseconds()))
		}
	}
	return broken, nil
}

// cutZone: jobs run at an entry of one zone. Another zone is partitioned from the others, and clients still reach it. The jobs
// are cancelled by way of the entry there. Then the partition heals.
func cutZone(r *rig, trouble bool) ([]string, error) {
	inside, owner := r.entries[0], r.entries[1]
	var ids []string
	for range 12 {
		id := newID()
		ids = append(ids, id)
		r.submit(owner, owner.front, id, jobBody(11, 1500), 20*time.Second)
		if err := r.awaitStart(id, 1, 3*time.Second); err != nil {
			return nil, err
		}
	}
	cut := time.Now()
	if trouble {
		r.rec.log("zone %s is partitioned from the others", zones[0])
		for i, p := range r.linkProxies {
			if r.workers[i].zone == zones[0] {
				p.cut(owner.name)
			} else {
				p.cut(inside.name)
			}
		}
	}
	time.Sleep(1500 * time.Millisecond)
	if !r.isReady(inside) {
		return nil, errors.New("the entry of the zone has left the rotation")
	}
	r.rec.log("%s says that it is ready", inside.name)
	cancelled := map[string]time.Time{}
	for _, id := range ids {
		c := r.cancel(inside, id)
		if c.status/100 == 2 || c.status == 410 {
			cancelled[id] = c.at
		}
	}
	time.Sleep(time.Until(cut.Add(cutLength)))
	healed := time.Now()
	if trouble {
		r.rec.log("the partition heals")
		for _, p := range r.linkProxies {
			p.cut("")
		}
	}
	time.Sleep(8 * time.Second)
	var broken []string
	for _, id := range ids {
		at, ok := cancelled[id]
		if !ok {
			r.rec.log("the cancelling of %s was not acknowledged", id)
			continue
		}
		for _, s := range r.startsOf(id) {
			// All machines are in touch again contactMs after the partition.
			if s.at.After(at.Add(cancelBound)) && s.at.After(healed.Add(contactBound)) {
				broken = append(broken, fmt.Sprintf("UNASKED: %s started task %s run %d %d ms after the cancelling of its job was acknowledged, %d ms after the partition",
					s.worker, s.task, s.run, s.at.Sub(at).Milliseconds(), s.at.Sub(healed).Milliseconds()))
			}
		}
	}
	return broken, nil
}

// suspended: a task runs on a machine that is suspended for some seconds. Meanwhile the entry that has the job is killed, and the
// client sends the job again, to the other entry.
func suspended(r *rig, trouble bool) ([]string, error) {
	owner, other := r.entries[0], r.entries[1]
	id, body := newID(), jobBody(1, 6000)
	first := r.submit(owner, owner.front, id, body, 15*time.Second)
	if err := r.awaitStart(id, 1, 3*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	var at int
	for i, w := range r.workers {
		if len(w.startsOf(id)) > 0 {
			at = i
		}
	}
	w := r.workers[at]
	if trouble {
		r.rec.log("the machine of %s is suspended", w.name)
		r.agents[at].signal(syscall.SIGSTOP)
		w.suspend(true)
		r.linkProxies[at].suspend(true)
	}
	time.Sleep(300 * time.Millisecond)
	r.rec.log("%s is killed", owner.name)
	owner.signal(syscall.SIGKILL)
	if a := <-first; a.status != 0 {
		return nil, fmt.Errorf("the job was answered with %d", a.status)
	}
	time.Sleep(1300 * time.Millisecond)
	second := r.submit(other, other.front, id, body, 15*time.Second)
	time.Sleep(suspension - 1600*time.Millisecond)
	goesOn := time.Now()
	if trouble {
		r.rec.log("the machine of %s goes on", w.name)
		w.suspend(false)
		r.linkProxies[at].suspend(false)
		r.agents[at].signal(syscall.SIGCONT)
	}
	<-second
	time.Sleep(500 * time.Millisecond)
	return twice(r.startsOf(id), goesOn), nil
}

// twice returns the pairs of runs of one task that were at work at the same time, later than the given time: what a worker had
// in progress while its machine was suspended does not count.
func twice(runs []started, since time.Time) []string {
	end := func(s started) time.Time {
		if s.ended.IsZero() {
			return time.Now()
		}
		return s.ended
	}
	var broken []string
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			from, to := since, end(a)
			for _, t := range []time.Time{a.at, b.at} {
				if t.After(from) {
					from = t
				}
			}
			if end(b).Before(to) {
				to = end(b)
			}
			if a.task == b.task && from.Before(to) {
				broken = append(broken, fmt.Sprintf("TWICE: task %s: run %d on %s and run %d on %s were at work at the same time for %d ms",
					a.task, a.run, a.worker, b.run, b.worker, to.Sub(from).Milliseconds()))
			}
		}
	}
	return broken
}
