package tool

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/dispatch/burn"
)

// objectiveAnswer is what one entry said about its objectives.
type objectiveAnswer struct {
	id, address string
	counters    *poplargwv1.GetObjectivesResponse
	err         string
}

// askObjectives asks the entries of the status and those that the operator named, at most once each.
// Named addresses help where the addresses in the status cannot be reached.
func askObjectives(ctx context.Context, st *poplargwv1.GetStatusResponse, named []string) []objectiveAnswer {
	var list []objectiveAnswer
	for _, e := range st.GetEntries() {
		list = append(list, objectiveAnswer{id: e.GetId(), address: e.GetOperators()})
	}
	for _, a := range named {
		if !slices.ContainsFunc(list, func(k objectiveAnswer) bool { return k.address == a }) {
			list = append(list, objectiveAnswer{address: a})
		}
	}
	var group sync.WaitGroup
	for i := range list {
		group.Go(func() { list[i].ask(ctx) })
	}
	group.Wait()
	return oncePerEntry(list)
}

func (a *objectiveAnswer) ask(ctx context.Context) {
	if a.address == "" {
		a.err = "the entry table has no operator address of this entry"
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	resp, err := operatorClient(a.address).GetObjectives(ctx, connect.NewRequest(&poplargwv1.GetObjectivesRequest{}))
	if err != nil {
		a.err = cause(err).Error()
		return
	}
	if a.id != "" && a.id != resp.Msg.GetEntry() {
		a.err = "the address answers for entry " + resp.Msg.GetEntry()
		return
	}
	a.id, a.counters = resp.Msg.GetEntry(), resp.Msg
}

// oncePerEntry keeps one answer of each entry, whatever the address that it came from, and drops errors
// of entries that answered at another address.
func oncePerEntry(list []objectiveAnswer) []objectiveAnswer {
	answered := make(map[string]bool)
	var kept []objectiveAnswer
	for _, a := range list {
		if a.err == "" && !answered[a.id] {
			answered[a.id] = true
			kept = append(kept, a)
		}
	}
	for _, a := range list {
		if a.err != "" && !answered[a.id] {
			kept = append(kept, a)
		}
	}
	return kept
}

func samplesOf(answers []objectiveAnswer) []burn.Sample {
	var samples []burn.Sample
	for _, a := range answers {
		for _, w := range a.counters.GetWindows() {
			samples = append(samples, burn.Sample{
				Series: burn.Series{Service: w.GetService(), Kind: w.GetKind(), Team: w.GetTeam()},
				Begin:  time.UnixMilli(w.GetBeginUnixMs()), Length: w.GetLength().AsDuration(),
				Count: burn.Count{Good: w.GetGood(), Total: w.GetTotal()},
			})
		}
	}
	return samples
}
