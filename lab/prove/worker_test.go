package prove

import (
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

// TestAgentKilled guards against a duplicate start and a false "not run" when an agent is killed
// while tasks run and restarts without its start records.
func TestAgentKilled(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 3, agents: 3, slots: 8})
	l := s.startLoad(loadShape{entries: []int{0, 1, 2}, interval: 25 * time.Millisecond, tasks: 4, ms: 150})
	for range 2 {
		time.Sleep(1500 * time.Millisecond)
		s.agents[0].kill()
		time.Sleep(200 * time.Millisecond)
		s.agents[0].start()
	}
	time.Sleep(3 * time.Second)
	jobs := l.stop()
	logResult(t, "agent killed and restarted twice: %v", countOutcomes(jobs))
	s.verify(jobs...)
	late := newJob("quick", 12, 20, loadTimeout)
	if o := late.send(s, 0); o.answer == nil {
		t.Errorf("job sent after the restart: %v", o)
	}
}

// TestServerKilled guards against a duplicate start and a false "not run" when a backend server is
// killed while tasks run.
func TestServerKilled(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 3, agents: 3, slots: 8})
	l := s.startLoad(loadShape{entries: []int{0, 1, 2}, interval: 25 * time.Millisecond, tasks: 4, ms: 150})
	time.Sleep(1500 * time.Millisecond)
	s.servers[0].kill()
	time.Sleep(4 * time.Second)
	s.servers[0].start()
	time.Sleep(2 * time.Second)
	jobs := l.stop()
	logResult(t, "backend server killed and restarted: %v", countOutcomes(jobs))
	if c := countOutcomes(jobs); c.complete < len(jobs)*8/10 {
		t.Errorf("too few jobs completed on the remaining backend servers: %v", c)
	}
	s.verify(jobs...)
}

// TestServerFailsEverything guards against a backend server that fails every task and attracts most of
// the work because it always has free slots.
func TestServerFailsEverything(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 2, agents: 3, slots: 8, serverArgs: map[int][]string{0: {"-fail-all"}}})
	l := s.startLoad(loadShape{entries: []int{0, 1}, interval: 25 * time.Millisecond, tasks: 2, ms: 50})
	time.Sleep(6 * time.Second)
	jobs := l.stop()
	logResult(t, "one of three backend servers fails every task: %v", countOutcomes(jobs))
	late := jobs[len(jobs)/2:]
	logResult(t, "the same load, second half of the jobs: %v", countOutcomes(late))
	if c := countOutcomes(late); c.complete < len(late)*9/10 {
		t.Errorf("too few jobs completed in the second half, with one backend server failing: %v", c)
	}
	s.verify(jobs...)
}

// TestServerHangs guards against a hung backend server that holds jobs far beyond the time limit of
// their kind and keeps getting work.
func TestServerHangs(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 2, agents: 3, slots: 4, serverArgs: map[int][]string{0: {"-hang"}}})
	record := s.currentConfig(0)
	record.GetConfig().GetServices()[0].GetKinds()[0].TimeLimit = durationpb.New(time.Second)
	s.mustApply(record)
	l := s.startLoad(loadShape{entries: []int{0, 1}, interval: 50 * time.Millisecond, tasks: 2, ms: 50})
	time.Sleep(8 * time.Second)
	jobs := l.stop()
	logResult(t, "one of three backend servers hangs: %v", countOutcomes(jobs))
	for _, j := range jobs {
		if o := j.last(); o.took > 5*time.Second {
			t.Errorf("job %s: %v", j.id, o)
		}
	}
	s.verify(jobs...)
}

// TestCancelManyJobs guards against queued tasks that start after their job was cancelled, when 1000 jobs
// are cancelled in a row, and against harm to a running job that is not cancelled.
func TestCancelManyJobs(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	s := newSystem(t, layout{entries: 2, agents: 2, slots: 2})
	// A long job occupies all slots, so that the tasks of the cancelled jobs stay queued.
	blocker := newJob("quick", 4, 3000, loadTimeout)
	first := blocker.sendAsync(s, 0)
	s.eventually(readyTimeout, "all slots are busy", func() bool { return len(s.starts()) == 4 })
	const jobCount = 1000
	jobs := make([]*job, jobCount)
	outcomes := make([]<-chan attempt, jobCount)
	for i := range jobs {
		jobs[i] = newJob("quick", 4, 500, 14*time.Second)
		outcomes[i] = jobs[i].sendAsync(s, i%2)
	}
	s.eventually(readyTimeout, "at least 400 tasks are queued", func() bool { return s.queuedTasks() >= 400 })
	begin := time.Now()
	for _, j := range jobs {
		req := &poplargwv1.CancelJobRequest{Caller: j.request.GetCaller(), SubmissionId: j.id[:]}
		if _, err := s.dispatcher(0).CancelJob(s.callContext(), connect.NewRequest(req)); err != nil {
			t.Fatal(err)
		}
	}
	took := time.Since(begin)
	for _, c := range outcomes {
		<-c
	}
	logResult(t, "%d jobs cancelled in %v: %v", jobCount, took.Round(time.Millisecond), countOutcomes(jobs))
	if o := <-first; o.answer == nil {
		t.Errorf("the job that was not cancelled: %v", o)
	}
	s.verify(append(jobs, blocker)...)
}

// queuedTasks returns the number of queued tasks at all entries that answer.
func (s *system) queuedTasks() int {
	n := 0
	for i := range s.entries {
		res, err := s.operator(i).GetStatus(s.callContext(), connect.NewRequest(&poplargwv1.GetStatusRequest{}))
		if err != nil {
			continue
		}
		for _, q := range res.Msg.GetQueues() {
			n += int(q.GetQueued())
		}
	}
	return n
}

// TestImpossibleJob guards against a job that needs more slots than any backend server has and is
// not refused within a second, or blocks other jobs.
func TestImpossibleJob(t *testing.T) {
	s := newSystem(t, layout{entries: 2, agents: 2, slots: 2})
	record := s.currentConfig(0)
	record.GetConfig().GetServices()[0].GetKinds()[1].Slots = 16
	requested := time.Now()
	s.mustApply(record)
	s.checkInForce(record.GetVersion()+1, requested)
	impossible, other := newJob("long", 1, 10, loadTimeout), newJob("quick", 4, 10, loadTimeout)
	if o := impossible.send(s, 0); o.failure.GetCode() != 1009 || o.took > time.Second {
		t.Errorf("job that needs 16 slots: %v, want code 1009 within 1s", o)
	}
	if o := other.send(s, 0); o.answer == nil {
		t.Errorf("job that needs one slot: %v", o)
	}
	s.verify(impossible, other)
}

// TestWrongDeclarations guards against refusals and failures of jobs whose declared task durations
// are too long or too short by a factor of ten.
func TestWrongDeclarations(t *testing.T) {
	s := newSystem(t, layout{entries: 2, agents: 3, slots: 4})
	var jobs []*job
	var outcomes []<-chan attempt
	for i := range 30 {
		j := newJob("quick", 6, 50, loadTimeout)
		for _, task := range j.request.Tasks {
			declared := 500 * time.Millisecond
			if i%2 == 0 {
				declared = 5 * time.Millisecond
			}
			task.DeclaredDuration = durationpb.New(declared)
		}
		jobs = append(jobs, j)
		outcomes = append(outcomes, j.sendAsync(s, i%2))
	}
	for i, c := range outcomes {
		if o := <-c; o.answer == nil {
			t.Errorf("job %d: %v", i, o)
		}
	}
	s.verify(jobs...)
}
