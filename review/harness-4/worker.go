package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker, after the sections "Running tasks" and "Service discovery" of PROTOCOL.md. A task's
// specification begins with its run time in milliseconds. Its tasks are not checkpointable.
type worker struct {
	id, service, zone, control string
	cpu                        int
	rec                        *recorder
	quiet                      bool // starts and ends are not recorded one by one

	mu       sync.Mutex
	born     time.Time
	running  map[runKey]*running
	refused  map[string]uint64 // by task: the highest run that was stopped or has ended
	ended    []endRow
	lastEnd  int64
	leaseEnd int64
	changed  chan struct{}
	seq      int
	jobs     map[string]int // starts by job
	spans    []*span
	// While the worker's VM is suspended, its clock stands, its runs make no progress and it carries out no call.
	suspended time.Time // zero while the VM runs
	stood     time.Duration
	resumed   chan struct{} // closed unless the VM is suspended
}

// span is the time of one run. It leaves out the suspension in which the run stood still, if there was one.
type span struct {
	worker, task string
	run          uint64
	began, ended time.Time // ended is zero while it runs
	stood        time.Time // when the newest suspension began
	goesOn       time.Time // when it ended
	how          string
}

type runKey struct {
	task string
	run  uint64
}

type running struct {
	began time.Time
	takes time.Duration
	timer *time.Timer
	due   time.Time // when the timer fires
	how   string    // how the run ends then
	span  *span
}

type endRow struct {
	number int64
	key    runKey
	how    string
}

const (
	clockStart = 480_000
	holdMaxMS  = 1000
	stopTime   = 30 * time.Millisecond
	heartbeat  = 1500 * time.Millisecond
)

func newWorker(id, service, zone, control string, cpu int, rec *recorder) *worker {
	return &worker{
		id: id, service: service, zone: zone, control: control, cpu: cpu, rec: rec, born: time.Now(), running: map[runKey]*running{},
		refused: map[string]uint64{}, changed: make(chan struct{}), jobs: map[string]int{}, resumed: closedChannel(),
	}
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// clock returns the worker's steady clock. The caller holds the lock.
func (w *worker) clock() int64 {
	stood := w.stood
	if !w.suspended.IsZero() {
		stood += time.Since(w.suspended)
	}
	return clockStart + (time.Since(w.born) - stood).Milliseconds()
}

// suspend and resume do to the worker what a suspension of its VM does.
func (w *worker) suspend() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lapse()
	w.suspended, w.resumed = time.Now(), make(chan struct{})
	for _, r := range w.running {
		r.timer.Stop()
		r.span.stood = w.suspended
	}
	w.rec.printf("the VM of worker %s is suspended; it has %d runs", w.id, len(w.running))
}

func (w *worker) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	stood := time.Since(w.suspended)
	w.stood, w.suspended = w.stood+stood, time.Time{}
	for k, r := range w.running {
		r.began = r.began.Add(stood)
		r.span.goesOn = time.Now()
		w.schedule(k, r, r.due.Add(stood), r.how)
	}
	close(w.resumed)
	w.rec.printf("the VM of worker %s goes on; it has %d runs", w.id, len(w.running))
}

// schedule sets when and how a run ends. The caller holds the lock.
func (w *worker) schedule(k runKey, r *running, due time.Time, how string) {
	if r.timer != nil {
		r.timer.Stop()
	}
	r.due, r.how = due, how
	r.timer = time.AfterFunc(time.Until(due), func() { w.finish(k, r) })
}

// awaitResumed waits until the VM is not suspended.
func (w *worker) awaitResumed() {
	w.mu.Lock()
	c := w.resumed
	w.mu.Unlock()
	<-c
}

// heartbeats sends heartbeats until stop is closed. One that fails is sent again soon.
func (w *worker) heartbeats(stop <-chan struct{}) {
	client := http.Client{Timeout: time.Second}
	for {
		w.awaitResumed()
		w.mu.Lock()
		w.seq++
		body := fmt.Sprintf(`{"service":%q,"addr":"127.0.0.1:1","zone":%q,"version":"v1","slots":8,"state":"ready","coldLeftMs":0,`+
			`"room":{"cpu":%d,"memMb":131072,"gpu":0},"labels":["a","r1-1"],"clockMs":%d,"born":%d,"seq":%d}`,
			w.service, w.zone, w.cpu, w.clock(), w.born.UnixMilli(), w.seq)
		w.mu.Unlock()
		pause := heartbeat
		resp, err := client.Post("http://"+w.control+"/-/Instances.Heartbeat/"+w.id, "application/json", strings.NewReader(body))
		if err != nil {
			pause = 100 * time.Millisecond
		} else {
			resp.Body.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

type callBody struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadlineMs"`
	LastSeen   int64  `json:"lastSeen"`
	WaitMS     int64  `json:"waitMs"`
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var in callBody
	var buf bytes.Buffer
	if _, err := buf.ReadFrom(r.Body); err != nil || json.Unmarshal(buf.Bytes(), &in) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.awaitResumed()
	status, body := http.StatusNotFound, any(nil)
	switch r.URL.Path {
	case "/-/run-start":
		status, body = w.start(in)
	case "/-/run-stop":
		status, body = w.stop(in)
	case "/-/hold":
		status, body = w.hold(r, in)
	}
	data, _ := json.Marshal(body)
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_, _ = out.Write(data)
}

func (w *worker) start(in callBody) (int, any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lapse()
	k := runKey{in.Task, in.Run}
	reason := ""
	switch {
	case w.running[k] != nil:
		return http.StatusOK, map[string]any{"clockMs": w.clock()}
	case in.Run <= w.refused[in.Task]:
		reason = "old"
	case in.DeadlineMS < w.clock():
		reason = "late"
	}
	if reason != "late" {
		w.extend(in.DeadlineMS)
	}
	if reason != "" {
		return http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": reason}
	}
	text, _, _ := strings.Cut(in.Spec, " ")
	ms, _ := strconv.Atoi(text)
	run := &running{began: time.Now(), takes: time.Duration(ms) * time.Millisecond}
	run.span = &span{worker: w.id, task: in.Task, run: in.Run, began: run.began}
	w.schedule(k, run, run.began.Add(run.takes), "done")
	w.running[k] = run
	w.spans = append(w.spans, run.span)
	job, _, _ := strings.Cut(in.Task, ".")
	w.jobs[job]++
	if !w.quiet {
		w.rec.printf("worker %s starts %s run %d", w.id, in.Task, in.Run)
	}
	return http.StatusOK, map[string]any{"clockMs": w.clock()}
}

func (w *worker) extend(ms int64) { w.leaseEnd = max(w.leaseEnd, min(ms, w.clock()+holdMaxMS)) }

// lapse ends everything if the lease has expired. The caller holds the lock.
func (w *worker) lapse() {
	if w.clock() <= w.leaseEnd {
		return
	}
	for k, run := range w.running {
		w.end(k, run, "lapsed")
	}
}

// finish ends a run when its time is over.
func (w *worker) finish(k runKey, run *running) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.suspended.IsZero() {
		return
	}
	w.lapse()
	if w.running[k] == run {
		w.end(k, run, run.how)
	}
}

func (w *worker) end(k runKey, run *running, how string) {
	run.timer.Stop()
	run.span.ended, run.span.how = time.Now(), how
	delete(w.running, k)
	w.refused[k.task] = max(w.refused[k.task], k.run)
	w.lastEnd++
	w.ended = append(w.ended, endRow{w.lastEnd, k, how})
	if !w.quiet {
		w.rec.printf("worker %s ends %s run %d: %s", w.id, k.task, k.run, how)
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) stop(in callBody) (int, any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lapse()
	k := runKey{in.Task, in.Run}
	if run := w.running[k]; run != nil && run.how != "stopped" && time.Until(run.due) > stopTime {
		w.schedule(k, run, time.Now().Add(stopTime), "stopped")
	}
	w.refused[in.Task] = max(w.refused[in.Task], in.Run)
	return http.StatusOK, map[string]any{"clockMs": w.clock()}
}

func (w *worker) hold(r *http.Request, in callBody) (int, any) {
	limit := time.After(time.Duration(min(in.WaitMS, 2000)) * time.Millisecond)
	for {
		body, ends, changed := w.list(in)
		if ends > 0 || in.WaitMS == 0 {
			return http.StatusOK, body
		}
		select {
		case <-changed:
		case <-limit:
			in.WaitMS = 0
		case <-r.Context().Done():
			return http.StatusOK, body
		}
		w.awaitResumed()
	}
}

// list renews the lease, forgets the ends that were seen and returns both lists.
func (w *worker) list(in callBody) (any, int, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lapse()
	w.extend(in.DeadlineMS)
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.number > in.LastSeen {
			kept = append(kept, e)
		}
	}
	w.ended = kept
	rows, ends := [][]any{}, [][]any{}
	for k, run := range w.running {
		rows = append(rows, []any{k.task, k.run, "", min(99, int(100*time.Since(run.began)/max(run.takes, 1))), 1000})
	}
	for _, e := range w.ended[:min(500, len(w.ended))] {
		ends = append(ends, []any{e.number, e.key.task, e.key.run, e.how, ""})
	}
	return map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": rows, "ended": ends}, len(ends), w.changed
}
