package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"poplargw.example/platform/standin"
)

const (
	host    = "review.example"
	prefix  = "/queue/"
	service = "svc"
	// heartbeat is heartbeatMs of the small deployments.
	heartbeat = 1500 * time.Millisecond
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
)

// rig is a small deployment: the project's programs as separate processes, and stand-ins of the store and the workers in this process.
type rig struct {
	began    time.Time
	tmp      string
	ipPrefix string
	taken    net.Listener // held while the block of addresses is in use
	returned map[string]bool
	closing  atomic.Bool // no process is started any more
	store    *standin.Store
	storeAt  string
	entries  []*node
	sides    []*side

	mu     sync.Mutex
	record *os.File
}

// node is one machine's process of the project.
type node struct {
	rig        *rig
	name, zone string
	ip, role   string
	file       string
	front      string
	ready      string
	log        *os.File

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// side is a machine with a worker and an agent.
type side struct {
	node
	worker  *standin.Backend
	control string
	link    string
	proxy   *linkProxy
	resumed time.Time // when the machine went on after it was suspended

	beatMu sync.Mutex
	state  string // of the worker: ready, draining, or gone
	seq    int64
	born   int64
	room   int64
	labels []string
}

func newRig(dir string) (*rig, error) {
	tmp, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	r := &rig{began: time.Now(), tmp: tmp, record: record, store: standin.NewStore(), returned: map[string]bool{}}
	if err := r.takeNetwork(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", r.ipPrefix+"5:0")
	if err != nil {
		return nil, err
	}
	r.storeAt = l.Addr().String()
	go func() { _ = http.Serve(l, r.store) }()
	return r, nil
}

// takeNetwork takes the first block of loopback addresses that no other script has. The nodes of a deployment have their addresses there, and
// the same ones in each run as long as the block is free. Which agents record owners and cancels depends on a hash of names and addresses: of the
// three machines that leave in review/14, all three do in block 3, two or three do in 213 of 249 blocks, and one does in blocks 1 and 2.
func (r *rig) takeNetwork() error {
	for i := 3; i < 250; i++ {
		prefix := fmt.Sprintf("127.61.%d.", i)
		l, err := net.Listen("tcp", prefix+"4:9464")
		if err != nil {
			continue
		}
		r.ipPrefix, r.taken = prefix, l
		return nil
	}
	return errors.New("no block of loopback addresses is free")
}

// linkPort returns the first port for links at an address: that of the platform's pages if it is free.
func (r *rig) linkPort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":7720")
	if err != nil {
		return r.freePort(ip)
	}
	return "7720", l.Close()
}

// note writes a line to record.txt.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as seconds since the start of the script.
func (r *rig) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }

// writeConfig writes the operator's configuration with one queue.
func (r *rig) writeConfig(version int) {
	r.store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"q1","host":%q,"prefix":%q,"timeoutMs":30000,"sloMs":60,"priority":0,`+
		`"service":%q,"attempts":3,"stretch":1.6}],"services":[{"name":%q,"admissionCheck":false}],"limits":{"maxBodyBytes":262144}}`,
		version, host, prefix, service, service))
}

// freePort returns a port at an address that is free and that it has not returned before.
func (r *rig) freePort(ip string) (string, error) {
	for {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return "", err
		}
		addr := l.Addr().String()
		if err := l.Close(); err != nil {
			return "", err
		}
		if !r.returned[addr] {
			r.returned[addr] = true
			_, port, err := net.SplitHostPort(addr)
			return port, err
		}
	}
}

const bounds = `[zones]
left = "r"
right = "r"
campus = "r"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
[tolerate]
machines = 2
zones = 1
regions = 0
[bounds]
contactMs = 3000
ackMs = 4000
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
early_ms = 250
finish_s = 14
status_s = 120
farX = 1.5
restoreMs = 600
resendMs = 1300
`

// settings writes the settings file of a process.
func (r *rig) settings(n *node, class, fields, listen string) error {
	n.file = filepath.Join(r.tmp, n.name+".toml")
	text := fmt.Sprintf("node = %q\nrole = %q\nclass = %q\nip = %q\nzone = %q\nregion = \"r\"\nbootstrap = true\ndiscovery = \"local\"\nentry = \"vip\"\nheartbeatMs = 1500\norders = \"invoke\"\n%s\n[listen]\n%s\n%s[platform]\naddr = %q\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n",
		n.name, n.role, class, n.ip, n.zone, fields, listen, bounds, r.storeAt)
	return os.WriteFile(n.file, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.rig.closing.Load() {
		return errors.New("the script ends")
	}
	var err error
	if n.log == nil {
		if n.log, err = os.Create(filepath.Join(n.rig.tmp, n.name+".log")); err != nil {
			return err
		}
	}
	cmd := exec.Command("target/poplargw-node", n.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.rig.tmp, "POPLARGW_NODE_FILE=" + n.file}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(n.done)
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// stop ends the process as the platform does: SIGTERM, and SIGKILL after graceS. It waits for the end.
func (n *node) stop() {
	n.rig.note("SIGTERM to %s", n.name)
	n.signal(syscall.SIGTERM)
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	select {
	case <-done:
	case <-time.After(6 * time.Second):
		n.signal(syscall.SIGKILL)
		<-done
	}
	n.rig.note("%s has ended", n.name)
}

// close kills the process.
func (n *node) close() {
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	if done != nil {
		<-done
	}
}

func (r *rig) addEntry(name, zone string, number int) error {
	n := &node{rig: r, name: name, zone: zone, ip: fmt.Sprint(r.ipPrefix, 10+number), role: "entry"}
	front, err := r.freePort(n.ip)
	if err != nil {
		return err
	}
	ready, err := r.freePort(n.ip)
	if err != nil {
		return err
	}
	n.front, n.ready = n.ip+":"+front, n.ip+":"+ready
	if err := r.settings(n, "front", `serves = ["front"]`+"\nportRange = [7720, 7735]", fmt.Sprintf("front = %q\nready = %q", n.front, n.ready)); err != nil {
		return err
	}
	r.entries = append(r.entries, n)
	return nil
}

// addSide adds a machine with a worker. With a proxy, the entries reach the agent through it.
func (r *rig) addSide(name, zone string, number int, labels []string, withProxy bool) error {
	ip := fmt.Sprint(r.ipPrefix, 50+number)
	v := &side{node: node{rig: r, name: name, zone: zone, ip: ip, role: "agent"}, worker: standin.NewBackend("i-" + name), state: "ready", room: 32000, labels: labels}
	v.worker.SetStopTime(50 * time.Millisecond)
	app, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(app, v.worker) }()
	control, err := r.freePort(ip)
	if err != nil {
		return err
	}
	link, err := r.linkPort(ip)
	if err != nil {
		return err
	}
	v.control, v.link = ip+":"+control, ip+":"+link
	fields := fmt.Sprintf("serves = [\"side\"]\nportRange = [%s, %s]\napp = %q\nservice = %q", link, link, app.Addr().String(), service)
	if err := r.settings(&v.node, "side", fields, fmt.Sprintf("control = %q", v.control)); err != nil {
		return err
	}
	if withProxy {
		if v.proxy, err = newLinkProxy(r, v); err != nil {
			return err
		}
	}
	r.sides = append(r.sides, v)
	go v.beatLoop()
	return nil
}

// beatLoop sends the worker's heartbeats until the worker has gone.
func (v *side) beatLoop() {
	for {
		v.beatMu.Lock()
		gone := v.state == "gone"
		v.beatMu.Unlock()
		if gone {
			return
		}
		pause := heartbeat
		if v.worker.Up() && !v.worker.Suspended() && !v.beat() {
			pause = 200 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (v *side) beat() bool {
	v.beatMu.Lock()
	if born := v.worker.Incarnation(); born != v.born {
		v.born, v.seq = born, 0
	}
	v.seq++
	labels, _ := json.Marshal(v.labels)
	body := fmt.Sprintf(`{"service":%q,"addr":"127.0.0.1:1","zone":%q,"version":"v1","slots":8,"state":%q,"coldLeftMs":0,"room":{"cpu":%d,"memMb":131072,"gpu":0},"labels":%s,"clockMs":%d,"seq":%d,"born":%d}`,
		service, v.zone, v.state, v.room, labels, v.worker.Clock(), v.seq, v.born)
	v.beatMu.Unlock()
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+v.control+"/-/Instances.Heartbeat/"+v.worker.ID, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// leave takes the worker away as the pages say: it reports that it drains, serves on for drainMs and a little longer, says that it leaves, and ends.
func (v *side) leave() {
	v.beatMu.Lock()
	v.state = "draining"
	v.beatMu.Unlock()
	acked := v.beat()
	v.rig.note("worker %s drains, acknowledged %t", v.worker.ID, acked)
	time.Sleep(2200 * time.Millisecond)
	resp, err := http.Post("http://"+v.control+"/-/Instances.Leave/"+v.worker.ID, "application/json", strings.NewReader(fmt.Sprintf(`{"born":%d}`, v.born)))
	if err == nil {
		resp.Body.Close()
	}
	v.beatMu.Lock()
	v.state = "gone"
	v.beatMu.Unlock()
	v.rig.note("worker %s has left", v.worker.ID)
}

// startAll starts all processes and waits until the entries are ready and know all agents.
func (r *rig) startAll() error {
	r.writeConfig(1)
	for _, v := range r.sides {
		if err := v.start(); err != nil {
			return err
		}
	}
	for _, n := range r.entries {
		if err := n.start(); err != nil {
			return err
		}
	}
	limit := time.Now().Add(20 * time.Second)
	for _, n := range r.entries {
		for !isReady(n) {
			if time.Now().After(limit) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	for len(r.store.Keys("poplargw/agents/")) < len(r.sides) {
		if time.Now().After(limit) {
			return fmt.Errorf("%d agents are registered", len(r.store.Keys("poplargw/agents/")))
		}
		time.Sleep(20 * time.Millisecond)
	}
	// All machines have run for contactMs, and the first heartbeats have arrived.
	time.Sleep(4 * time.Second)
	r.note("%d entries are ready, %d agents are registered", len(r.entries), len(r.sides))
	return nil
}

func isReady(n *node) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.ready + "/-/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// closeAll ends all processes.
func (r *rig) closeAll() {
	r.closing.Store(true)
	var all sync.WaitGroup
	for _, n := range r.entries {
		all.Go(n.close)
	}
	for _, v := range r.sides {
		all.Go(v.close)
	}
	all.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.tmp)
	} else {
		fmt.Println("logs in", r.tmp)
	}
	_ = r.record.Close()
}

// answer is what a client got. Its status is 0 without a response.
type answer struct {
	status int
	body   string
	at     time.Time
	err    error
}

// call sends one request of a client on a connection of its own.
func (r *rig) call(n *node, method, id, body string, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+prefix+id, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	req.Close = true
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: strings.TrimSpace(string(data)), at: time.Now(), err: err}
}

// start is a start of a task as its worker has seen it.
type seenStart struct {
	standin.Start
	worker string
	zone   string
}

// startsOf returns the starts of all tasks by job.
func (r *rig) starts() map[string][]seenStart {
	all := map[string][]seenStart{}
	for _, v := range r.sides {
		for _, s := range v.worker.Starts() {
			id, _, _ := strings.Cut(s.Task, ".")
			all[id] = append(all[id], seenStart{s, v.worker.ID, v.zone})
		}
	}
	return all
}

// fleet prepares 3 entries and 11 agents in 3 zones, as in the small deployments.
func (r *rig) fleet(withProxy bool) error {
	zones := []string{"left", "right", "campus"}
	for i, z := range zones {
		if err := r.addEntry("front-"+z+"-1", z, i); err != nil {
			return err
		}
	}
	n := 0
	for i, z := range zones {
		for k := range []int{4, 4, 3}[i] {
			if err := r.addSide(fmt.Sprintf("side-%s-%d", z, k+1), z, n, []string{"a", fmt.Sprintf("r1-%d", n/3)}, withProxy); err != nil {
				return err
			}
			n++
		}
	}
	return nil
}

// inZone returns the machines with workers in a zone.
func (r *rig) inZone(zone string) []*side {
	var list []*side
	for _, v := range r.sides {
		if v.zone == zone {
			list = append(list, v)
		}
	}
	return list
}
