package tool

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/types/known/durationpb"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the processes, backend servers and queues that an entry knows",
		Flags: commonFlags(), OnUsageError: OnUsageError, Action: action(status),
	}
}

func status(ctx context.Context, c *cli.Command) error {
	resp, err := entriesOf(c).status(ctx)
	if err != nil {
		return err
	}
	return show(c, resp, func(w io.Writer) { printStatus(w, resp) })
}

func printStatus(w io.Writer, s *poplargwv1.GetStatusResponse) {
	row(w, "ENTRY", "CONFIG", "TABLE", "SYNCED", "FRESH", "STORE")
	row(w, s.GetEntry(), s.GetConfigVersion(), s.GetTableVersion(), s.GetSynced(), s.GetFresh(), s.GetStoreReachable())
	row(w)
	row(w, "MEMBER", "PEERS", "OPERATORS", "CONFIG", "LAST CONTACT")
	for _, e := range s.GetEntries() {
		row(w, e.GetId(), e.GetAddress(), e.GetOperators(), e.GetConfigVersion(), ago(e.GetLastContact()))
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
		row(w, a.GetId(), a.GetDomain(), a.GetConfigVersion(), ago(a.GetLastReport()), "-", "-", 0, 0, "-")
	}
	for _, s := range a.GetServers() {
		row(w, a.GetId(), a.GetDomain(), a.GetConfigVersion(), ago(a.GetLastReport()),
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

// ago formats a time that has passed, or "never".
func ago(d *durationpb.Duration) string {
	if d == nil {
		return "never"
	}
	return d.AsDuration().Round(time.Millisecond).String()
}
