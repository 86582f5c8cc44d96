package fence

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	apiv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/submission"
)

var (
	epoch   = time.UnixMilli(1_800_000_000_000)
	options = Options{
		Incarnation: "a1",
		Started:     epoch,
		Domain:      "left",
		Window:      submission.Window{Length: 2 * time.Minute, Skew: 2 * time.Second},
		TokenAge:    time.Second,
		Lease:       3 * time.Second,
		ResultBytes: 2000,
	}
	hash = []byte("hash")
)

// at returns the clock readings at d after the agent's start.
func at(d time.Duration) Clocks { return Clocks{Mono: d, Wall: epoch.Add(d)} }

// keyAt returns the nth key of a submission that was first sent at d after the agent's start.
func keyAt(d time.Duration, n byte) submission.Key {
	k := submission.Key{Caller: "caller", ID: uuid.UUID{6: 0x70, 8: 0x80, 15: n}}
	for i, ms := 5, epoch.Add(d).UnixMilli(); i >= 0; i, ms = i-1, ms>>8 {
		k.ID[i] = byte(ms)
	}
	return k
}

func entryTable(version uint64, members int) *peerv1.EntryTable {
	t := &peerv1.EntryTable{Version: version}
	for i := range members {
		t.Members = append(t.Members, &peerv1.EntryMember{Id: fmt.Sprint("e", i), Incarnation: fmt.Sprint("i", i)})
	}
	return t
}

func config(version uint64, domainOut, serverOut bool) *apiv1.ConfigRecord {
	return &apiv1.ConfigRecord{Version: version, Config: &apiv1.Config{
		Services: []*apiv1.Service{{Name: "svc", Kinds: []*apiv1.Kind{{Name: "quick"},
			{Name: "wide", Slots: 3, TimeLimit: durationpb.New(time.Second)}}}},
		Domains: []*apiv1.FailureDomain{{Name: "left", Out: domainOut}},
		Servers: []*apiv1.ServerOverride{{Server: "s", Out: serverOut}},
	}}
}

// connections is the number of connections of the backend server in all tests.
const connections = 4

func announcement(instance string, slots uint32) Announcement {
	return Announcement{Server: "s", Instance: instance, Service: "svc", Kinds: []string{"quick", "wide"},
		Slots: slots, Connections: connections, Address: "127.0.0.1:1"}
}

// readyFence returns a fence that grants starts, and its time, 10 s after the agent's start.
func readyFence() (*Fence, Clocks) {
	f, now := New(options), at(10*time.Second)
	f.AdoptTable(entryTable(1, 1))
	f.Acknowledge("i0")
	f.Configure(config(1, false, false))
	f.Announce(announcement("x", 4), now)
	return f, now
}

func request(f *Fence, k submission.Key, now Clocks) Request {
	return Request{Task: Task{Key: k}, Hash: hash, Config: 1, Table: 1, Token: f.IssueToken(now),
		Server: "s", Service: "svc", Kind: "quick"}
}

// TestRefusals guards against granting a start that a limit, a configuration change or a
// stale message forbids, and against refusing it with the wrong code or effect.
func TestRefusals(t *testing.T) {
	young, later := keyAt(9*time.Second, 1), at(12*time.Second)
	tests := []struct {
		name   string
		code   result.Code
		effect result.Effect
		change func(f *Fence, r *Request, now *Clocks)
	}{
		{"no record", result.NoRecord, result.NotRun, func(_ *Fence, r *Request, _ *Clocks) { r.AttachOnly = true }},
		{"no record, ID from before the start", result.NoRecord, result.Unknown, func(_ *Fence, r *Request, _ *Clocks) {
			r.AttachOnly, r.Task.Key = true, keyAt(time.Second, 1)
		}},
		{"draining", result.AgentDraining, result.NotRun, func(f *Fence, _ *Request, _ *Clocks) { f.Drain() }},
		{"new member has not acknowledged", result.NotAcknowledged, result.NotRun, func(f *Fence, r *Request, _ *Clocks) {
			f.AdoptTable(entryTable(2, 2))
			r.Table = 2
		}},
		{"newer table not known yet", result.NotAcknowledged, result.NotRun, func(_ *Fence, r *Request, _ *Clocks) { r.Table = 2 }},
		{"older table", result.StaleTable, result.NotRun, func(f *Fence, _ *Request, _ *Clocks) { f.Claim(entryTable(2, 1), "e0") }},
		{"other incarnation", result.StaleToken, result.NotRun, func(_ *Fence, r *Request, _ *Clocks) { r.Token.Incarnation = "a0" }},
		{"agent or message was frozen", result.StaleToken, result.NotRun, func(_ *Fence, _ *Request, now *Clocks) { *now = later }},
		{"token of the future", result.StaleToken, result.NotRun, func(_ *Fence, r *Request, _ *Clocks) { r.Token.Issued += time.Minute }},
		{"expired ID", result.SubmissionExpired, result.NotRun, func(_ *Fence, r *Request, now *Clocks) {
			r.Task.Key = submission.Key{Caller: "caller", ID: keyAt(9*time.Second-options.Window.Length-2*time.Second, 1).ID}
		}},
		{"unknown server", result.UnknownServer, result.NotRun, func(_ *Fence, r *Request, _ *Clocks) { r.Server = "t" }},
		{"unknown kind", result.UnknownServer, result.NotRun, func(_ *Fence, r *Request, _ *Clocks) { r.Kind = "t" }},
		{"lease ended", result.UnknownServer, result.NotRun, func(f *Fence, r *Request, now *Clocks) {
			*now = at(14 * time.Second)
			r.Token = f.IssueToken(*now)
		}},
		{"server out", result.ServerOut, result.NotRun, func(f *Fence, _ *Request, _ *Clocks) { f.Configure(config(2, false, true)) }},
		{"domain out", result.DomainOut, result.NotRun, func(f *Fence, _ *Request, _ *Clocks) { f.Configure(config(2, true, false)) }},
		{"older configuration ignored", result.DomainOut, result.NotRun, func(f *Fence, _ *Request, _ *Clocks) {
			f.Configure(config(3, true, false))
			f.Configure(config(2, false, false))
		}},
		{"leaving", result.ServerLeaving, result.NotRun, func(f *Fence, _ *Request, _ *Clocks) { f.Leave("s", "x") }},
		{"no free slot for a wide kind", result.NoFreeSlot, result.NotRun, func(f *Fence, r *Request, now *Clocks) {
			f.Announce(announcement("x", 2), *now)
			r.Kind = "wide"
		}},
		{"no free connection", result.NoFreeConnection, result.NotRun, func(f *Fence, _ *Request, now *Clocks) {
			f.Announce(announcement("x", 8), *now)
			for n := range byte(4) {
				f.Start(request(f, keyAt(9*time.Second, 10+n), *now), *now)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, now := readyFence()
			r := request(f, young, now)
			tt.change(f, &r, &now)
			before := f.Records()
			d := f.Start(r, now)
			if d.Verdict != Refused || d.Failure.Code != tt.code || d.Failure.Effect != tt.effect {
				t.Fatalf("Start was answered %+v, failure %v", d, d.Failure)
			}
			if f.Records() != before {
				t.Fatal("the refusal left a record")
			}
		})
	}
}

// TestDelayedStartAfterRefusal guards against granting a delayed copy of a Start after
// an AttachOnly for the task was answered "not run": the home may have placed the task
// elsewhere by then.
func TestDelayedStartAfterRefusal(t *testing.T) {
	f, now := readyFence()
	r := request(f, keyAt(9*time.Second, 1), now)
	delayed := r
	r.AttachOnly = true
	if d := f.Start(r, now); d.Failure.Code != result.NoRecord {
		t.Fatal(d.Failure)
	}
	if d := f.Start(delayed, now); d.Verdict != Refused || d.Failure.Code != result.StaleToken {
		t.Fatalf("the delayed Start was answered %+v", d)
	}
	delayed.Token = f.IssueToken(now)
	if d := f.Start(delayed, now); d.Verdict != Granted {
		t.Fatalf("a Start with a fresh token was answered %+v", d)
	}
}

// TestKeptOutcomesAreBounded guards against unbounded memory for results, and against
// reporting a task whose result was evicted as not run.
func TestKeptOutcomesAreBounded(t *testing.T) {
	f, now := readyFence()
	first, second := request(f, keyAt(9*time.Second, 1), now), request(f, keyAt(9*time.Second, 2), now)
	for _, r := range []Request{first, second} {
		f.Start(r, now)
		f.Finish(r.Task, Outcome{Payload: make([]byte, 1500)})
	}
	if f.ResultBytes() > options.ResultBytes {
		t.Fatalf("%d result bytes are kept, more than the limit", f.ResultBytes())
	}
	if d := f.Start(first, now); d.Verdict != Ended || d.Outcome.Failure.Code != result.ResultGone || d.Outcome.Failure.Effect != result.Run {
		t.Fatalf("Start of a task with an evicted result was answered %+v", d)
	}
	if d := f.Start(second, now); d.Verdict != Ended || len(d.Outcome.Payload) != 1500 {
		t.Fatalf("Start of a task with a kept result was answered %+v", d)
	}
	second.Hash = []byte("other")
	if d := f.Start(second, now); d.Verdict != Refused || d.Failure.Code != result.IDReused {
		t.Fatalf("Start with another hash under the same ID was answered %+v", d)
	}
}

// TestSlotsOfReplacedInstance guards against slots that stay taken after their instance
// was replaced, and against the end of one of its tasks freeing a slot of its successor.
func TestSlotsOfReplacedInstance(t *testing.T) {
	f, now := readyFence()
	r := request(f, keyAt(9*time.Second, 1), now)
	f.Start(r, now)
	f.Announce(announcement("y", 4), now)
	if freeSlots := f.FreeSlots("s", now); freeSlots != 4 {
		t.Fatalf("new instance has %d free slots, want 4", freeSlots)
	}
	f.Finish(r.Task, Outcome{})
	if freeSlots := f.FreeSlots("s", now); freeSlots != 4 {
		t.Fatalf("new instance has %d free slots after a task of the old one ended, want 4", freeSlots)
	}
	if _, err := f.Announce(announcement("x", 4), now); err != ErrReplaced {
		t.Fatalf("announcement of the replaced instance: error %v, want ErrReplaced", err)
	}
}
