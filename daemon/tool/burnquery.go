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

// objectiveAnswer is the answer of one entry to GetObjectives.
type objectiveAnswer struct {
	// id is empty until an entry answers at an address that the operator named.
	id, address string
	counters    *poplargwv1.GetObjectivesResponse
	// err says why the entry did not answer; it is empty if it did.
	err string
}

// queryObjectives asks the entries of the status and the extra addresses that the operator named, all at
// once and each address once. The extra addresses help where those in the status cannot be reached.
func queryObjectives(ctx context.Context, st *poplargwv1.GetStatusResponse, extra []string) []objectiveAnswer {
	var list []objectiveAnswer
	for _, e := range st.GetEntries() {
		list = append(list, objectiveAnswer{id: e.GetId(), address: e.GetOperators()})
	}
	for _, a := range extra {
		if !slices.ContainsFunc(list, func(k objectiveAnswer) bool { return k.address == a }) {
			list = append(list, objectiveAnswer{address: a})
		}
	}
	var group sync.WaitGroup
	for i := range list {
		group.Go(func() { list[i].query(ctx) })
	}
	group.Wait()
	return dedupeByEntry(list)
}

// query calls GetObjectives at a.address and sets the counters or the error.
func (a *objectiveAnswer) query(ctx context.Context) {
	if a.address == "" {
		a.err = "the entry table has no operator address for this entry"
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	resp, err := operatorClient(a.address).GetObjectives(ctx, connect.NewRequest(&poplargwv1.GetObjectivesRequest{}))
	if err != nil {
		a.err = cause(err).Error()
		return
	}
	if a.id != "" && a.id != resp.Msg.GetEntry() {
		a.err = "the address belongs to entry " + resp.Msg.GetEntry()
		return
	}
	a.id, a.counters = resp.Msg.GetEntry(), resp.Msg
}

// dedupeByEntry keeps one answer of each entry, whatever address it came from, and drops the errors of
// entries that answered at another address.
func dedupeByEntry(list []objectiveAnswer) []objectiveAnswer {
	answeredIDs := make(map[string]bool)
	var unique []objectiveAnswer
	for _, a := range list {
		if a.err == "" && !answeredIDs[a.id] {
			answeredIDs[a.id] = true
			unique = append(unique, a)
		}
	}
	for _, a := range list {
		if a.err != "" && !answeredIDs[a.id] {
			unique = append(unique, a)
		}
	}
	return unique
}

// burnSamples converts the counters of all answers to samples.
func burnSamples(answers []objectiveAnswer) []burn.Sample {
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
