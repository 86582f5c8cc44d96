package link

import (
	"math"
	"time"

	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/kindusage"
	"poplargw.example/dispatch/owner"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// RefToProto converts a run reference to its protobuf message.
func RefToProto(r run.Ref) *peerv1.RunRef { return &peerv1.RunRef{Task: r.Task, Run: r.Run} }

// RefFromProto converts a protobuf message to a run reference.
func RefFromProto(r *peerv1.RunRef) run.Ref { return run.Ref{Task: r.GetTask(), Run: r.GetRun()} }

// DemandToProto converts a resource demand to its protobuf message.
func DemandToProto(d run.Demand) *peerv1.Demand {
	return &peerv1.Demand{Cpu: d.CPU, MemoryMb: d.MemoryMB, Gpu: d.GPU}
}

// DemandFromProto converts a protobuf message to a resource demand. Its amounts may be out of range; see
// run.Demand.Valid.
func DemandFromProto(d *peerv1.Demand) run.Demand {
	return run.Demand{CPU: d.GetCpu(), MemoryMB: d.GetMemoryMb(), GPU: d.GetGpu()}
}

// FreeFromProto converts a protobuf message to free capacity, each amount of which is moved into the range from
// -run.MaxAmount to run.MaxAmount. Less than nothing is free if the capacity has shrunk below what runs.
func FreeFromProto(d *peerv1.Demand) run.Demand {
	free := DemandFromProto(d)
	used := run.Demand{CPU: -max(free.CPU, -run.MaxAmount), MemoryMB: -max(free.MemoryMB, -run.MaxAmount), GPU: -max(free.GPU, -run.MaxAmount)}
	return free.Clamp().Sub(used.Clamp())
}

var stateToProto = map[run.ServerState]peerv1.RunServerState{
	run.Absent:   peerv1.RunServerState_RUN_SERVER_STATE_ABSENT,
	run.Ready:    peerv1.RunServerState_RUN_SERVER_STATE_READY,
	run.Draining: peerv1.RunServerState_RUN_SERVER_STATE_DRAINING,
}

// ServerToProto converts the state of a backend server to its protobuf message.
func ServerToProto(s run.Server) *peerv1.RunServer {
	return &peerv1.RunServer{
		Instance: s.Instance, Service: s.Service, Domain: s.Domain, State: stateToProto[s.State],
		Room: DemandToProto(s.Capacity), Labels: s.Labels,
	}
}

// ServerFromProto converts a protobuf message to the state of a backend server. A state that this version
// does not know becomes run.Absent. Amounts of its capacity that are out of range are moved into it.
func ServerFromProto(s *peerv1.RunServer) run.Server {
	v := run.Server{
		Instance: s.GetInstance(), Service: s.GetService(), Domain: s.GetDomain(),
		Capacity: DemandFromProto(s.GetRoom()).Clamp(), Labels: s.GetLabels(),
	}
	for state, code := range stateToProto {
		if code == s.GetState() {
			v.State = state
		}
	}
	return v
}

var kindToProto = map[run.EventKind]peerv1.RunEventKind{
	run.NotRun:  peerv1.RunEventKind_RUN_EVENT_KIND_NOT_RUN,
	run.Running: peerv1.RunEventKind_RUN_EVENT_KIND_RUNNING,
	run.Done:    peerv1.RunEventKind_RUN_EVENT_KIND_DONE,
	run.Failed:  peerv1.RunEventKind_RUN_EVENT_KIND_FAILED,
	run.Stopped: peerv1.RunEventKind_RUN_EVENT_KIND_STOPPED,
}

// EventToProto converts a run event to its protobuf message.
func EventToProto(e run.Event) *peerv1.RunEvent {
	return &peerv1.RunEvent{Ref: RefToProto(e.Ref), Kind: kindToProto[e.Kind], Reason: uint32(e.Reason), Checkpoint: e.Checkpoint, Beside: UsageToProto(e.Beside)}
}

// EventFromProto converts a protobuf message to a run event. A kind that this version does not know becomes
// 0.
func EventFromProto(e *peerv1.RunEvent) run.Event {
	v := run.Event{Ref: RefFromProto(e.GetRef()), Reason: result.Code(e.GetReason()), Checkpoint: e.GetCheckpoint(), Beside: UsageFromProto(e.GetBeside())}
	for kind, code := range kindToProto {
		if code == e.GetKind() {
			v.Kind = kind
		}
	}
	return v
}

// UsageToProto converts the usage by kind of request to its protobuf message.
func UsageToProto(list []run.KindUsage) []*peerv1.KindUsage {
	var out []*peerv1.KindUsage
	for _, u := range list {
		out = append(out, &peerv1.KindUsage{Kind: u.Kind, CpuPermille: uint32(min(1000, max(0, u.Permille)))})
	}
	return out
}

// UsageFromProto converts protobuf messages to the usage by kind of request. It drops kinds beyond the number that an
// agent accounts for, and takes usage above that of the whole server for that.
func UsageFromProto(list []*peerv1.KindUsage) []run.KindUsage {
	var out []run.KindUsage
	for _, u := range list[:min(len(list), kindusage.MaxKinds)] {
		out = append(out, run.KindUsage{Kind: u.GetKind(), Permille: int(min(1000, u.GetCpuPermille()))})
	}
	return out
}

// CrashToProto converts a crash of a backend server, the given time ago, to its protobuf message.
func CrashToProto(c run.Crash, ago time.Duration) *peerv1.ServerCrash {
	m := &peerv1.ServerCrash{Server: c.Instance, Number: c.Number, AgeMs: MillisecondsToProto(ago)}
	for _, s := range c.Suspects {
		m.Suspects = append(m.Suspects, &peerv1.CrashSuspect{Task: s.Task, Kind: s.Kind, AgeMs: MillisecondsToProto(s.Age)})
	}
	for kind, perSecond := range c.Starts {
		m.Starts = append(m.Starts, &peerv1.KindStarts{Kind: kind, PerKs: thousandths(perSecond)})
	}
	return m
}

// CrashFromProto converts a protobuf message to a crash of a backend server and the time since then.
func CrashFromProto(m *peerv1.ServerCrash) (c run.Crash, ago time.Duration) {
	c.Instance, c.Number = m.GetServer(), m.GetNumber()
	for _, s := range m.GetSuspects() {
		c.Suspects = append(c.Suspects, run.Suspect{Task: s.GetTask(), Kind: s.GetKind(), Age: time.Duration(s.GetAgeMs()) * time.Millisecond})
	}
	if len(m.GetStarts()) > 0 {
		c.Starts = map[string]float64{}
	}
	for _, s := range m.GetStarts() {
		c.Starts[s.GetKind()] = float64(s.GetPerKs()) / 1000
	}
	return c, time.Duration(m.GetAgeMs()) * time.Millisecond
}

// SlowdownToProto converts a slowdown to thousandths; 0 means that it is unknown.
func SlowdownToProto(slowdown float64) uint32 { return thousandths(slowdown) }

// thousandths converts a number to thousandths, and one beyond the range of the result to the nearest in it.
func thousandths(x float64) uint32 {
	if !(x > 0) {
		return 0
	}
	return uint32(min(math.MaxUint32, math.Round(x*1000)))
}

// SlowdownFromProto converts thousandths to a slowdown; 0 means that it is unknown. A slowdown above
// jobs.MaxSlowdown, which no entry measures, counts as unknown.
func SlowdownFromProto(permille uint32) float64 {
	slowdown := float64(permille) / 1000
	if slowdown > jobs.MaxSlowdown {
		return 0
	}
	return slowdown
}

// MillisecondsToProto converts a time that has passed to milliseconds, and one beyond the range of the result to the
// nearest in it.
func MillisecondsToProto(d time.Duration) uint32 {
	return uint32(min(math.MaxUint32, max(0, d.Milliseconds())))
}

// maxSlack bounds the time from now to the latest start of a task, in either direction. Jobs are known for less than
// a day after their latest start.
const maxSlack = 365 * 24 * time.Hour

// SlackFromProto converts the milliseconds to the latest start of a task to a duration of at most maxSlack, in either
// direction.
func SlackFromProto(ms int64) time.Duration {
	limit := maxSlack.Milliseconds()
	return time.Duration(min(limit, max(-limit, ms))) * time.Millisecond
}

// ProgressToProto converts the progress of a run, and the time since it began, to its protobuf message.
func ProgressToProto(ref run.Ref, percent int, age time.Duration) *peerv1.RunProgress {
	return &peerv1.RunProgress{Ref: RefToProto(ref), Percent: uint32(min(100, max(0, percent))), AgeMs: MillisecondsToProto(age)}
}

// ProgressFromProto converts a protobuf message to the progress of a run and the time since it began. A percentage
// above 100 becomes 100.
func ProgressFromProto(p *peerv1.RunProgress) (ref run.Ref, percent int, age time.Duration) {
	return RefFromProto(p.GetRef()), int(min(100, p.GetPercent())), time.Duration(p.GetAgeMs()) * time.Millisecond
}

// maxEntries bounds the number of entries that an agent reports. Each of them is assumed to use the same share of the
// backend server, so that a number too large would make an entry reject all jobs.
const maxEntries = 10_000

// ReportFromProto converts the state in an agent's frame to a report. The server is the newest one that the agent has
// reported.
func ReportFromProto(f *peerv1.AgentFrame, server run.Server) jobs.Report {
	return jobs.Report{
		Server: server, Free: FreeFromProto(f.GetFree()), Ack: f.GetAck(), Entries: int(min(maxEntries, f.GetEntries())),
		OthersSlowdown: SlowdownFromProto(f.GetSlowdownPermille()), OthersConfined: f.GetConfined(), ReportsCrashes: f.GetReportsCrashes(),
		RecordsOwners: f.GetRecordsOwners(), Uptime: uptimeFromProto(f.GetClockMs()), RunsListed: f.GetRunsListed(),
		ListedAgents: listedFromProto(f.GetListedAgents()),
		Usage:        UsageFromProto(f.GetUsage()),
	}
}

// MaxListedAgents bounds the listed agents that are read from one frame.
const MaxListedAgents = 4096

// listedFromProto converts the agents whose runs are listed.
func listedFromProto(list []*peerv1.ListedAgent) []jobs.ListedAgent {
	var agents []jobs.ListedAgent
	for _, a := range list[:min(len(list), MaxListedAgents)] {
		agents = append(agents, jobs.ListedAgent{ID: a.GetId(), Incarnation: a.GetIncarnation()})
	}
	return agents
}

// ListedToProto is the opposite of listedFromProto.
func ListedToProto(agents []jobs.ListedAgent) []*peerv1.ListedAgent {
	var list []*peerv1.ListedAgent
	for _, a := range agents {
		list = append(list, &peerv1.ListedAgent{Id: a.ID, Incarnation: a.Incarnation})
	}
	return list
}

// maxUptime bounds the time since an agent's start in a report. It decides nothing after a second.
const maxUptime = time.Hour

// uptimeFromProto converts an agent's clock, which starts at 0 with its process. The result is at least a millisecond,
// because a report with 0 is one without it.
func uptimeFromProto(ms uint64) time.Duration {
	return time.Duration(min(uint64(maxUptime.Milliseconds()), max(1, ms))) * time.Millisecond
}

// BatchToProto converts an entry's orders, stops and claims for one agent to a frame. The caller sets the
// other fields of the frame.
func BatchToProto(b jobs.Batch) *peerv1.EntryFrame {
	f := &peerv1.EntryFrame{Seq: b.Seq}
	for _, o := range b.Orders {
		f.Orders = append(f.Orders, &peerv1.RunOrder{
			Ref: RefToProto(o.Ref), Demand: DemandToProto(o.Demand), Spec: o.Spec, Checkpoint: o.Checkpoint,
			Server: o.Instance, MaxPerServer: uint32(o.MaxPerServer), Label: o.Label, Kind: o.Kind,
		})
	}
	for _, r := range b.Stops {
		f.Stops = append(f.Stops, RefToProto(r))
	}
	for _, c := range b.Claims {
		f.Claims = append(f.Claims, &peerv1.RunClaim{Ref: RefToProto(c.Ref), Demand: DemandToProto(c.Demand), AgeMs: MillisecondsToProto(c.Age)})
	}
	for _, r := range b.Requests {
		f.Requests = append(f.Requests, &peerv1.JobRequest{Job: r.Job, Number: r.Number})
	}
	f.Releases, f.Owned, f.Cancels = b.Releases, b.Owned, b.Cancels
	return f
}

// RequestFromProto converts a protobuf message to a request for a job.
func RequestFromProto(r *peerv1.JobRequest) owner.Request {
	return owner.Request{Job: r.GetJob(), Number: r.GetNumber()}
}

// AnswerToProto converts the answer to a request for a job to its protobuf message.
func AnswerToProto(a owner.Answer) *peerv1.JobAnswer {
	return &peerv1.JobAnswer{Job: a.Job, Number: a.Number, Granted: a.Granted, Cancelled: a.Cancelled, OwnerLost: a.OwnerLost}
}

// AnswerFromProto converts a protobuf message to the answer to a request for a job, without the entry.
func AnswerFromProto(a *peerv1.JobAnswer) owner.Answer {
	return owner.Answer{
		Request: owner.Request{Job: a.GetJob(), Number: a.GetNumber()}, Granted: a.GetGranted() && !a.GetCancelled(), Cancelled: a.GetCancelled(),
		OwnerLost: a.GetOwnerLost(),
	}
}

// CancelAnswerToProto converts the answer to a cancel of a job to its protobuf message.
func CancelAnswerToProto(job string, a jobs.CancelAnswer) *peerv1.CancelAnswer {
	return &peerv1.CancelAnswer{Job: job, PassedOn: a.PassedOn, Recorded: a.Recorded, MayHave: a.MayHave}
}

// CancelAnswerFromProto converts a protobuf message to the answer to a cancel of a job.
func CancelAnswerFromProto(a *peerv1.CancelAnswer) jobs.CancelAnswer {
	return jobs.CancelAnswer{PassedOn: a.GetPassedOn(), Recorded: a.GetRecorded(), MayHave: a.GetMayHave()}
}
