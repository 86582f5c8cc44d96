package main

import (
	"sync"
	"syscall"
	"time"
)

func init() { cases["cancel-kill"] = cancelKill }

// cancelKill: jobs are cancelled, then all processes are killed at once and start again, and copies of the requests arrive when all machines are
// in touch again.
func cancelKill(r *rig, trouble bool) (bool, error) {
	if err := r.fleet(false); err != nil {
		return false, err
	}
	if err := r.startAll(); err != nil {
		return false, err
	}
	list, err := r.cancelJobs(r.entries[0], 40)
	if err != nil {
		return false, err
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		r.note("SIGKILL to all processes")
		all := append([]*node{}, r.entries...)
		for _, v := range r.sides {
			all = append(all, &v.node)
		}
		for _, n := range all {
			n.signal(syscall.SIGKILL)
		}
		var again sync.WaitGroup
		for _, n := range all {
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
		r.note("all processes have been started again")
	}
	// contactMs and half a second later all machines are in touch.
	time.Sleep(contact + 1500*time.Millisecond)
	return r.copyJobs(r.entries[1], list), nil
}
