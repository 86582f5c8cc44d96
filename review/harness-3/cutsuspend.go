package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["twice-cut"] = twiceCut }

// twiceCut: a zone is cut from the others while clients still reach it. Jobs run there, and one of its machines with a worker is suspended. The jobs
// with a task on it are answered 504 at their deadline, and their clients send them again, resendMs later, to the entry of another zone.
func twiceCut(r *rig, _ bool) (bool, error) {
	if err := r.fleet(true); err != nil {
		return false, err
	}
	r.rewriteLinks()
	if err := r.startAll(); err != nil {
		return false, err
	}
	const count = 24
	entry, other, frozen := r.entries[0], r.entries[1], r.inZone("left")[1]
	var faults sync.WaitGroup
	var resumeErr error
	if has("cut") {
		r.cutZone("left", true)
		faults.Go(func() {
			time.Sleep(cutLength)
			r.cutZone("left", false)
		})
	}
	time.Sleep(cutBefore)
	list := make([]*sent, count)
	var jobs sync.WaitGroup
	for i := range list {
		c := &sent{id: fmt.Sprintf("a%015x", i), body: `{"spec":"1400","bestEffort":true,"steps":[{"count":1,"cpu":1000,"memMb":16,"estimateMs":1400}]}`, secondAt: other}
		list[i] = c
		jobs.Go(func() {
			c.first = r.call(entry, "POST", c.id, c.body, 2000*time.Millisecond)
			switch c.first.status {
			case 0, 502, 504:
				time.Sleep(time.Until(c.first.at.Add(resend)))
				c.secondSent = time.Now()
				c.second = r.call(c.secondAt, "POST", c.id, c.body, 2000*time.Millisecond)
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	// The jobs begin 0.3 s after the request, when the entry has given up waiting for the other zones.
	time.Sleep(450 * time.Millisecond)
	if has("suspend") {
		if err := frozen.suspend(); err != nil {
			return false, err
		}
		faults.Go(func() {
			time.Sleep(freezeLength)
			resumeErr = frozen.resume()
		})
	}
	jobs.Wait()
	faults.Wait()
	if resumeErr != nil {
		return false, resumeErr
	}
	time.Sleep(500 * time.Millisecond)
	return r.judgeTwice(list, frozen), nil
}
