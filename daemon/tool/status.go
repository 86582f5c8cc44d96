package tool

import (
	"context"
	"io"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the processes, backend servers and queues that an entry knows",
		Flags: commonFlags(), OnUsageError: usageError, Action: action(status),
	}
}

func status(ctx context.Context, c *cli.Command) error {
	resp, err := operator(c).GetStatus(ctx, connect.NewRequest(&poplargwv1.GetStatusRequest{}))
	if err != nil {
		return callFailed(err)
	}
	return show(c, resp.Msg, func(w io.Writer) { printStatus(w, resp.Msg) })
}

func printStatus(w io.Writer, s *poplargwv1.GetStatusResponse) {
	row(w, "ENTRY", "CONFIG", "TABLE", "SYNCED", "FRESH", "STORE")
	row(w, s.GetEntry(), s.GetConfigVersion(), s.GetTableVersion(), s.GetSynced(), s.GetFresh(), s.GetStoreReachable())
	row(w)
	row(w, "MEMBER", "ADDRESS", "CONFIG", "LAST CONTACT")
	for _, e := range s.GetEntries() {
		row(w, e.GetId(), e.GetAddress(), e.GetConfigVersion(), e.GetLastContact().AsDuration())
	}
	row(w)
	row(w, "AGENT", "DOMAIN", "CONFIG", "LAST REPORT", "SERVER", "SERVICE", "FREE", "SLOTS", "STATE")
	for _, a := range s.GetAgents() {
		printAgent(w, a)
	}
	row(w)
	row(w, "SERVICE", "KIND", "QUEUED", "RUNNING")
	for _, q := range s.GetQueues() {
		row(w, q.GetService(), q.GetKind(), q.GetQueued(), q.GetRunning())
	}
}

func printAgent(w io.Writer, a *poplargwv1.AgentStatus) {
	if len(a.GetServers()) == 0 {
		row(w, a.GetId(), a.GetDomain(), a.GetConfigVersion(), a.GetLastReport().AsDuration(), "-", "-", 0, 0, "-")
	}
	for _, s := range a.GetServers() {
		row(w, a.GetId(), a.GetDomain(), a.GetConfigVersion(), a.GetLastReport().AsDuration(),
			s.GetName(), s.GetService(), s.GetFreeSlots(), s.GetSlots(), serverState(s))
	}
}

func serverState(s *poplargwv1.ServerStatus) string {
	switch {
	case s.GetOut():
		return "out"
	case s.GetLeaving():
		return "leaving"
	case s.GetSuspended():
		return "suspended"
	}
	return "in"
}
