package prove

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/uuid"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/submission"
	"poplargw.example/dispatch/table"
	"poplargw.example/store"
)

// homeOf returns the index of the job's home entry, provided that the table holds all entries.
func (s *system) homeOf(j *job) int {
	t := &peerv1.EntryTable{}
	for _, e := range s.entries {
		t.Members = append(t.Members, &peerv1.EntryMember{Id: e.Name})
	}
	home := table.Home(t, submission.Key{Caller: j.request.GetCaller(), ID: j.id})
	for i, e := range s.entries {
		if e.Name == home.GetId() {
			return i
		}
	}
	s.t.Fatal("the job's home is not an entry of this system")
	return 0
}

// newJobWithHome returns a job whose home is the given entry. Each task runs for ms milliseconds.
func (s *system) newJobWithHome(entry, tasks, ms int) *job {
	for {
		if j := newJob("quick", tasks, ms, loadTimeout); s.homeOf(j) == entry {
			return j
		}
	}
}

// sameAnswer reports whether both attempts were answered and the result payloads are equal.
func sameAnswer(a, b attempt) bool {
	if a.answer == nil || b.answer == nil || len(a.answer.GetResults()) != len(b.answer.GetResults()) {
		return false
	}
	for i, r := range a.answer.GetResults() {
		if !bytes.Equal(r.GetPayload(), b.answer.GetResults()[i].GetPayload()) {
			return false
		}
	}
	return true
}

// mayHaveRun reports whether the attempt failed with an effect that admits a run: unknown or run.
func mayHaveRun(o attempt) bool {
	e := o.failure.GetEffect()
	return e == poplargwv1.Effect_EFFECT_UNKNOWN || e == poplargwv1.Effect_EFFECT_RUN
}

// TestSameIDTwice guards against a duplicate start when a submission reaches two entries
// at the same time and is sent again after the answer.
func TestSameIDTwice(t *testing.T) {
	s := newSystem(t, layout{entries: 2, agents: 3, slots: 4})
	var jobs []*job
	for range 10 {
		j := newJob("quick", 8, 50, loadTimeout)
		jobs = append(jobs, j)
		first, second := j.sendAsync(s, 0), j.sendAsync(s, 1)
		a, b := <-first, <-second
		c := j.send(s, 0)
		if !sameAnswer(a, b) || !sameAnswer(a, c) {
			t.Errorf("the answers differ: %v; %v; %v", a, b, c)
		}
	}
	s.verify(jobs...)
}

// TestSameIDWhileStoreDown guards against duplicate starts and failed jobs when a submission
// reaches several entries while the store is unavailable.
func TestSameIDWhileStoreDown(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 3, agents: 3, slots: 4})
	s.setStoreFaults(store.Faults{Unavailable: true})
	time.Sleep(3 * time.Second)
	var jobs []*job
	for range 10 {
		j := newJob("quick", 8, 50, loadTimeout)
		jobs = append(jobs, j)
		first, second := j.sendAsync(s, 0), j.sendAsync(s, 1)
		if a, b, c := <-first, <-second, j.send(s, 2); !sameAnswer(a, b) || !sameAnswer(a, c) {
			t.Errorf("the answers differ: %v; %v; %v", a, b, c)
		}
	}
	s.verify(jobs...)
}

// TestHomeKilled guards against a duplicate start, a partial answer and a lost job when the
// home entry is killed while jobs run. Jobs that another entry received must complete.
func TestHomeKilled(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 3, agents: 3, slots: 8})
	var jobs []*job
	var outcomes []<-chan attempt
	for i := range 24 {
		j := s.newJobWithHome(0, 6, 300)
		jobs = append(jobs, j)
		outcomes = append(outcomes, j.sendAsync(s, 1+i%2))
	}
	s.eventually(readyTimeout, "tasks have started", func() bool { return len(s.starts()) >= 30 })
	s.entries[0].kill()
	for i, c := range outcomes {
		if o := <-c; o.answer == nil {
			t.Errorf("job %d did not complete after its home was killed: %v", i, o)
		}
	}
	logResult(t, "home killed with jobs in flight: %v", countOutcomes(jobs))
	s.verify(jobs...)
}

// TestReceiverKilled guards against a duplicate start when the entry that received a job is
// killed and the caller sends the submission to another entry.
func TestReceiverKilled(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 3, agents: 3, slots: 8})
	l := s.startLoad(loadShape{entries: []int{0, 1, 2}, interval: 20 * time.Millisecond, tasks: 5, ms: 100, resend: true})
	time.Sleep(time.Second)
	s.entries[0].kill()
	time.Sleep(6 * time.Second)
	jobs := l.stop()
	logResult(t, "one of three entries killed under load: %v", countOutcomes(jobs))
	s.verify(jobs...)
	late := newJob("quick", 5, 20, loadTimeout)
	if o := late.send(s, 1); o.answer == nil {
		t.Errorf("job sent after the recovery: %v", o)
	}
}

// TestHomeFrozen guards against starts that a home entry sends when it runs again after it
// was frozen, removed from the table and replaced.
func TestHomeFrozen(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 3, agents: 3, slots: 4})
	var jobs []*job
	var outcomes []<-chan attempt
	for i := range 30 {
		j := s.newJobWithHome(0, 8, 100)
		jobs = append(jobs, j)
		outcomes = append(outcomes, j.sendAsync(s, i%3))
	}
	s.eventually(readyTimeout, "tasks have started", func() bool { return len(s.starts()) >= 20 })
	s.entries[0].freeze()
	var again []<-chan attempt
	for i, j := range jobs {
		again = append(again, j.sendAsync(s, 1+i%2))
	}
	for i, c := range again {
		if o := <-c; o.answer == nil && !mayHaveRun(o) {
			t.Errorf("job %d, resent: %v", i, o)
		}
	}
	s.entries[0].unfreeze()
	for _, c := range outcomes {
		<-c
	}
	logResult(t, "home frozen with jobs in flight and replaced: %v", countOutcomes(jobs))
	s.verify(jobs...)
}

// TestFirstSendInFrozenReceiver guards against a duplicate start when the first request waits
// in the socket buffer of a frozen entry. Meanwhile the caller sends the submission to another
// entry, its tasks start and its home is killed; then the frozen entry reads the request.
func TestFirstSendInFrozenReceiver(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 3, agents: 3, slots: 8})
	s.entries[0].freeze()
	var jobs []*job
	var first, second []<-chan attempt
	for range 10 {
		j := s.newJobWithHome(1, 4, 1500)
		jobs = append(jobs, j)
		first = append(first, j.sendAsync(s, 0))
	}
	// The frozen entry is removed from the table; the home stays entry 1.
	for _, j := range jobs {
		second = append(second, j.sendAsync(s, 2))
	}
	s.eventually(readyTimeout, "tasks have started", func() bool { return len(s.starts()) >= 16 })
	s.entries[1].kill()
	s.entries[0].unfreeze()
	for _, c := range append(first, second...) {
		<-c
	}
	logResult(t, "first request buffered at a frozen entry, home killed, entry unfrozen: %v", countOutcomes(jobs))
	s.verify(jobs...)
}

// TestTableChanges guards against duplicate starts and failed jobs when an entry joins and
// submissions that were sent through an older entry are sent again through the new one.
func TestTableChanges(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 3, agents: 3, slots: 8})
	if err := s.entries[2].terminate(readyTimeout); err != nil {
		t.Fatalf("graceful stop: %v", err)
	}
	var jobs []*job
	var outcomes []<-chan attempt
	for i := range 40 {
		j := newJob("quick", 4, 400, loadTimeout)
		jobs = append(jobs, j)
		outcomes = append(outcomes, j.sendAsync(s, i%2))
	}
	s.entries[2].start()
	s.eventually(readyTimeout, "the restarted entry is ready", func() bool { return s.entries[2].GetStatus("/readyz") == 200 })
	for _, j := range jobs {
		outcomes = append(outcomes, j.sendAsync(s, 2))
	}
	for i, c := range outcomes {
		if o := <-c; o.answer == nil {
			t.Errorf("send %d: %v", i, o)
		}
	}
	logResult(t, "entry joins while submissions are resent: %v", countOutcomes(jobs))
	s.verify(jobs...)
}

// TestUnknownAfterAgentRestart guards against a duplicate start of a task when both its start
// record and its home are lost: the agent that kept the record in memory is restarted and the
// home entry is killed.
func TestUnknownAfterAgentRestart(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 3, agents: 3, slots: 8})
	var jobs []*job
	var outcomes []<-chan attempt
	for range 10 {
		j := s.newJobWithHome(0, 6, 800)
		jobs = append(jobs, j)
		outcomes = append(outcomes, j.sendAsync(s, 0))
	}
	s.eventually(readyTimeout, "tasks have started", func() bool { return len(s.starts()) >= 20 })
	s.agents[0].kill()
	s.entries[0].kill()
	s.agents[0].start()
	for _, c := range outcomes {
		<-c
	}
	for _, j := range jobs {
		if o := j.send(s, 1); o.answer == nil && !mayHaveRun(o) {
			t.Errorf("resent job: %v", o)
		}
	}
	logResult(t, "agent restarted and home killed with jobs in flight: %v", countOutcomes(jobs))
	s.verify(jobs...)
}

// TestNotRunAtCutOffEntry guards against two faults of an entry that is cut off from the store
// and the other entries: it reports "not run" for a submission that ran elsewhere, or it holds
// calls that it cannot complete until their deadline.
func TestNotRunAtCutOffEntry(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 3, agents: 3, slots: 8})
	var waiting, done []*job
	var outcomes []<-chan attempt
	for i := range 6 {
		waiting = append(waiting, s.newJobWithHome(i%3, 2, 8000))
	}
	s.isolate(2)
	for _, j := range waiting {
		outcomes = append(outcomes, j.sendAsync(s, 2))
	}
	time.Sleep(5 * time.Second)
	for i := range 6 {
		j := s.newJobWithHome(i%3, 2, 10)
		done = append(done, j)
		if o := j.send(s, i%2); o.answer == nil {
			t.Errorf("sent to an entry of the majority: %v", o)
		}
		if o := j.send(s, 2); o.answer != nil || o.took > time.Second {
			t.Errorf("sent to the entry that is cut off: %v", o)
		}
	}
	for i, c := range outcomes {
		if o := <-c; o.answer == nil && o.took > 10*time.Second {
			t.Errorf("job %d was held until its deadline: %v", i, o)
		}
	}
	logResult(t, "calls waiting at an entry that is cut off: %v; calls to it after the majority ran the job: %v", countOutcomes(waiting), countOutcomes(done))
	s.verify(append(waiting, done...)...)
}

// TestTwoEntriesOneKilled guards against a system of two entries that does not complete jobs
// after either of them is killed.
func TestTwoEntriesOneKilled(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	for lost := range 2 {
		s := newSystem(t, layout{entries: 2, agents: 2, slots: 4})
		s.entries[lost].kill()
		j := s.newJobWithHome(lost, 4, 50)
		if o := j.send(s, 1-lost); o.answer == nil {
			t.Errorf("entry %d killed: %v", lost, o)
		}
		s.verify(j)
	}
}

// TestOutdatedSubmissionID guards against starting a submission whose ID is older than the period
// that the start records cover, so that an earlier start could go unnoticed. The ID is an hour old.
func TestOutdatedSubmissionID(t *testing.T) {
	s := newSystem(t, layout{entries: 1, agents: 1, slots: 2})
	j := newJob("quick", 1, 10, loadTimeout)
	ms := time.Now().Add(-time.Hour).UnixMilli()
	for i := range 6 {
		j.id[i] = byte(ms >> (8 * (5 - i)))
	}
	if j.id.Version() != 7 || j.id.Variant() != uuid.RFC4122 {
		t.Fatal("the altered submission ID is not a UUIDv7")
	}
	j.request.SubmissionId = j.id[:]
	if o := j.send(s, 0); o.failure.GetCode() != 1010 || o.failure.GetEffect() != poplargwv1.Effect_EFFECT_UNKNOWN {
		t.Errorf("got %v, want code 1010 with effect unknown", o)
	}
	if n := len(s.starts()); n != 0 {
		t.Errorf("%d tasks started", n)
	}
}
