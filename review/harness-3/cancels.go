package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["cancel-leave"] = cancelLeave }

const (
	// cancelTime is the bound cancel_ms.
	cancelTime = 3000 * time.Millisecond
	// leaveGap is the gap_s of roll_term with share 1 in the site file.
	leaveGap = 2 * time.Second
)

// cancelled is a job that its client has cancelled.
type cancelled struct {
	id, body       string
	first          answer // to the POST
	delete         answer
	copied         answer
	copySent       time.Time
	startedAtFirst int
}

// cancelJobs submits jobs at an entry and cancels each after 300 ms. Each job has one task of three seconds on a tenth of a core.
func (r *rig) cancelJobs(n *node, count int) ([]*cancelled, error) {
	list := make([]*cancelled, count)
	var all sync.WaitGroup
	for i := range list {
		c := &cancelled{id: fmt.Sprintf("c%015x", i), body: `{"spec":"3000","bestEffort":true,"steps":[{"count":1,"cpu":100,"memMb":16,"estimateMs":3000}]}`}
		list[i] = c
		all.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			var job sync.WaitGroup
			job.Go(func() { c.first = r.call(n, "POST", c.id, c.body, 10*time.Second) })
			time.Sleep(300 * time.Millisecond)
			c.delete = r.call(n, "DELETE", c.id, "", 2*time.Second)
			job.Wait()
		})
	}
	all.Wait()
	acked, began := 0, r.starts()
	for _, c := range list {
		c.startedAtFirst = len(began[c.id])
		if c.delete.status/100 == 2 {
			acked++
		}
		r.note("job %s at %s: started %d times, DELETE answered %d at %.3f, POST answered %d %s at %.3f", c.id, n.name, c.startedAtFirst, c.delete.status, r.at(c.delete.at), c.first.status, c.first.body, r.at(c.first.at))
	}
	if acked < count*9/10 {
		return nil, fmt.Errorf("only %d of %d cancels were acknowledged", acked, count)
	}
	return list, nil
}

// copyJobs sends a copy of each request to an entry, as clients occasionally do seconds after the 2xx, and reports whether a task of a cancelled
// job has started later than cancel_ms after the acknowledgement of its cancel.
func (r *rig) copyJobs(n *node, list []*cancelled) bool {
	var all sync.WaitGroup
	for i, c := range list {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			c.copySent = time.Now()
			c.copied = r.call(n, "POST", c.id, c.body, 10*time.Second)
		})
	}
	all.Wait()
	starts, broken := r.starts(), 0
	for _, c := range list {
		late := false
		for _, s := range starts[c.id] {
			if c.delete.status/100 == 2 && s.Started.Sub(c.delete.at) > cancelTime {
				late = true
				r.note("UNASKED: task %s run %d started on %s at %.3f, %.3f s after its cancel was acknowledged", s.Task, s.Run, s.worker, r.at(s.Started), s.Started.Sub(c.delete.at).Seconds())
			}
		}
		if late {
			broken++
		}
		r.note("copy of %s sent to %s at %.3f, answered %d %s", c.id, n.name, r.at(c.copySent), c.copied.status, c.copied.body)
	}
	r.note("%d of %d cancelled jobs have started again", broken, len(list))
	fmt.Printf("%d of %d cancelled jobs have started again\n", broken, len(list))
	return broken > 0
}

// cancelLeave: jobs are cancelled, then the machines of a zone that have workers leave one after the other, and copies of the requests arrive.
func cancelLeave(r *rig, trouble bool) (bool, error) {
	if err := r.fleet(false); err != nil {
		return false, err
	}
	if err := r.startAll(); err != nil {
		return false, err
	}
	list, err := r.cancelJobs(r.entries[0], 200)
	if err != nil {
		return false, err
	}
	leaving := r.inZone("campus")
	var all sync.WaitGroup
	for i, v := range leaving {
		if !trouble {
			break
		}
		all.Go(func() {
			time.Sleep(time.Duration(i) * leaveGap)
			v.leave()
			v.stop()
		})
	}
	all.Wait()
	if !trouble {
		time.Sleep(6500 * time.Millisecond)
	}
	// The machines that stay were in touch all the while; this makes sure that the list has settled.
	time.Sleep(time.Second)
	return r.copyJobs(r.entries[1], list), nil
}
