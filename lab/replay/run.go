package replay

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	"poplargw.example/api/client"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/daemon/sample"
)

// Status says how a job ended for its caller.
type Status int

// Statuses of a job.
const (
	Complete    Status = iota
	Refused            // the failure says that nothing was run
	Failed             // the failure has another effect, or there was no answer
	Cancelled          // the trace cancels the job, whatever the answer
	WrongAnswer        // the answer belongs to another request
)

// Outcome is what the caller of a job saw.
type Outcome struct {
	Status   Status
	Code     uint32
	Response time.Duration
}

// Result is a replay of a trace on a system.
type Result struct {
	Outcomes []Outcome
	// Runs lists the starts that the backend servers recorded. The end of each run is computed
	// from its run time in the trace and the speed of the server; on a failing server it is the start.
	Runs []Run
	// DuplicateStarts is the number of starts of tasks that had been started before.
	DuplicateStarts int
	// Starts is the number of all starts. Counters holds the increase of each counter during the replay, summed over the entries and
	// agents, by metric name with labels.
	Starts   int
	Counters map[string]float64
	// EntryCPU and AgentCPU are the processor time that all entries and all agents used.
	EntryCPU, AgentCPU time.Duration
	// OutAt and BackAt are the times, from the start of the replay, at which the failure domain
	// had been taken out of service and returned; 0 if the trace takes none out.
	OutAt, BackAt time.Duration
}

// jobTimeout is the timeout that callers set for every job.
const jobTimeout = 40 * time.Second

// player replays one trace on one system.
type player struct {
	s        *System
	t        *Trace
	begin    time.Time
	ids      []uuid.UUID
	outcomes []Outcome
}

// Play replays the trace and returns when every job has its outcome. It fails if metrics or start
// logs cannot be read or a change of the failure domain is not accepted; a failed job is no error.
func (s *System) Play(t *Trace) (*Result, error) {
	p := &player{s: s, t: t, ids: make([]uuid.UUID, len(t.Jobs)), outcomes: make([]Outcome, len(t.Jobs))}
	before, err := s.counters()
	if err != nil {
		return nil, err
	}
	entryCPU, agentCPU := s.cpuTimes()
	p.begin = time.Now()
	r := &Result{}
	domainDone := make(chan error, 1)
	go func() { domainDone <- p.changeDomain(r) }()
	p.submitAll()
	if err := <-domainDone; err != nil {
		return nil, err
	}
	after, err := s.counters()
	if err != nil {
		return nil, err
	}
	for k := range after {
		after[k] -= before[k]
	}
	r.Counters, r.Outcomes = after, p.outcomes
	entryCPUAfter, agentCPUAfter := s.cpuTimes()
	r.EntryCPU, r.AgentCPU = entryCPUAfter-entryCPU, agentCPUAfter-agentCPU
	return r, p.readStarts(r)
}

// changeDomain takes the failure domain of the trace out of service and returns it at the times
// that the trace gives, and records in r when each change was accepted.
func (p *player) changeDomain(r *Result) error {
	if p.t.OutDomain == "" {
		return nil
	}
	time.Sleep(time.Until(p.begin.Add(milliseconds(p.t.OutMS))))
	if err := p.s.setDomainOut(p.t.OutDomain, true); err != nil {
		return err
	}
	r.OutAt = time.Since(p.begin)
	time.Sleep(time.Until(p.begin.Add(milliseconds(p.t.BackMS))))
	err := p.s.setDomainOut(p.t.OutDomain, false)
	r.BackAt = time.Since(p.begin)
	return err
}

// submitAll submits and cancels all jobs at their times and waits for their outcomes.
func (p *player) submitAll() {
	var done sync.WaitGroup
	for i := range p.t.Jobs {
		time.Sleep(time.Until(p.begin.Add(milliseconds(p.t.Jobs[i].AtMS))))
		p.ids[i] = uuid.Must(uuid.NewV7())
		done.Go(func() { p.submit(i) })
		if p.t.Jobs[i].CancelMS > 0 {
			done.Go(func() { p.cancel(i) })
		}
	}
	done.Wait()
}

// submit sends job i to a random entry, waits for the answer and records the outcome.
func (p *player) submit(i int) {
	j := &p.t.Jobs[i]
	r := &poplargwv1.SubmitJobRequest{Caller: "replay", SubmissionId: p.ids[i][:], Service: p.t.Service,
		Timeout: durationpb.New(jobTimeout), Repeatable: true}
	for _, ms := range j.RunMS {
		payload, _ := json.Marshal(sample.Work{MS: ms})
		t := &poplargwv1.Task{Kind: p.t.Kinds[j.Kind].Name, Payload: payload}
		if j.DeclaredMS > 0 {
			t.DeclaredDuration = durationpb.New(milliseconds(j.DeclaredMS))
		}
		r.Tasks = append(r.Tasks, t)
	}
	begin := time.Now()
	res, err := p.s.dispatcherClient(rand.IntN(len(p.s.entries))).SubmitJob(context.Background(), connect.NewRequest(r))
	o := Outcome{Response: time.Since(begin)}
	switch {
	case j.CancelMS > 0:
		o.Status = Cancelled
	case err == nil:
		o.Status = checkAnswers(r, res.Msg)
	default:
		o.Status = Failed
		if f, ok := client.FailureOf(err); ok {
			o.Code = f.GetCode()
			if f.GetEffect() == poplargwv1.Effect_EFFECT_NOT_RUN {
				o.Status = Refused
			}
		}
	}
	p.outcomes[i] = o
}

// checkAnswers returns Complete if every result answers its own task, and WrongAnswer otherwise.
func checkAnswers(r *poplargwv1.SubmitJobRequest, a *poplargwv1.SubmitJobResponse) Status {
	if len(a.GetResults()) != len(r.GetTasks()) {
		return WrongAnswer
	}
	for i, t := range r.GetTasks() {
		if sample.CheckAnswer(r.GetCaller(), r.GetSubmissionId(), uint32(i), t.GetPayload(), a.GetResults()[i].GetPayload()) != nil {
			return WrongAnswer
		}
	}
	return Complete
}

// cancel cancels job i at its time, at a random entry.
func (p *player) cancel(i int) {
	time.Sleep(time.Until(p.begin.Add(milliseconds(p.t.Jobs[i].CancelMS))))
	// An error is ignored: the job may have ended already, and there is nothing to cancel then.
	_, _ = p.s.dispatcherClient(rand.IntN(len(p.s.entries))).CancelJob(context.Background(),
		connect.NewRequest(&poplargwv1.CancelJobRequest{Caller: "replay", SubmissionId: p.ids[i][:]}))
}

// readStarts fills in the runs, the number of starts and that of duplicate starts from the start
// logs of the backend servers.
func (p *player) readStarts(r *Result) error {
	index := make(map[string]int, len(p.ids))
	for i, id := range p.ids {
		index[hex.EncodeToString(id[:])] = i
	}
	seen := map[string]bool{}
	for i, v := range p.t.Servers {
		starts, err := sample.ReadStarts(p.s.net.File(serverName(i) + ".starts"))
		if err != nil {
			return err
		}
		for _, st := range starts {
			key := fmt.Sprint(st.SubmissionID, "/", st.TaskIndex)
			if seen[key] {
				r.DuplicateStarts++
			}
			seen[key] = true
			start := time.Unix(0, st.UnixNS).Sub(p.begin)
			job := index[st.SubmissionID]
			run := p.t.Jobs[job].RunMS[st.TaskIndex]
			end := start + time.Duration(float64(milliseconds(run))/v.Speed)
			if v.Fails {
				end = start
			}
			r.Runs = append(r.Runs, Run{Job: job, Server: i, Start: start, End: end})
		}
	}
	r.Starts = len(r.Runs)
	return nil
}
