package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"poplargw.example/daemon/nettest"
	"poplargw.example/lab/testbed"
	"poplargw.example/platform/standin"
)

const (
	// heartbeatInterval is the time between two heartbeats of a backend server.
	heartbeatInterval = 200 * time.Millisecond
	// heartbeatTimeout is how long a backend server waits for the acknowledgement of a heartbeat.
	heartbeatTimeout = time.Second
	// stopTime is how long a stopped run goes on, the stopMs of the settings.
	stopTime = 50 * time.Millisecond
	// shrinkLimit is the time after the heartbeat that announced a smaller capacity from which on no start may
	// exceed it.
	shrinkLimit = 3000*time.Millisecond + heartbeatInterval
)

// agentNode is an agent with its backend server.
type agentNode struct {
	*node
	backend      *standin.Backend
	backendLinks *testbed.Forwarder // between the agent and the backend server
	entryLinks   *testbed.Forwarder // between the entries and the agent
	linkAddr     string             // on which the agent accepts links
	controlAddr  string
	zone         string

	mu          sync.Mutex // guards the fields below
	state       string
	capacity    int // CPU that the heartbeats announce
	announced   []announcement
	seq         int
	incarnation int64 // of the backend server at the newest heartbeat
}

// announcement is a CPU capacity that heartbeats have announced from a time on.
type announcement struct {
	at       time.Time
	capacity int
}

// addAgent adds agent i with its backend server and begins its heartbeats. It does not start the process of the
// agent.
func (d *deployment) addAgent(i int) {
	ip := fmt.Sprint(d.ipPrefix, firstAgentHost+i)
	a := &agentNode{
		node:    &node{name: fmt.Sprintf("side-%d", i), role: "agent", build: d.agentBuild},
		backend: standin.NewBackend(fmt.Sprintf("i-%d", i)), controlAddr: nettest.FreeAddr(d.t, ip), zone: []string{zoneA, zoneB}[i%2],
		state: "ready", capacity: cpuCapacity, announced: []announcement{{capacity: cpuCapacity}},
	}
	a.backend.SetStopTime(stopTime)
	a.backendLinks = d.forward(d.serve(a.backend))
	address := nettest.FreeAddr(d.t, ip)
	_, port, _ := net.SplitHostPort(address)
	a.linkAddr = address
	a.entryLinks = d.forward(address)
	d.linkAddrs[address] = a.entryLinks.Addr()
	a.file = d.writeSettings(a.name, fmt.Sprintf("zone = %q\nip = %q\nportRange = [%s, %s]\napp = %q\nservice = %q\n[listen]\ncontrol = %q",
		a.zone, ip, port, port, a.backendLinks.Addr(), service, a.controlAddr))
	d.agents = append(d.agents, a)
	ctx, cancel := context.WithCancel(context.Background())
	d.t.Cleanup(cancel)
	go a.refuseWhileDown(ctx, d.t)
	go func() {
		for ctx.Err() == nil {
			a.sendHeartbeat()
			time.Sleep(heartbeatInterval)
		}
	}()
}

// crashPollInterval is the time between two looks at whether the backend server has crashed or returned.
const crashPollInterval = time.Millisecond

// refuseWhileDown makes the operating system refuse connections to the backend server while that is down, until
// ctx ends. After every other crash, connections are accepted and closed instead, as by a host that forwards
// ports.
func (a *agentNode) refuseWhileDown(ctx context.Context, t *testing.T) {
	wasUp, crashes := true, 0
	for ; ctx.Err() == nil; time.Sleep(crashPollInterval) {
		up := a.backend.Up()
		switch {
		case wasUp && !up:
			if crashes++; crashes%2 == 1 {
				a.backendLinks.StopListening()
			}
		case up && !wasUp:
			if err := a.backendLinks.Listen(); err != nil {
				t.Errorf("%s: backend server cannot return: %v", a.name, err)
				return
			}
		}
		wasUp = up
	}
}

// sendHeartbeat sends a heartbeat of the backend server to its agent, unless the backend server is down or suspended. Errors
// are ignored, because the agent may be down; it gets the next heartbeat.
func (a *agentNode) sendHeartbeat() {
	if !a.backend.Up() || a.backend.Suspended() {
		return
	}
	body, capacity := a.nextHeartbeat()
	client := http.Client{Timeout: heartbeatTimeout}
	resp, err := client.Post("http://"+a.controlAddr+"/-/Instances.Heartbeat/"+a.backend.ID, "application/json", strings.NewReader(body))
	if err != nil {
		return
	}
	resp.Body.Close()
	if resp.StatusCode < 300 {
		a.acknowledged(capacity)
	}
}

// nextHeartbeat returns the body of the next heartbeat and the capacity in it.
func (a *agentNode) nextHeartbeat() (string, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	// The numbers of a new incarnation start anew.
	if n := a.backend.Incarnation(); n != a.incarnation {
		a.incarnation, a.seq = n, 0
	}
	a.seq++
	// The agent may use a larger capacity before the acknowledgement arrives.
	if last := a.announced[len(a.announced)-1]; a.capacity > last.capacity {
		a.announced = append(a.announced, announcement{time.Now(), a.capacity})
	}
	return fmt.Sprintf(`{"service":%q,"addr":"127.0.0.1:1","zone":%q,"state":%q,"room":{"cpu":%d,"memMb":100000,"gpu":0},"seq":%d,"born":%d}`,
		service, a.zone, a.state, a.capacity, a.seq, a.incarnation), a.capacity
}

// acknowledged records that the agent has acknowledged a heartbeat with the given capacity.
func (a *agentNode) acknowledged(capacity int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if last := a.announced[len(a.announced)-1]; capacity < last.capacity {
		a.announced = append(a.announced, announcement{time.Now(), capacity})
	}
}

// setState changes the state that the heartbeats of the backend server report and sends one at once.
func (a *agentNode) setState(state string) {
	a.mu.Lock()
	a.state = state
	a.mu.Unlock()
	a.sendHeartbeat()
}

// setCapacity changes the CPU capacity that the heartbeats of the backend server report.
func (a *agentNode) setCapacity(cpu int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.capacity = cpu
}

// largestCapacity returns the largest CPU capacity that was announced at any time from the given time before a
// moment up to that moment.
func (a *agentNode) largestCapacity(at time.Time, before time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	largest := 0
	for i, n := range a.announced {
		replaced := i+1 < len(a.announced) && a.announced[i+1].at.Before(at.Add(-before))
		if !replaced && !n.at.After(at) {
			largest = max(largest, n.capacity)
		}
	}
	return largest
}
