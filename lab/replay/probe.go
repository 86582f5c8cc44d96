package replay

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
	"poplargw.example/api/gen/poplargw/v1/poplargwv1connect"
	"poplargw.example/lab/testbed"
)

// Quantiles holds the median and the 99th percentile of response times.
type Quantiles struct{ P50, P99 time.Duration }

// SingleTaskLatency holds the response times of tasks sent directly to a backend server and of
// tasks submitted to the dispatcher.
type SingleTaskLatency struct{ Direct, Dispatched Quantiles }

// MeasureSingleTask runs n tasks of ms milliseconds directly on the first backend server and n
// through the dispatcher, alternately and one at a time. It returns the first error of a task.
func (s *System) MeasureSingleTask(n, ms int) (SingleTaskLatency, error) {
	server := poplargwv1connect.NewBackendServerClient(&http.Client{Transport: &http.Transport{}},
		"http://"+s.net.Addr(testbed.FirstAgentHost, testbed.PortServer))
	payload := fmt.Appendf(nil, `{"ms":%d}`, ms)
	var direct, dispatched []time.Duration
	for range n {
		id := uuid.Must(uuid.NewV7())
		begin := time.Now()
		_, err := server.Run(context.Background(), connect.NewRequest(&poplargwv1.RunRequest{Caller: "direct", SubmissionId: id[:],
			Service: s.o.Header.Service, Kind: s.o.Header.Kinds[0].Name, Payload: payload, StartBeforeUnixMs: begin.Add(time.Minute).UnixMilli()}))
		if err != nil {
			return SingleTaskLatency{}, err
		}
		direct = append(direct, time.Since(begin))
		begin = time.Now()
		id = uuid.Must(uuid.NewV7())
		if _, err := s.dispatcherClient(0).SubmitJob(context.Background(), connect.NewRequest(s.request(id, 1, payload))); err != nil {
			return SingleTaskLatency{}, err
		}
		dispatched = append(dispatched, time.Since(begin))
	}
	return SingleTaskLatency{Direct: quantiles(direct), Dispatched: quantiles(dispatched)}, nil
}

// request returns a job of the given number of tasks of the first kind with the same payload.
func (s *System) request(id uuid.UUID, tasks int, payload []byte) *poplargwv1.SubmitJobRequest {
	r := &poplargwv1.SubmitJobRequest{Caller: "probe", SubmissionId: id[:], Service: s.o.Header.Service,
		Timeout: durationpb.New(jobTimeout), Repeatable: true}
	for range tasks {
		r.Tasks = append(r.Tasks, &poplargwv1.Task{Kind: s.o.Header.Kinds[0].Name, Payload: payload})
	}
	return r
}

// quantiles sorts d, which must not be empty, and returns its quantiles.
func quantiles(d []time.Duration) Quantiles {
	slices.Sort(d)
	return Quantiles{P50: d[len(d)/2], P99: d[len(d)*99/100]}
}

// Saturation is the result of a measurement under more load than the system can take.
type Saturation struct {
	// Rate is the number of starts per second. Starts is the number of starts, and Wasted that of the
	// messages that led to neither a start nor an answer.
	Rate, Starts, Wasted float64
	// Failed is the number of failed jobs.
	Failed int
	// EntryCPU and AgentCPU are the processor time that all entries and all agents used.
	EntryCPU, AgentCPU time.Duration
}

// Load of Saturate: concurrent callers for each entry, and tasks of each job.
const (
	saturatingCallers = 24
	saturatingTasks   = 50
)

// Saturate measures the largest rate of starts: for the duration d, many concurrent callers
// submit jobs whose tasks take no time. Failed jobs are counted; only unreadable metrics are an
// error.
func (s *System) Saturate(d time.Duration) (*Saturation, error) {
	before, err := s.counters()
	if err != nil {
		return nil, err
	}
	r := &Saturation{}
	entryCPU, agentCPU := s.cpuTimes()
	begin := time.Now()
	var mu sync.Mutex
	var done sync.WaitGroup
	for i := range saturatingCallers * len(s.entries) {
		done.Go(func() {
			for time.Since(begin) < d {
				_, err := s.dispatcherClient(i%len(s.entries)).SubmitJob(context.Background(),
					connect.NewRequest(s.request(uuid.Must(uuid.NewV7()), saturatingTasks, nil)))
				if err != nil {
					mu.Lock()
					r.Failed++
					mu.Unlock()
				}
			}
		})
	}
	done.Wait()
	seconds := time.Since(begin).Seconds()
	entryCPUAfter, agentCPUAfter := s.cpuTimes()
	after, err := s.counters()
	if err != nil {
		return nil, err
	}
	r.Starts = after["poplargw_agent_starts_granted_total"] - before["poplargw_agent_starts_granted_total"]
	r.Wasted = after["poplargw_wasted_messages_total"] - before["poplargw_wasted_messages_total"]
	r.Rate, r.EntryCPU, r.AgentCPU = r.Starts/seconds, entryCPUAfter-entryCPU, agentCPUAfter-agentCPU
	return r, nil
}
