package main

import (
	"sync"
	"time"
)

func init() { cases["cancel-cut"] = cancelCut }

const (
	// cutLength is the largest length of a zone_cut in the site files.
	cutLength = 5500 * time.Millisecond
	// cutBefore is how long the zone is cut before the jobs arrive.
	cutBefore = 1200 * time.Millisecond
)

// cancelCut: a zone is cut from the others while clients still reach it. Jobs are submitted and cancelled at its entry, and copies of the requests
// arrive at the entry of another zone later than cancel_ms after the acknowledgement.
func cancelCut(r *rig, trouble bool) (bool, error) {
	if err := r.fleet(true); err != nil {
		return false, err
	}
	r.rewriteLinks()
	if err := r.startAll(); err != nil {
		return false, err
	}
	var cut sync.WaitGroup
	if trouble {
		r.cutZone("left", true)
		cut.Go(func() {
			time.Sleep(cutLength)
			r.cutZone("left", false)
		})
	}
	time.Sleep(cutBefore)
	list, err := r.cancelJobs(r.entries[0], 40)
	if err != nil {
		return false, err
	}
	newest := list[0].delete.at
	for _, c := range list {
		if c.delete.at.After(newest) {
			newest = c.delete.at
		}
	}
	// Nothing was disturbed for the other zones but the cut; the first copy arrives after cancel_ms.
	time.Sleep(time.Until(newest.Add(cancelTime + 100*time.Millisecond)))
	broken := r.copyJobs(r.entries[1], list)
	cut.Wait()
	return broken, nil
}
