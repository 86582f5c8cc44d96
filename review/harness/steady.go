package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"poplargw.example/platform/standin"
)

// steadyWorker is a worker on a machine that may be suspended. Its tasks and its lease run on its own steady clock, which
// does not count the time for which the machine is suspended. A task's specification is its run time in milliseconds.
type steadyWorker struct {
	id   string
	born time.Time

	mu        sync.Mutex
	cond      *sync.Cond
	suspended bool
	slept     time.Duration // suspended so far, without the present time
	sleptAt   time.Time
	running   map[string]*steadyRun // by task and run
	highest   map[string]uint64     // by task: the highest run that was stopped or has ended
	ended     [][]any
	numbers   int64
	leaseEnd  int64
	starts    []*standin.Start
}

type steadyRun struct {
	start   *standin.Start
	began   int64 // on the steady clock
	ends    int64 // on the steady clock
	outcome string
}

const (
	steadyOffset = 480_000
	holdMaxMs    = 1000
	steadyTick   = 500 * time.Microsecond
)

func newSteadyWorker(id string) *steadyWorker {
	w := &steadyWorker{id: id, born: time.Now(), running: map[string]*steadyRun{}, highest: map[string]uint64{}}
	w.cond = sync.NewCond(&w.mu)
	return w
}

// run ends tasks whose time or lease is over until stop is closed.
func (w *steadyWorker) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(steadyTick):
		}
		w.mu.Lock()
		if !w.suspended {
			w.advance()
		}
		w.mu.Unlock()
	}
}

// clock returns the steady clock in milliseconds. The caller holds the lock.
func (w *steadyWorker) clock() int64 {
	until := time.Now()
	if w.suspended {
		until = w.sleptAt
	}
	return steadyOffset + (until.Sub(w.born) - w.slept).Milliseconds()
}

func (w *steadyWorker) advance() {
	now := w.clock()
	for key, r := range w.running {
		switch {
		case now > w.leaseEnd:
			w.end(key, r, "lapsed")
		case now >= r.ends:
			w.end(key, r, r.outcome)
		}
	}
}

func (w *steadyWorker) end(key string, r *steadyRun, how string) {
	delete(w.running, key)
	r.start.Ended, r.start.Outcome = time.Now(), how
	w.highest[r.start.Task] = max(w.highest[r.start.Task], r.start.Run)
	w.numbers++
	w.ended = append(w.ended, []any{w.numbers, r.start.Task, r.start.Run, how, ""})
	w.cond.Broadcast()
}

// suspend suspends the worker or lets it go on.
func (w *steadyWorker) suspend(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if on {
		w.sleptAt = time.Now()
	} else {
		w.slept += time.Since(w.sleptAt)
	}
	w.suspended = on
	w.cond.Broadcast()
}

// awake waits while the machine is suspended. The caller holds the lock.
func (w *steadyWorker) awake() {
	for w.suspended {
		w.cond.Wait()
	}
}

func (w *steadyWorker) Starts() []standin.Start {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []standin.Start
	for _, s := range w.starts {
		list = append(list, *s)
	}
	return list
}

// ServeHTTP implements http.Handler.
func (w *steadyWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var in struct {
		Task       string `json:"task"`
		Run        uint64 `json:"run"`
		Spec       string `json:"spec"`
		DeadlineMS int64  `json:"deadlineMs"`
		LastSeen   int64  `json:"lastSeen"`
		WaitMS     int64  `json:"waitMs"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	w.awake()
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		w.mu.Unlock()
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.advance()
	status, reason := http.StatusOK, ""
	body := map[string]any{}
	key := fmt.Sprint(in.Task, "/", in.Run)
	switch r.URL.Path {
	case "/-/run-start":
		switch {
		case w.running[key] != nil:
		case in.Run <= w.highest[in.Task]:
			reason = "old"
		case in.DeadlineMS < w.clock():
			reason = "late"
		default:
			ms, _ := strconv.ParseInt(in.Spec, 10, 64)
			s := &standin.Start{Task: in.Task, Spec: in.Spec, Run: in.Run, Started: time.Now()}
			w.running[key] = &steadyRun{start: s, began: w.clock(), ends: w.clock() + ms, outcome: "done"}
			w.starts = append(w.starts, s)
		}
		if reason != "late" {
			w.extend(in.DeadlineMS)
		}
	case "/-/run-stop":
		if run := w.running[key]; run != nil && run.outcome != "stopped" {
			run.ends, run.outcome = min(run.ends, w.clock()+stopTime.Milliseconds()), "stopped"
		}
		w.highest[in.Task] = max(w.highest[in.Task], in.Run)
	case "/-/hold":
		w.extend(in.DeadlineMS)
		w.forget(in.LastSeen)
		until := time.Now().Add(time.Duration(in.WaitMS) * time.Millisecond)
		wake := time.AfterFunc(time.Until(until), w.cond.Broadcast)
		for (len(w.ended) == 0 && time.Now().Before(until) || w.suspended) && r.Context().Err() == nil {
			w.cond.Wait()
		}
		wake.Stop()
		running, ended := [][]any{}, [][]any{}
		for _, run := range w.running {
			percent := min(99, 100*(w.clock()-run.began)/max(1, run.ends-run.began))
			running = append(running, []any{run.start.Task, run.start.Run, "", percent, 0})
		}
		body["born"], body["running"], body["ended"] = w.born.UnixMilli(), running, append(ended, w.ended...)
	default:
		status = http.StatusNotFound
	}
	w.awake()
	body["clockMs"] = w.clock()
	if reason != "" {
		status, body["reason"] = http.StatusConflict, reason
	}
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (w *steadyWorker) extend(deadlineMS int64) {
	w.leaseEnd = max(w.leaseEnd, min(deadlineMS, w.clock()+holdMaxMs))
}

// forget drops the ends that the agent has seen.
func (w *steadyWorker) forget(lastSeen int64) {
	var kept [][]any
	for _, e := range w.ended {
		if e[0].(int64) > lastSeen {
			kept = append(kept, e)
		}
	}
	w.ended = kept
}
