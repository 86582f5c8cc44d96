package jobs

import (
	"fmt"
	"testing"
	"time"

	"poplargw.example/dispatch/run"
)

// Guards against a confined kind that gets no backend server, and is therefore never released, because those of its
// bulkhead are drained or in a failure domain out of service.
func TestBulkheadHasNoServersThatAreTakenOutOfService(t *testing.T) {
	for _, name := range []string{"failure domain", "draining"} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 8, 10_000)
			h.confine()
			var out []string
			for _, v := range h.fleet {
				if v.inBulkhead && name == "draining" {
					v.state.State = run.Draining
				} else if v.inBulkhead {
					out = append(out, v.state.Domain)
				}
			}
			h.SetDomainsOut(out)
			h.advance(20 * time.Millisecond)
			if !h.submit("j", 1, 3000, 50*time.Millisecond) {
				t.Errorf("the job was refused: %+v", h.outcomes["j"])
			}
			h.bulkheads.service("svc").kind(testQueue.Name).completed = releaseJobs
			for range int(releaseAfter/(20*time.Millisecond)) + 2 {
				h.advance(20 * time.Millisecond)
			}
			if h.bulkheads.isConfined("svc", testQueue.Name) {
				t.Errorf("the kind is still confined %s after the newest crash", releaseAfter)
			}
		})
	}
}

// Guards against entries with different evidence that together confine all kinds of a service to the bulkhead and
// leave the other backend servers idle.
func TestEntriesDoNotConfineAllKindsTogether(t *testing.T) {
	h := newHarness(t, 8, 10_000)
	h.submit("j", 1, 100, 50*time.Millisecond)
	h.confine()
	state := serverOf("a0", 10_000)
	h.Report(h.now, "a0", Report{Server: state, Free: state.Capacity, OthersConfined: []string{otherQueue.Name}})
	h.advance(20 * time.Millisecond)
	if !h.bulkheads.isConfined("svc", testQueue.Name) || h.bulkheads.isConfined("svc", otherQueue.Name) {
		t.Error("the kind that this entry confines is not the only confined one")
	}
}

// Guards against a confined kind that is never released because the service has only one backend server left, so
// that none can be set apart for it.
func TestKindIsReleasedWithTooFewServersForBulkhead(t *testing.T) {
	h := newHarness(t, 8, 10_000)
	h.confine()
	for _, v := range h.fleet[1:] {
		v.state.State = run.Draining
	}
	for range int(releaseAfter/(20*time.Millisecond)) + 2 {
		h.advance(20 * time.Millisecond)
	}
	if !h.submit("j", 1, 3000, 50*time.Millisecond) {
		t.Errorf("the job was refused: %+v", h.outcomes["j"])
	}
}

// Guards against rejecting late jobs of a confined kind for the load of the other kinds, which use other servers.
func TestConfinedKindHasItsOwnAdmissionRate(t *testing.T) {
	h := newHarness(t, 8, 10_000)
	h.submit("before", 1, 3000, 50*time.Millisecond)
	h.confine()
	for i := range 20 {
		h.submitTo(otherQueue, fmt.Sprint("other-", i), 8, 3000, 50*time.Millisecond)
	}
	h.submit("confined", 1, 3000, 50*time.Millisecond)
	confined := h.admissionRates[loadKey{service: "svc", confined: true}]
	if confined == nil || confined.rate(h.now) > 3000*0.05/admissionWindow.Seconds()+1 {
		t.Errorf("admission rate of the confined kind %+v, want that of its own job", confined)
	}
}

// Guards against a task that must run alone withholding the free capacity of every backend server from other entries:
// a part of a server is no use to it.
func TestTaskThatRunsAloneReservesNoCapacity(t *testing.T) {
	h := newHarness(t, 1, 10_000)
	h.submit("running", 1, 3000, 50*time.Millisecond)
	for range minLikelyCrashes {
		h.Scheduler.crashes.addTask(h.now, "waiting.0.0.0", "i", CountedCrash{})
	}
	h.submit("waiting", 1, 3000, 50*time.Millisecond)
	if want := h.WaitingDemand(h.now, "a0"); want.Demand.CPU > 0 {
		t.Errorf("the waiting task asks for %d CPU, want none", want.Demand.CPU)
	}
}
