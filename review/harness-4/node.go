package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes record.txt: a line for each thing that clients, workers and the operator see.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, began: time.Now()}, err
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// deployment is a small deployment on loopback addresses: a store, entries, and agents with their workers.
type deployment struct {
	root, dir, prefix string // of the repository, temporary, of the addresses
	rec               *recorder
	store             *store
	entries           []*node
	agents            []*node
	workers           []*worker
	stop              chan struct{}
	listeners         []net.Listener
	gates             []*gate // in front of the links to the agents
}

// node is an entry or an agent process, which is started again whenever it has ended.
type node struct {
	d              *deployment
	name, role, ip string
	file           string
	front, ready   string
	log            *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	starts  int
	closing bool
	down    time.Duration // how long the process stays away when it ends next
	done    chan struct{}
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

const (
	serviceName = "mould"
	hostName    = "jobs.example"
	frontPort   = 8161
	readyPort   = 8167
	controlPort = 8166
	linkPort    = 7720
	appPort     = 8080
	storePort   = 8169
	graceS      = 6
)

// restartDelay is how long after its end a process is started again.
const restartDelay = 300 * time.Millisecond

// newDeployment starts the store, the agents with their workers, and the entries.
func newDeployment(root string, rec *recorder, entries, agents, cpu int, config []byte) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review4-")
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, dir: dir, rec: rec, store: newStore(), stop: make(chan struct{})}
	d.endOnSignal()
	if d.prefix, err = freePrefix(); err != nil {
		return nil, err
	}
	d.store.put("op/config", config)
	for i := range agents {
		ip := fmt.Sprintf("%s.%d", d.prefix, 50+i)
		control := fmt.Sprintf("%s:%d", ip, controlPort)
		w := newWorker(fmt.Sprintf("i-%d", i), serviceName, zones[i%3], control, cpu, rec)
		d.workers = append(d.workers, w)
		app := fmt.Sprintf("%s:%d", ip, appPort)
		if err := d.serve(app, w); err != nil {
			return nil, err
		}
		n := &node{d: d, name: fmt.Sprintf("side-%d", i), role: "agent", ip: ip}
		if err := n.write(zones[i%3], fmt.Sprintf("app = %q\nservice = %q\n[listen]\ncontrol = %q\n", app, serviceName, control)); err != nil {
			return nil, err
		}
		d.agents = append(d.agents, n)
		link := fmt.Sprintf("%s:%d", ip, linkPort)
		g, err := newGate(fmt.Sprintf("%s.%d:%d", d.prefix, 150+i, linkPort), link)
		if err != nil {
			return nil, err
		}
		d.gates = append(d.gates, g)
		d.store.rewrite(link, g.addr)
		if err := n.launch(); err != nil {
			return nil, err
		}
		go w.heartbeats(d.stop)
	}
	for i := range entries {
		ip := fmt.Sprintf("%s.%d", d.prefix, 10+i)
		n := &node{d: d, name: fmt.Sprintf("front-%d", i), role: "entry", ip: ip, front: fmt.Sprintf("%s:%d", ip, frontPort), ready: fmt.Sprintf("%s:%d", ip, readyPort)}
		if err := n.write(zones[i%3], fmt.Sprintf("[listen]\nfront = %q\nready = %q\n", n.front, n.ready)); err != nil {
			return nil, err
		}
		d.entries = append(d.entries, n)
		if err := n.launch(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// endOnSignal ends the case with status 2 at a signal. The kernel kills the processes with this one.
func (d *deployment) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		os.RemoveAll(d.dir)
		os.Exit(2)
	}()
}

// freePrefix returns the first three bytes of loopback addresses that no process listens on.
func freePrefix() (string, error) {
	for i := range 200 {
		prefix := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i)%200, 1+(os.Getpid()/200+i)%250)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", prefix, storePort))
		if err == nil {
			return prefix, l.Close()
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func (d *deployment) serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	d.listeners = append(d.listeners, l)
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return nil
}

// write writes the settings file of a node. The bounds are those of a small deployment.
func (n *node) write(zone, special string) error {
	storeAddr := fmt.Sprintf("%s:%d", n.ip, storePort)
	if err := n.d.serve(storeAddr, n.d.store.forMachine(n.name)); err != nil {
		return err
	}
	n.file = filepath.Join(n.d.dir, n.name+".toml")
	text := fmt.Sprintf("node = %q\nrole = %q\nip = %q\nzone = %q\nregion = \"region\"\nportRange = [%d, %d]\nheartbeatMs = 1500\norders = \"invoke\"\n%s",
		n.name, n.role, n.ip, zone, linkPort, linkPort+15, special) +
		fmt.Sprintf("[bounds]\ngraceS = %d\nholdMaxMs = %d\nstopMs = 50\nresendMs = 1300\nfarX = 1.5\ncontactMs = 3000\nconfigMs = 2000\nlossSlackMs = 200\n"+
			"[platform]\naddr = %q\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n", graceS, holdMaxMS, storeAddr)
	return os.WriteFile(n.file, []byte(text), 0o644)
}

// launch starts the process as the deploy file does, and again after restartDelay whenever it has ended.
func (n *node) launch() error {
	var err error
	if n.log, err = os.Create(filepath.Join(n.d.dir, n.name+".log")); err != nil {
		return err
	}
	n.done = make(chan struct{})
	if err := n.start(); err != nil {
		return err
	}
	go func() {
		defer close(n.done)
		for {
			_ = n.cmd.Wait()
			n.d.rec.printf("%s has ended", n.name)
			n.mu.Lock()
			down, closing := max(n.down, restartDelay), n.closing
			n.down = 0
			n.mu.Unlock()
			if closing {
				return
			}
			select {
			case <-time.After(down):
			case <-n.d.stop:
				return
			}
			if n.start() != nil {
				return
			}
		}
	}()
	return nil
}

func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing {
		return os.ErrClosed
	}
	n.cmd = exec.Command("target/poplargw-node", n.role)
	n.cmd.Dir = n.d.root
	n.cmd.Env = append(os.Environ(), "POPLARGW_NODE_FILE="+n.file)
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.starts++
	n.d.rec.printf("%s is started", n.name)
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(s)
	n.d.rec.printf("%s gets %s", n.name, s)
}

// isReady asks for readiness as the platform does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.ready + "/-/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all entries are ready.
func (d *deployment) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		n := 0
		for _, e := range d.entries {
			if e.isReady() {
				n++
			}
		}
		if n == len(d.entries) {
			return true
		}
	}
	return false
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (d *deployment) close() {
	close(d.stop)
	for _, n := range append(append([]*node(nil), d.entries...), d.agents...) {
		n.mu.Lock()
		n.closing = true
		_ = n.cmd.Process.Kill()
		n.mu.Unlock()
	}
	for _, n := range append(append([]*node(nil), d.entries...), d.agents...) {
		<-n.done
		n.log.Close()
	}
	for _, l := range d.listeners {
		l.Close()
	}
	for _, g := range d.gates {
		g.close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs are in", d.dir)
	}
}

// route is a route of the configuration.
func route(name, host, prefix, service string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"kind":"unsafe","timeoutMs":5000,"sloMs":60,"priority":0,"service":%q,"attempts":4,"stretch":1.6}`, name, host, prefix, service)
}

// config returns a configuration with the given routes.
func config(version int, routes ...string) []byte {
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q,"healthPath":"/health","maxConns":64}],"limits":{"maxBodyBytes":262144}}`, version, strings.Join(routes, ","), serviceName))
}
