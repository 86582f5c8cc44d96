package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the workers, as in the settings that the processes get.
const (
	holdMax           = 1000 // ms, the longest lease
	stopTime          = 50 * time.Millisecond
	heartbeatInterval = 1500 * time.Millisecond
	clockStart        = 480_000 // ms on the worker's clock at its start
)

type runKey struct {
	task string
	run  uint64
}

type activeRun struct {
	key       runKey
	startedAt time.Duration // on the steady clock
	duration  time.Duration
	left      time.Duration // at the beginning of a suspension
	stopping  bool
	timer     *time.Timer
}

type endedRun struct {
	number int64
	key    runKey
	how    string
}

// started is a run that the worker has begun. ended is zero while it is at work.
type started struct {
	worker, task string
	run          uint64
	at, ended    time.Time
	how          string
}

// worker is a stand-in for one worker. A task works for the number of milliseconds that its spec begins with, and ends as
// done.
type worker struct {
	id, name, zone, service, addr, control string
	labels                                 []string
	cpu                                    int64

	mu       sync.Mutex
	born     time.Time
	seq      int64
	state    string
	running  map[runKey]*activeRun
	highest  map[string]uint64 // by task: the highest run that was stopped or has ended
	ended    []endedRun
	lastEnd  int64
	leaseEnd int64
	lapse    *time.Timer
	changed  chan struct{}
	starts   []*started
	rec      *recorder
	// suspendedAt is zero while the machine runs, suspendedFor the time of its suspensions that are over. resumed is closed at
	// the end of a suspension.
	suspendedAt  time.Time
	suspendedFor time.Duration
	resumed      chan struct{}
}

func newWorker(rec *recorder, id, name, zone, service string, labels []string, cpu int64) *worker {
	w := &worker{id: id, name: name, zone: zone, service: service, labels: labels, cpu: cpu, rec: rec, state: "ready"}
	w.born = time.Now()
	w.running, w.highest, w.changed = map[runKey]*activeRun{}, map[string]uint64{}, make(chan struct{})
	return w
}

// clock returns the worker's steady clock in milliseconds, which stands while the machine is suspended. The caller holds the
// lock.
func (w *worker) clock() int64 { return clockStart + w.steady().Milliseconds() }

// steady returns for how long the worker has run since its start.
func (w *worker) steady() time.Duration {
	now := time.Now()
	if !w.suspendedAt.IsZero() {
		now = w.suspendedAt
	}
	return now.Sub(w.born) - w.suspendedFor
}

// suspend suspends the worker with its machine, or lets it go on: nothing makes progress meanwhile, and no call is read or
// answered.
func (w *worker) suspend(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if on {
		w.suspendedAt, w.resumed = time.Now(), make(chan struct{})
		w.lapse.Stop()
		for _, a := range w.running {
			a.timer.Stop()
			a.left = a.duration - (w.steady() - a.startedAt)
		}
		return
	}
	w.suspendedFor += time.Since(w.suspendedAt)
	w.suspendedAt = time.Time{}
	for _, a := range w.running {
		a.timer = time.AfterFunc(a.left, func() { w.finish(a, "done") })
	}
	w.lapse = time.AfterFunc(time.Duration(w.leaseEnd-w.clock()+1)*time.Millisecond, w.endLease)
	close(w.resumed)
}

// awaitMachine waits while the machine is suspended.
func (w *worker) awaitMachine() {
	for {
		w.mu.Lock()
		suspended, resumed := !w.suspendedAt.IsZero(), w.resumed
		w.mu.Unlock()
		if !suspended {
			return
		}
		<-resumed
	}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.awaitMachine()
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/run-start":
		w.start(out, r)
	case "/-/run-stop":
		w.stop(out, r)
	case "/-/hold":
		w.hold(out, r)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

type startBody struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadlineMs"`
}

func (w *worker) start(out http.ResponseWriter, r *http.Request) {
	var in startBody
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	status, clock, reason := w.begin(in)
	w.awaitMachine()
	answer(out, status, map[string]any{"clockMs": clock, "reason": reason})
}

func (w *worker) begin(in startBody) (status int, clock int64, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := runKey{in.Task, in.Run}
	if w.running[k] != nil {
		return http.StatusOK, w.clock(), ""
	}
	if in.DeadlineMS < w.clock() {
		return http.StatusConflict, w.clock(), "late"
	}
	w.extend(in.DeadlineMS)
	if in.Run <= w.highest[in.Task] {
		return http.StatusConflict, w.clock(), "old"
	}
	digits := in.Spec[:len(in.Spec)-len(strings.TrimLeft(in.Spec, "0123456789"))]
	ms, _ := strconv.Atoi(digits)
	a := &activeRun{key: k, startedAt: w.steady(), duration: time.Duration(ms) * time.Millisecond}
	w.running[k] = a
	w.starts = append(w.starts, &started{worker: w.name, task: in.Task, run: in.Run, at: time.Now()})
	w.rec.log("%s starts task %s run %d", w.name, in.Task, in.Run)
	a.timer = time.AfterFunc(a.duration, func() { w.finish(a, "done") })
	return http.StatusOK, w.clock(), ""
}

func (w *worker) stop(out http.ResponseWriter, r *http.Request) {
	var in startBody
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	w.highest[in.Task] = max(w.highest[in.Task], in.Run)
	if a := w.running[runKey{in.Task, in.Run}]; a != nil && !a.stopping {
		a.stopping = true
		time.AfterFunc(stopTime, func() { w.finish(a, "stopped") })
	}
	clock := w.clock()
	w.mu.Unlock()
	w.awaitMachine()
	answer(out, http.StatusOK, map[string]any{"clockMs": clock})
}

// finish ends a run, unless it has ended.
func (w *worker) finish(a *activeRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end(a, how)
}

func (w *worker) end(a *activeRun, how string) {
	if w.running[a.key] != a || !w.suspendedAt.IsZero() {
		return
	}
	a.timer.Stop()
	delete(w.running, a.key)
	w.highest[a.key.task] = max(w.highest[a.key.task], a.key.run)
	w.lastEnd++
	w.ended = append(w.ended, endedRun{w.lastEnd, a.key, how})
	for _, s := range w.starts {
		if s.task == a.key.task && s.run == a.key.run && s.ended.IsZero() {
			s.ended, s.how = time.Now(), how
		}
	}
	w.rec.log("%s ends task %s run %d: %s", w.name, a.key.task, a.key.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// extend extends the lease to a time on the worker's clock, at most holdMax from now. The caller holds the lock.
func (w *worker) extend(deadlineMS int64) {
	end := min(deadlineMS, w.clock()+holdMax)
	if end <= w.leaseEnd {
		return
	}
	w.leaseEnd = end
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(time.Duration(end-w.clock()+1)*time.Millisecond, w.endLease)
}

// endLease ends all runs when the lease has expired.
func (w *worker) endLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clock() <= w.leaseEnd || !w.suspendedAt.IsZero() {
		return
	}
	for _, a := range w.running {
		w.end(a, "lapsed")
	}
}

func (w *worker) hold(out http.ResponseWriter, r *http.Request) {
	var in struct {
		DeadlineMS int64 `json:"deadlineMs"`
		LastSeen   int64 `json:"lastSeen"`
		WaitMS     int64 `json:"waitMs"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	limit := time.After(time.Duration(min(in.WaitMS, 2000)) * time.Millisecond)
	for {
		w.awaitMachine()
		body, ends, changed := w.lists(in.DeadlineMS, in.LastSeen)
		if ends > 0 || in.WaitMS <= 0 {
			answer(out, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-limit:
			in.WaitMS = 0
		case <-r.Context().Done():
			return
		}
		in.DeadlineMS = 0
	}
}

func (w *worker) lists(deadlineMS, lastSeen int64) (map[string]any, int, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.extend(deadlineMS)
	running, ended := [][]any{}, [][]any{}
	for k, a := range w.running {
		percent := min(99, int(100*(w.steady()-a.startedAt)/max(a.duration, 1)))
		running = append(running, []any{k.task, k.run, "", percent, 1000})
	}
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.number > lastSeen {
			kept = append(kept, e)
			if len(ended) < 500 {
				ended = append(ended, []any{e.number, e.key.task, e.key.run, e.how, ""})
			}
		}
	}
	w.ended = kept
	return map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended}, len(ended), w.changed
}

// beat sends heartbeats until the process ends.
func (w *worker) beat() {
	client := &http.Client{Timeout: time.Second}
	for {
		w.awaitMachine()
		w.mu.Lock()
		w.seq++
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "addr": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": w.state, "coldLeftMs": 0,
			"room": map[string]any{"cpu": w.cpu, "memMb": 65536, "gpu": 0}, "labels": w.labels, "clockMs": w.clock(), "seq": w.seq,
			"born": w.born.UnixMilli(),
		})
		w.mu.Unlock()
		resp, err := client.Post("http://"+w.control+"/-/Instances.Heartbeat/"+w.id, "application/json", strings.NewReader(string(body)))
		pause := heartbeatInterval
		if err != nil {
			pause = 200 * time.Millisecond
		} else {
			resp.Body.Close()
		}
		time.Sleep(pause)
	}
}

// startsOf returns copies of the runs of a job's tasks.
func (w *worker) startsOf(job string) []started {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []started
	for _, s := range w.starts {
		if strings.HasPrefix(s.task, job+".") {
			list = append(list, *s)
		}
	}
	return list
}

func answer(out http.ResponseWriter, status int, body map[string]any) {
	if body["reason"] == "" {
		delete(body, "reason")
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprint("answer: ", err))
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_, _ = out.Write(data)
}
