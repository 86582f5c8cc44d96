package main

import (
	"fmt"
	"runtime"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/fence"
	"poplargw.example/dispatch/recovery"
	"poplargw.example/dispatch/sched"
	"poplargw.example/dispatch/submission"
)

// resultBytes is the size of a task's result in the measurement of start records with results.
const resultBytes = 100

// measureState measures in this process the heap of start records at an agent, without and with results,
// of claimed keys at an entry, and of queued jobs of one and of 400 tasks. It also measures the time and
// the response size of a claim at an agent. The size is the number of records or tasks.
func measureState(o options) error {
	t := newResultTable("Heap bytes by records", "start records", "start records with results", "claimed keys", "jobs of one queued task", "queued tasks in jobs of 400")
	claim := newResultTable("Claim at an agent by start records, two entries", "CPU ms", "records returned", "answer bytes")
	for _, n := range o.sizes {
		plain, _ := fenceHeap(n, 0)
		full, f := fenceHeap(n, resultBytes)
		t.addRow(n, plain, full, claimedKeysHeap(n), queuedJobsHeap(n, 1), queuedJobsHeap(n/400, 400))
		begin := time.Now()
		got := f.Claim(newEntryTable(2), "entry-1")
		took := time.Since(begin)
		claim.addRow(n, float64(took.Microseconds())/1e3, float64(len(got)), float64(claimResponseSize(got)))
	}
	t.print()
	claim.print()
	return nil
}

// heapGrowth returns the bytes of live heap that build allocates and the value that it returns.
func heapGrowth[T any](build func() T) (float64, T) {
	before := currentHeap()
	v := build()
	after := currentHeap()
	runtime.KeepAlive(v)
	return after - before, v
}

func newKey() submission.Key {
	return submission.Key{Caller: "caller-1", ID: uuid.Must(uuid.NewV7())}
}

// newEntryTable returns a table of version n with n entries.
func newEntryTable(n int) *peerv1.EntryTable {
	t := &peerv1.EntryTable{Version: uint64(n)}
	for i := range n {
		t.Members = append(t.Members, &peerv1.EntryMember{Id: fmt.Sprintf("entry-%d", i+1), Incarnation: fmt.Sprint(i)})
	}
	return t
}

func submissionWindow() submission.Window {
	return submission.Window{Length: 2 * time.Minute, Skew: 2 * time.Second}
}

// fenceHeap returns the heap in bytes of an agent's fence that holds n ended tasks, each of its own
// submission and with a result of the given size, and the fence.
func fenceHeap(n, result int) (float64, *fence.Fence) {
	return heapGrowth(func() *fence.Fence {
		f := fence.New(fence.Options{Incarnation: "a", Started: time.Now(), Domain: "d1", Window: submissionWindow(),
			TokenAge: time.Second, Lease: time.Hour, ResultBytes: 1 << 30})
		now := fence.Clocks{Mono: time.Second, Wall: time.Now()}
		f.AdoptTable(newEntryTable(1))
		f.Acknowledge("0")
		f.Configure(&poplargwv1.ConfigRecord{Version: 1, Config: config()})
		_, _ = f.Announce(fence.Announcement{Server: "s", Instance: "i", Service: "moulds", Kinds: []string{"quick"}, Slots: 1, Connections: 1}, now)
		for range n {
			startAndFinish(f, now, result)
		}
		return f
	})
}

// startAndFinish starts and ends a task of a new submission. It panics if the start is refused.
func startAndFinish(f *fence.Fence, now fence.Clocks, result int) {
	task := fence.Task{Key: newKey()}
	now.Wall = time.Now()
	d := f.Start(fence.Request{Task: task, Hash: make([]byte, 32), Config: 1, Table: 1,
		Token: f.IssueToken(now), Server: "s", Service: "moulds", Kind: "quick"}, now)
	if d.Verdict != fence.Granted {
		panic("capacity: the fence refused a start: " + d.Failure.Message)
	}
	o := fence.Outcome{Payload: make([]byte, result)}
	f.Finish(task, o)
}

// claimResponseSize returns the encoded size in bytes of an agent's response to a claim.
func claimResponseSize(records []fence.ClaimedRecord) int {
	m := &peerv1.AgentClaimResponse{}
	for _, r := range records {
		m.Records = append(m.Records, &peerv1.StartRecord{
			Key:       &peerv1.Key{Caller: r.Task.Key.Caller, SubmissionId: r.Task.Key.ID[:]},
			TaskIndex: r.Task.Index, ResultHeld: r.ResultHeld, Running: r.Running, RequestHash: r.Hash,
		})
	}
	return proto.Size(m)
}

// claimedKeysHeap returns the heap in bytes of an entry's recovery state that holds n claimed keys with one
// start record each.
func claimedKeysHeap(n int) float64 {
	heap, _ := heapGrowth(func() *recovery.State {
		s := recovery.New(recovery.Options{Self: "entry-1", Incarnation: "0", Started: time.Now(), Window: submissionWindow(),
			StartGrace: 3 * time.Second, ReportInterval: 3 * time.Second})
		now := time.Now()
		s.Observe(now, newEntryTable(2))
		s.Observe(now, &peerv1.EntryTable{Version: 3, Members: newEntryTable(1).GetMembers()})
		s.Ask(now, []string{"agent"})
		records := make([]recovery.Record, n)
		for i := range records {
			records[i].Key = newKey()
		}
		s.AgentAnswered(s.Round(), "agent", now, records, func(submission.Key) bool { return false })
		if s.Decide(records[0].Key, 1).Verdict == recovery.NotStarted {
			panic("capacity: the recovery state kept no record of the claim")
		}
		return s
	})
	return heap
}

// queuedJobsHeap returns the heap in bytes of a scheduler that holds n queued jobs of the given number of
// tasks.
func queuedJobsHeap(n, tasks int) float64 {
	heap, _ := heapGrowth(func() *sched.Scheduler {
		s := sched.New(sched.Options{Domain: "d1", Region: "r1", QueueTasks: 1 << 30, RetryBudget: 8, AgentSilence: time.Hour})
		now := time.Now()
		s.Configure(now, config())
		s.SetFresh(now, true)
		s.AgentReport(now, sched.AgentReport{Agent: "a", Incarnation: "i", Sequence: 1, Domain: "d1", Region: "r1",
			Servers: []sched.Server{{Name: "s", Instance: "i", Service: "moulds", Kinds: []string{"quick"}, Slots: 1}}})
		for range n {
			j := sched.Job{Key: newKey(), Service: "moulds", Team: "team-0", Deadline: now.Add(1000 * time.Hour), Tasks: make([]sched.Task, tasks)}
			for i := range j.Tasks {
				j.Tasks[i] = sched.Task{Kind: "quick", Payload: make([]byte, 20)}
			}
			s.Submit(now, j)
		}
		return s
	})
	return heap
}
