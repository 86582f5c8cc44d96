package jobs

import (
	"testing"
	"time"

	"poplargw.example/dispatch/run"
)

// Guards against an owner that counts on a record which is missing for the rest of its job: its link to one registrar was
// lost for so long that this one granted the job to another entry, which released it after the owner had connected again.
func TestOwnerIsOnRecordAgainAfterConflict(t *testing.T) {
	f := newOwnerFleet(2, 4)
	first, second := f.entries[0], f.entries[1]
	order := rankFor("j", f.agents)
	f.submit(first, "j")
	f.deliverAll()
	f.cut(first, order[0])
	f.pass(testLimits.LostAfter + 100*time.Millisecond)
	f.submit(second, "j")
	f.deliverAll()
	f.connect(first, order[0])
	f.deliverAll()
	second.Abandon("j")
	f.take(second)
	f.deliverAll()
	if o := f.tables[order[0]].Owner("j"); o != first.name {
		t.Errorf("owner on record at the first registrar: %q", o)
	}
	f.cut(second, order[1])
	f.pass(registrarWait + 100*time.Millisecond)
	f.submit(second, "j")
	f.pass(registrarWait + 100*time.Millisecond)
	if tasks := f.concurrent(); len(tasks) > 0 {
		t.Fatalf("two runs of %v", tasks)
	}
	first.Abandon("j")
	f.take(first)
	f.endRun(first, run.Stopped)
	f.endRun(first, run.Stopped)
	f.pass(100 * time.Millisecond)
	if f.runs(second) != 2 {
		t.Errorf("%d runs at the second entry after the release", f.runs(second))
	}
}
