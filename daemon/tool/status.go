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
	resp, err := newEntryPool(c).status(ctx)
	if err != nil {
		return err
	}
	return showMessage(c, resp, func(w io.Writer) { printStatus(w, resp) })
}

func printStatus(w io.Writer, s *poplargwv1.GetStatusResponse) {
	printRow(w, "ENTRY", "CONFIG", "TABLE", "SYNCED", "FRESH", "STORE")
	printRow(w, s.GetEntry(), s.GetConfigVersion(), s.GetTableVersion(), s.GetSynced(), s.GetFresh(), s.GetStoreReachable())
	printRow(w)
	printRow(w, "MEMBER", "PEERS", "OPERATORS", "CONFIG", "LAST CONTACT")
	for _, e := range s.GetEntries() {
		printRow(w, e.GetId(), e.GetAddress(), e.GetOperators(), e.GetConfigVersion(), ago(e.GetLastContact()))
	}
	printRow(w)
	printRow(w, "AGENT", "DOMAIN", "CONFIG", "LAST REPORT", "SERVER", "SERVICE", "FREE", "SLOTS", "STATE")
	for _, a := range s.GetAgents() {
		printAgent(w, a)
	}
	printRow(w)
	printRow(w, "SERVICE", "KIND", "QUEUED", "RUNNING")
	for _, q := range s.GetQueues() {
		printRow(w, q.GetService(), q.GetKind(), q.GetQueued(), q.GetRunning())
	}
}

func printAgent(w io.Writer, a *poplargwv1.AgentStatus) {
	if len(a.GetServers()) == 0 {
		printRow(w, a.GetId(), a.GetDomain(), a.GetConfigVersion(), ago(a.GetLastReport()), "-", "-", 0, 0, "-")
	}
	for _, s := range a.GetServers() {
		printRow(w, a.GetId(), a.GetDomain(), a.GetConfigVersion(), ago(a.GetLastReport()),
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

// ago formats the time since an event, rounded to milliseconds. A nil duration gives "never".
func ago(d *durationpb.Duration) string {
	if d == nil {
		return "never"
	}
	return d.AsDuration().Round(time.Millisecond).String()
}
