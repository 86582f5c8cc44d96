package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["twice-herd"] = twiceHerd }

// twiceHerd: jobs run at an entry when one machine with a worker is suspended, and eight of the fourteen machines are killed: the entry, and the agents of
// two zones. The clients send their requests again, resendMs later, to the two entries that live on.
func twiceHerd(r *rig, _ bool) (bool, error) {
	if err := r.fleet(true); err != nil {
		return false, err
	}
	r.rewriteLinks()
	if err := r.startAll(); err != nil {
		return false, err
	}
	const count = 90
	entry, frozen := r.entries[0], r.inZone("right")[1]
	list := make([]*sent, count)
	var jobs sync.WaitGroup
	for i := range list {
		c := &sent{id: fmt.Sprintf("b%015x", i), body: `{"spec":"3500","bestEffort":true,"steps":[{"count":2,"cpu":1000,"memMb":16,"estimateMs":3500}]}`}
		c.secondAt = r.entries[1+i%2]
		list[i] = c
		jobs.Go(func() {
			c.first = r.call(entry, "POST", c.id, c.body, 10*time.Second)
			if c.first.status != 0 {
				return
			}
			time.Sleep(time.Until(c.first.at.Add(resend)))
			c.secondSent = time.Now()
			c.second = r.call(c.secondAt, "POST", c.id, c.body, 10*time.Second)
		})
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	resumed := make(chan error, 1)
	if has("suspend") {
		if err := frozen.suspend(); err != nil {
			return false, err
		}
		time.AfterFunc(freezeLength, func() { resumed <- frozen.resume() })
	} else {
		resumed <- nil
	}
	if has("kill") {
		time.Sleep(50 * time.Millisecond)
		r.restartKilled(append(r.nodesIn("left"), r.nodesIn("campus")[1:]...))
	}
	if err := <-resumed; err != nil {
		return false, err
	}
	jobs.Wait()
	time.Sleep(500 * time.Millisecond)
	return r.judgeTwice(list, frozen), nil
}

// nodesIn returns the processes of a zone, the entry first.
func (r *rig) nodesIn(zone string) []*node {
	var list []*node
	for _, n := range r.entries {
		if n.zone == zone {
			list = append(list, n)
		}
	}
	for _, v := range r.inZone(zone) {
		list = append(list, &v.node)
	}
	return list
}

// restartKilled kills the processes at once, and starts them again.
func (r *rig) restartKilled(list []*node) {
	for _, n := range list {
		r.note("SIGKILL to %s", n.name)
		n.signal(syscall.SIGKILL)
	}
	var again sync.WaitGroup
	for _, n := range list {
		again.Go(func() {
			n.mu.Lock()
			done := n.done
			n.mu.Unlock()
			<-done
			time.Sleep(restartDelay)
			if err := n.start(); err != nil {
				r.note("%s does not start: %s", n.name, err)
			}
		})
	}
	again.Wait()
	r.note("%d processes have been started again", len(list))
}
