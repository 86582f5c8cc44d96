// Command harness plays the cases of the review that cannot be put as a day of the bench. It starts the programs of
// the deploy file as separate processes on loopback addresses, with stand-ins for the platform's store, the balancer,
// the workers and the clients, and checks one rule against what the clients and the workers have seen.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"poplargw.example/platform/standin"
)

// Figures of the small deployment, as the pages give them for nilewell-sched.
const (
	contactMs  = 3000
	ackMs      = 4000
	configMs   = 2000
	cancelMs   = 3000
	resendMs   = 1300
	graceS     = 6
	lossSlack  = 200
	heartbeat  = 1500 * time.Millisecond
	stopTime   = 50 * time.Millisecond
	probeEvery = time.Second
	host       = "nony24.example"
	prefix     = "/lohu930/"
	service    = "huvo11a"
)

// bounds is the tail of each settings file.
const bounds = `[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
skewMaxMs = 5000
evacMs = 5000
recoverS = 12
holdMaxMs = 1000
stopMs = 50
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
farX = 1.5
checkpointIntervalS = 0.5
restoreMs = 250
requireFence = false
leaseMs = 3000
resendMs = 1300
`

// record writes what happened, with the time since the start of the case.
type record struct {
	mu      sync.Mutex
	out     io.Writer
	started time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// deployment is a running deployment: store, entries behind balancers, agents with their workers.
type deployment struct {
	rec       *record
	dir       string
	ipPrefix  string
	store     *standin.Store
	storeAddr string
	fronts    []*front
	workers   []*worker
	cancel    context.CancelFunc
	ctx       context.Context
	wait      sync.WaitGroup
}

// front is an entry with its process, and what the balancer knows of it.
type front struct {
	name, zone, frontAddr, readyAddr string
	proc                             *process

	mu     sync.Mutex
	misses int // consecutive misses of the readiness probe; two take it out of rotation
}

// worker is a worker with its agent's process.
type worker struct {
	name, zone, control string
	cpu                 int
	backend             *standin.Backend
	proc                *process
	seq                 int
	// The following are set only for a worker whose machine may be suspended.
	steady   *steadyWorker
	linkAddr string
	path     *path
}

// runs returns the runs that have started on the worker.
func (w *worker) runs() []standin.Start {
	if w.steady != nil {
		return w.steady.Starts()
	}
	return w.backend.Starts()
}

// process is a process of the system. It is started again a short time after it has ended, as on the platform.
type process struct {
	name string
	args []string
	env  []string
	log  *os.File
	rec  *record

	mu      sync.Mutex
	cmd     *exec.Cmd
	closing bool
	done    chan struct{}
}

const restartDelay = 300 * time.Millisecond

func (p *process) launch() {
	p.done = make(chan struct{})
	go func() {
		defer close(p.done)
		for p.runOnce() {
			time.Sleep(restartDelay)
		}
	}()
}

func (p *process) runOnce() bool {
	p.mu.Lock()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Env, cmd.Stdout, cmd.Stderr = p.env, p.log, p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if p.closing {
		p.mu.Unlock()
		return false
	}
	if err := cmd.Start(); err != nil {
		p.mu.Unlock()
		p.rec.printf("%s cannot be started: %v", p.name, err)
		return false
	}
	p.cmd = cmd
	p.mu.Unlock()
	p.rec.printf("process %s has started", p.name)
	err := cmd.Wait()
	p.rec.printf("process %s has ended: %v", p.name, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closing
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after graceS.
func (p *process) terminate() {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	p.rec.printf("SIGTERM to %s", p.name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	time.AfterFunc(graceS*time.Second, func() {
		if cmd.Process.Signal(syscall.SIGKILL) == nil {
			p.rec.printf("SIGKILL to %s", p.name)
		}
	})
}

func (p *process) close() {
	p.mu.Lock()
	p.closing = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
	p.log.Close()
}

// newDeployment starts the store. Each case adds entries and workers and then calls start.
func newDeployment(rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "poplargw-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, store: standin.NewStore()}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	// Processes serve metrics on a fixed port, so each has an address of its own.
	d.ipPrefix = fmt.Sprintf("127.%d.%d.", 100+os.Getpid()/200%100, 1+os.Getpid()%200)
	d.storeAddr, err = d.serve("127.0.0.1", d.store)
	return d, err
}

// serve starts an HTTP server on a free port and returns its address.
func (d *deployment) serve(ip string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	d.wait.Add(1)
	go func() { defer d.wait.Done(); _ = s.Serve(l) }()
	context.AfterFunc(d.ctx, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// freeAddr returns an address with a free port.
func freeAddr(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func port(addr string) string { _, p, _ := net.SplitHostPort(addr); return p }

// newProcess writes the settings file of a process and returns the process with the command of the deploy file.
func (d *deployment) newProcess(name, role, head string) (*process, error) {
	file := filepath.Join(d.dir, name+".toml")
	text := fmt.Sprintf("node = %q\nrole = %q\nregion = \"delta\"\nbootstrap = true\ndiscovery = \"local\"\nentry = \"vip\"\nheartbeatMs = 1500\norders = \"invoke\"\n%s\n%s[platform]\naddr = %q\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n",
		name, role, head, bounds, d.storeAddr)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	return &process{
		name: name, args: []string{"target/poplargw-node", role}, log: log, rec: d.rec,
		env: []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "POPLARGW_NODE_FILE=" + file},
	}, nil
}

// addFront adds an entry in a zone.
func (d *deployment) addFront(name, zone string) error {
	ip := fmt.Sprint(d.ipPrefix, 10+len(d.fronts))
	f := &front{name: name, zone: zone, frontAddr: freeAddr(ip), readyAddr: freeAddr(ip), misses: 2}
	p, err := d.newProcess(name, "entry", fmt.Sprintf("class = \"front\"\nserves = [\"front\"]\nzone = %q\nip = %q\nportRange = [7720, 7735]\n[listen]\nfront = %q\nready = %q", zone, ip, f.frontAddr, f.readyAddr))
	f.proc = p
	d.fronts = append(d.fronts, f)
	return err
}

// addWorker adds a worker with room for the given CPU, and its agent.
func (d *deployment) addWorker(name, zone string, cpu int) error {
	ip := fmt.Sprint(d.ipPrefix, 50+len(d.workers))
	w := &worker{name: name, zone: zone, control: freeAddr(ip), cpu: cpu, backend: standin.NewBackend("i-" + name)}
	w.backend.SetStopTime(stopTime)
	app, err := d.serve(ip, w.backend)
	if err != nil {
		return err
	}
	links := port(freeAddr(ip))
	w.proc, err = d.newProcess(name, "agent", fmt.Sprintf("class = \"side\"\nserves = [\"side\"]\nzone = %q\nip = %q\nportRange = [%s, %s]\napp = %q\nservice = %q\n[listen]\ncontrol = %q", zone, ip, links, links, app, service, w.control))
	d.workers = append(d.workers, w)
	return err
}

// addSteadyWorker adds a worker whose machine may be suspended, and its agent, whose links go through a path.
func (d *deployment) addSteadyWorker(name, zone string, cpu int) error {
	ip := fmt.Sprint(d.ipPrefix, 50+len(d.workers))
	w := &worker{name: name, zone: zone, control: freeAddr(ip), cpu: cpu, steady: newSteadyWorker("i-" + name)}
	go w.steady.run(d.ctx.Done())
	app, err := d.serve(ip, w.steady)
	if err != nil {
		return err
	}
	w.linkAddr = freeAddr(ip)
	if w.path, err = newPath(ip, w.linkAddr); err != nil {
		return err
	}
	links := port(w.linkAddr)
	w.proc, err = d.newProcess(name, "agent", fmt.Sprintf("class = \"side\"\nserves = [\"side\"]\nzone = %q\nip = %q\nportRange = [%s, %s]\napp = %q\nservice = %q\n[listen]\ncontrol = %q", zone, ip, links, links, app, service, w.control))
	d.workers = append(d.workers, w)
	return err
}

// identity returns the worker's ID, clock and incarnation. It waits while its machine is suspended.
func (w *worker) identity() (string, int64, int64) {
	if s := w.steady; s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.awake()
		return s.id, s.clock(), s.born.UnixMilli()
	}
	return w.backend.ID, w.backend.Clock(), w.backend.Incarnation()
}

// putConfig writes a version of the configuration, with the route of the case or without it.
func (d *deployment) putConfig(version int, withRoute bool) {
	route := func(name, host, prefix string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"kind":"unsafe","timeoutMs":60000,"sloMs":60,"priority":0,"service":%q,"attempts":3,"stretch":1.6}`, name, host, prefix, service)
	}
	routes := []string{route("r-73d3zji", "ficu95.example", "/pufi791/")}
	if withRoute {
		routes = append(routes, route("r-3hwrr6x", host, prefix))
	}
	d.store.Put("op/config", []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q,"maxConns":64,"admissionCheck":false,"spare":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		version, strings.Join(routes, ","), service)))
	d.rec.printf("operator: configuration %d acknowledged, route %s %v", version, prefix, withRoute)
}

// start starts all processes, the heartbeats and the probes, and waits until all entries are ready and all workers
// have been announced for contactMs.
func (d *deployment) start() error {
	for _, w := range d.workers {
		w.proc.launch()
		d.wait.Add(1)
		go func() { defer d.wait.Done(); d.beat(w) }()
	}
	for _, f := range d.fronts {
		f.proc.launch()
		d.wait.Add(1)
		go func() { defer d.wait.Done(); d.probe(f) }()
	}
	for limit := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, f := range d.fronts {
			if f.inRotation() {
				ready++
			}
		}
		if ready == len(d.fronts) {
			break
		}
		if time.Now().After(limit) {
			return fmt.Errorf("the entries are not ready")
		}
	}
	time.Sleep((contactMs + 500) * time.Millisecond)
	d.rec.printf("all entries are ready; the machines are in touch")
	return nil
}

// beat sends the heartbeats of a worker.
func (d *deployment) beat(w *worker) {
	client := &http.Client{Timeout: time.Second}
	for d.ctx.Err() == nil {
		id, clock, born := w.identity()
		w.seq++
		body := fmt.Sprintf(`{"service":%q,"addr":"127.0.0.1:1","zone":%q,"version":"v1","slots":8,"state":"ready","coldLeftMs":0,"room":{"cpu":%d,"memMb":32768,"gpu":0},"labels":["a","r1-1"],"clockMs":%d,"seq":%d,"born":%d}`,
			service, w.zone, w.cpu, clock, w.seq, born)
		pause := heartbeat
		resp, err := client.Post("http://"+w.control+"/-/Instances.Heartbeat/"+id, "application/json", strings.NewReader(body))
		if err != nil {
			pause = 200 * time.Millisecond // the agent is not up yet
		} else {
			resp.Body.Close()
		}
		sleep(d.ctx, pause)
	}
}

// probe asks an entry each second whether it is ready.
func (d *deployment) probe(f *front) {
	client := &http.Client{Timeout: probeEvery}
	for d.ctx.Err() == nil {
		resp, err := client.Get("http://" + f.readyAddr + "/-/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			resp.Body.Close()
		}
		f.mu.Lock()
		if ok {
			f.misses = 0
		} else {
			f.misses++
		}
		f.mu.Unlock()
		sleep(d.ctx, probeEvery)
	}
}

func (f *front) inRotation() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.misses < 2
}

// frontFor returns the entry to which the balancer forwards a new connection of a client in a zone: one of its zone in
// rotation, or else one of another zone in rotation, or else one of its zone.
func (d *deployment) frontFor(zone string) *front {
	var own, other *front
	for _, f := range d.fronts {
		switch {
		case f.zone == zone && (own == nil || f.inRotation()):
			own = f
		case f.zone != zone && f.inRotation():
			other = f
		}
	}
	if own.inRotation() || other == nil {
		return own
	}
	return other
}

func sleep(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}

// close ends all processes and stand-ins.
func (d *deployment) close() {
	for _, f := range d.fronts {
		if f.proc != nil && f.proc.done != nil {
			f.proc.close()
		}
	}
	for _, w := range d.workers {
		if w.proc != nil && w.proc.done != nil {
			w.proc.close()
		}
	}
	for _, w := range d.workers {
		if w.path != nil {
			w.path.close()
		}
	}
	d.cancel()
	d.wait.Wait()
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		os.RemoveAll(d.dir)
	}
}

// answer is what a client got to a request; status 0 means that the connection ended without an answer.
type answer struct {
	status int
	body   string
	err    error
	at     time.Time
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprintf("%d %s", a.status, a.body)
}

// request sends a request of a client in a zone over a new connection.
func (d *deployment) request(client, zone, method, path, body string, deadline time.Duration) answer {
	f := d.frontFor(zone)
	d.rec.printf("%s in %s: %s %s at %s", client, zone, method, path, f.name)
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(d.ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.frontAddr+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	a := answer{}
	resp, err := transport.RoundTrip(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil {
			a.status, a.body = resp.StatusCode, string(data)
		}
	}
	a.err, a.at = err, time.Now()
	d.rec.printf("%s: %s %s: %s", client, method, path, a)
	return a
}

// starts returns the runs of a job on all workers.
func (d *deployment) starts(id string) []runOn {
	var list []runOn
	for _, w := range d.workers {
		for _, s := range w.runs() {
			if strings.HasPrefix(s.Task, id+".") {
				list = append(list, runOn{Start: s, worker: w.name})
			}
		}
	}
	return list
}

// runOn is a run on a worker.
type runOn struct {
	standin.Start
	worker string
}

// recordRuns writes all runs of a job to the record.
func (d *deployment) recordRuns(id string) {
	for _, s := range d.starts(id) {
		ended := "still at work"
		if !s.Ended.IsZero() {
			ended = fmt.Sprintf("ended at %.3f: %s", s.Ended.Sub(d.rec.started).Seconds(), s.Outcome)
		}
		d.rec.printf("run of %s on %s: started at %.3f, %s", s.Task, s.worker, s.Started.Sub(d.rec.started).Seconds(), ended)
	}
}

// chain returns the body of a job whose steps run one after the other, each a task of one second.
func chain(steps int) string {
	var list []string
	for k := range steps {
		after := ""
		if k > 0 {
			after = fmt.Sprintf(`,"after":[%d]`, k-1)
		}
		list = append(list, fmt.Sprintf(`{"count":1,"cpu":2000,"memMb":64,"estimateMs":1000%s}`, after))
	}
	return fmt.Sprintf(`{"spec":"1000","bestEffort":true,"steps":[%s]}`, strings.Join(list, ","))
}

// single returns the body of a job of one step of equal tasks of the given run time.
func single(count, cpu int, runTime time.Duration) string {
	return fmt.Sprintf(`{"spec":"%d","bestEffort":true,"steps":[{"count":%d,"cpu":%d,"memMb":64,"estimateMs":%d}]}`, runTime.Milliseconds(), count, cpu, runTime.Milliseconds())
}
