package link

import (
	peerv1 "poplargw.example/api/gen/poplargw/peer/v1"
	"poplargw.example/dispatch/jobs"
	"poplargw.example/dispatch/result"
	"poplargw.example/dispatch/run"
)

// RefOut and the other functions of this file translate between frames and the dispatch types.
func RefOut(r run.Ref) *peerv1.RunRef { return &peerv1.RunRef{Task: r.Task, Run: r.Run} }

// RefIn decodes a run's name.
func RefIn(r *peerv1.RunRef) run.Ref { return run.Ref{Task: r.GetTask(), Run: r.GetRun()} }

// DemandOut encodes a demand.
func DemandOut(d run.Demand) *peerv1.Demand {
	return &peerv1.Demand{Cpu: d.CPU, MemoryMb: d.MemoryMB, Gpu: d.GPU}
}

// DemandIn decodes a demand.
func DemandIn(d *peerv1.Demand) run.Demand {
	return run.Demand{CPU: d.GetCpu(), MemoryMB: d.GetMemoryMb(), GPU: d.GetGpu()}
}

var stateOut = map[run.State]peerv1.RunServerState{
	run.Absent:   peerv1.RunServerState_RUN_SERVER_STATE_ABSENT,
	run.Ready:    peerv1.RunServerState_RUN_SERVER_STATE_READY,
	run.Draining: peerv1.RunServerState_RUN_SERVER_STATE_DRAINING,
}

// ServerOut encodes a backend server.
func ServerOut(s run.Server) *peerv1.RunServer {
	return &peerv1.RunServer{
		Instance: s.Instance, Service: s.Service, Domain: s.Domain, State: stateOut[s.State],
		Room: DemandOut(s.Room), Labels: s.Labels,
	}
}

// ServerIn decodes a backend server; a state of a later version counts as absent.
func ServerIn(s *peerv1.RunServer) run.Server {
	v := run.Server{
		Instance: s.GetInstance(), Service: s.GetService(), Domain: s.GetDomain(),
		Room: DemandIn(s.GetRoom()), Labels: s.GetLabels(),
	}
	for state, code := range stateOut {
		if code == s.GetState() {
			v.State = state
		}
	}
	return v
}

var kindOut = map[run.Kind]peerv1.RunEventKind{
	run.NotRun:  peerv1.RunEventKind_RUN_EVENT_KIND_NOT_RUN,
	run.Running: peerv1.RunEventKind_RUN_EVENT_KIND_RUNNING,
	run.Done:    peerv1.RunEventKind_RUN_EVENT_KIND_DONE,
	run.Failed:  peerv1.RunEventKind_RUN_EVENT_KIND_FAILED,
	run.Stopped: peerv1.RunEventKind_RUN_EVENT_KIND_STOPPED,
}

// EventOut encodes an event.
func EventOut(e run.Event) *peerv1.RunEvent {
	return &peerv1.RunEvent{Ref: RefOut(e.Ref), Kind: kindOut[e.Kind], Reason: uint32(e.Reason), Checkpoint: e.Checkpoint}
}

// EventIn decodes an event; the kind is 0 for one of a later version.
func EventIn(e *peerv1.RunEvent) run.Event {
	v := run.Event{Ref: RefIn(e.GetRef()), Reason: result.Code(e.GetReason()), Checkpoint: e.GetCheckpoint()}
	for kind, code := range kindOut {
		if code == e.GetKind() {
			v.Kind = kind
		}
	}
	return v
}

// BatchOut encodes what an entry tells an agent.
func BatchOut(b jobs.Batch) *peerv1.EntryFrame {
	f := &peerv1.EntryFrame{Seq: b.Seq}
	for _, o := range b.Orders {
		f.Orders = append(f.Orders, &peerv1.RunOrder{
			Ref: RefOut(o.Ref), Demand: DemandOut(o.Demand), Spec: o.Spec, Checkpoint: o.Checkpoint,
			Server: o.Instance, MaxPerServer: uint32(o.MaxPerServer), Label: o.Label,
		})
	}
	for _, r := range b.Stops {
		f.Stops = append(f.Stops, RefOut(r))
	}
	for _, c := range b.Claims {
		f.Claims = append(f.Claims, &peerv1.RunClaim{Ref: RefOut(c.Ref), Demand: DemandOut(c.Demand), AgeMs: uint32(c.Age.Milliseconds())})
	}
	return f
}
