package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["cancel-passed"] = cancelPassed }

// silentCutLength is the length of a zone_cut without a variant.
const silentCutLength = 5000 * time.Millisecond

// cancelPassed: jobs of two steps run at an entry whose zone is then cut from the others. A moment later their clients cancel them at the entry of
// another zone, and get 200. The second step begins later than cancel_ms after that.
func cancelPassed(r *rig, trouble bool) (bool, error) {
	if err := r.fleet(true); err != nil {
		return false, err
	}
	for _, v := range r.sides {
		v.proxy.silent = true
	}
	r.rewriteLinks()
	if err := r.startAll(); err != nil {
		return false, err
	}
	const count = 60
	list := make([]*cancelled, count)
	var jobs sync.WaitGroup
	for i := range list {
		c := &cancelled{id: fmt.Sprintf("d%015x", i), body: `{"spec":"4000","bestEffort":true,"steps":[{"count":1,"cpu":100,"memMb":16,"estimateMs":4000},{"count":1,"cpu":100,"memMb":16,"estimateMs":4000,"after":[0]}]}`}
		list[i] = c
		jobs.Go(func() { c.first = r.call(r.entries[0], "POST", c.id, c.body, 12*time.Second) })
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		r.cutZone("left", true)
		time.AfterFunc(silentCutLength, func() { r.cutZone("left", false) })
	}
	time.Sleep(250 * time.Millisecond)
	var cancels sync.WaitGroup
	for _, c := range list {
		cancels.Go(func() { c.delete = r.call(r.entries[1], "DELETE", c.id, "", 2*time.Second) })
	}
	cancels.Wait()
	time.Sleep(silentCutLength + time.Second)
	jobs.Wait()
	starts, broken, acked, outside := r.starts(), 0, 0, 0
	for _, c := range list {
		if c.delete.status/100 == 2 {
			acked++
		}
		r.note("job %s: DELETE at %s answered %d at %.3f, POST at %s answered %d %s at %.3f", c.id, r.entries[1].name, c.delete.status, r.at(c.delete.at), r.entries[0].name, c.first.status, c.first.body, r.at(c.first.at))
		late, lateOutside := false, false
		for _, s := range starts[c.id] {
			r.note("    task %s run %d on %s from %.3f to %.3f, %s", s.Task, s.Run, s.worker, r.at(s.Started), r.at(s.Ended), s.Outcome)
			if c.delete.status/100 == 2 && s.Started.Sub(c.delete.at) > cancelTime {
				late, lateOutside = true, lateOutside || s.zone != "left"
				r.note("UNASKED: task %s run %d started on %s at %.3f, %.3f s after its cancel was acknowledged", s.Task, s.Run, s.worker, r.at(s.Started), s.Started.Sub(c.delete.at).Seconds())
			}
		}
		if late {
			broken++
		}
		if lateOutside {
			outside++
		}
	}
	result := fmt.Sprintf("%d cancels acknowledged, %d of %d jobs have gone on, %d of them in the zones that were not cut off", acked, broken, count, outside)
	r.note("%s", result)
	fmt.Println(result)
	return broken > 0, nil
}
