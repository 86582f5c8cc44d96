// Package soak runs the programs of the users' platform as separate processes on loopback, against stand-ins
// for the store and the backend servers. It injects faults from outside the processes and checks the
// guarantees of the system against what callers and backend servers observe.
package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"poplargw.example/daemon/nettest"
	"poplargw.example/lab/testbed"
	"poplargw.example/platform/standin"
)

const (
	// host is the host name of all routes, service the service of all backend servers.
	host    = "soak.example"
	service = "svc"
	// cpuCapacity and taskCPU are the CPU capacity of a backend server and the CPU demand of a task. Four tasks
	// can run on a backend server at once.
	cpuCapacity = 8000
	taskCPU     = 2000
	// zoneA and zoneB are the failure domains; the agents belong to them alternately.
	zoneA, zoneB = "left", "right"
)

// The last bytes of the addresses of the first entry and the first agent, after which the others follow.
const (
	firstEntryHost = 10
	firstAgentHost = 50
)

// deployment is a running deployment: a stand-in store, entries, and agents with their backend servers.
type deployment struct {
	t          *testing.T
	dir        string
	entryBuild build
	agentBuild build
	store      *standin.Store
	storeLinks *testbed.Forwarder
	entries    []*node
	agents     []*agentNode
	callers    *callers
	versionMu  sync.Mutex        // guards version
	version    int               // newest configuration version
	ipPrefix   string            // first three bytes of the processes' addresses, with the dot after them
	linkAddrs  map[string]string // address of the forwarder in front of an agent, by the agent's address
}

// newDeployment starts a store, agents with their backend servers and entries, and publishes the first
// configuration. Entries and agents run the builds that are given for them. The processes are killed when the
// test ends.
func newDeployment(t *testing.T, entryBuild, agentBuild build, entries, agents int) *deployment {
	d := prepareDeployment(t, entryBuild, agentBuild, agents)
	d.launchAll(entries)
	return d
}

// prepareDeployment is newDeployment without its last step, launchAll.
func prepareDeployment(t *testing.T, entryBuild, agentBuild build, agents int) *deployment {
	d := &deployment{
		t: t, dir: t.TempDir(), entryBuild: entryBuild, agentBuild: agentBuild, store: standin.NewStore(), linkAddrs: map[string]string{},
		ipPrefix: testbed.LoopbackPrefix(),
	}
	d.storeLinks = d.forward(d.serve(d.store))
	d.publishConfig()
	for i := range agents {
		d.addAgent(i)
	}
	return d
}

// launchAll starts the agents and a number of entries.
func (d *deployment) launchAll(entries int) {
	d.store.SetRewrite(d.replaceAddresses)
	for _, a := range d.agents {
		d.launch(a.node)
	}
	for i := range entries {
		d.addEntry(i)
	}
}

// replaceAddresses replaces the addresses of agents in a value written to the store by those of their
// forwarders, so that entries connect through the forwarders.
func (d *deployment) replaceAddresses(_ string, value []byte) []byte {
	for address, forwarder := range d.linkAddrs {
		value = bytes.ReplaceAll(value, []byte(address), []byte(forwarder))
	}
	return value
}

// serve starts an HTTP server until the test ends and returns its address.
func (d *deployment) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	d.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

// forward starts a forwarder to a target address until the test ends. Its port is reserved, so that it can listen
// again after the time in which it refused connections.
func (d *deployment) forward(target string) *testbed.Forwarder {
	f, err := testbed.NewForwarder(nettest.FreeAddr(d.t, "127.0.0.1"), target)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(f.Close)
	return f
}

// startProxy starts a proxy to a target address until the test ends.
func (d *deployment) startProxy(target string) *proxy {
	p, err := newProxy(target)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(p.close)
	return p
}

// routePrefix returns the path prefix of the route that exists only in the given configuration version.
func routePrefix(version int) string { return fmt.Sprintf("/v%d/", version) }

// publishConfig writes the next configuration version to the store. It has the route "/jobs/", which every
// version has, and the route of its own version.
func (d *deployment) publishConfig() {
	d.versionMu.Lock()
	defer d.versionMu.Unlock()
	d.version++
	route := func(path string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"timeoutMs":1500,"sloMs":60,"service":%q,"attempts":2,"stretch":1.6}`, path, host, path, service)
	}
	d.store.Put("op/config", []byte(fmt.Sprintf(`{"version":%d,"routes":[%s,%s],"services":[{"name":%q}],"limits":{"maxBodyBytes":10000}}`,
		d.version, route("/jobs/"), route(routePrefix(d.version)), service)))
}

// newestVersion returns the newest configuration version.
func (d *deployment) newestVersion() int {
	d.versionMu.Lock()
	defer d.versionMu.Unlock()
	return d.version
}

// writeSettings writes the settings file of a process and returns its path.
func (d *deployment) writeSettings(name, text string) string {
	file := filepath.Join(d.dir, name+".toml")
	tail := fmt.Sprintf("[bounds]\ngraceS = 6\nholdMaxMs = 1000\nstopMs = 50\nresendMs = 1300\n[platform]\naddr = %q\n", d.storeLinks.Addr())
	if err := os.WriteFile(file, []byte(fmt.Sprintf("node = %q\n%s\n%s", name, text, tail)), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return file
}

// addEntry adds entry i and starts it.
func (d *deployment) addEntry(i int) {
	ip := fmt.Sprint(d.ipPrefix, firstEntryHost+i)
	n := &node{name: fmt.Sprintf("front-%d", i), role: "entry", build: d.entryBuild, frontAddr: nettest.FreeAddr(d.t, ip), readyAddr: nettest.FreeAddr(d.t, ip)}
	n.file = d.writeSettings(n.name, fmt.Sprintf("zone = %q\nip = %q\nportRange = [1, 2]\n[listen]\nfront = %q\nready = %q", zoneA, ip, n.frontAddr, n.readyAddr))
	n.callerLink = d.startProxy(n.frontAddr)
	d.entries = append(d.entries, n)
	d.launch(n)
}

// logDir returns the directory for the logs of the processes: one for this test under SOAK_LOGS if that is
// set, so that the logs are kept, and a temporary directory otherwise.
func logDir(t *testing.T) string {
	dir := os.Getenv("SOAK_LOGS")
	if dir == "" {
		return t.TempDir()
	}
	dir = filepath.Join(dir, strings.ReplaceAll(t.Name(), "/", "-"))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	return dir
}
