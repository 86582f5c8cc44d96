package transport

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"poplargw.example/daemon/pki"
)

// Phases and load of the measurement. Agents report each second and a home starts up to 32,000
// tasks/s over all entries; 2,000 calls/s are a sixteenth of that.
const (
	measurePhase   = 5 * time.Second
	measureCalls   = 2000
	measurePayload = 1 << 10
	measureDead    = 3 * time.Second
	// clockTicks is the unit of CPU times in /proc on Linux: 100 for all architectures that Go has.
	clockTicks = 100
)

// serverDir names the directory with the certificates in the environment of the measured server.
const (
	serverDir  = "POPLARGW_MEASURE_DIR"
	serverKind = "POPLARGW_MEASURE_KIND"
)

// TestMeasureServer is the server process of BenchmarkConnections and does nothing on its own. It
// guards the benchmark against counting the clients' memory and CPU time as the server's.
func TestMeasureServer(t *testing.T) {
	dir := os.Getenv(serverDir)
	if dir == "" {
		return
	}
	conf, err := loadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	s, err := NewServer(os.Getenv(serverKind), "127.0.0.1:0", conf, http.HandlerFunc(echo))
	if err != nil {
		t.Fatal(err)
	}
	fmt.Println("address", s.Addr())
	go func() { _ = s.Serve() }()
	_, _ = io.Copy(io.Discard, os.Stdin)
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		_, _ = w.Write(body)
	}
}

func loadDir(dir string) (*tls.Config, error) {
	return LoadTLS(filepath.Join(dir, pki.CertFile), filepath.Join(dir, pki.KeyFile), filepath.Join(dir, pki.CAFile))
}

// BenchmarkConnections measures the resident memory and CPU time of one server process with idle
// connections, and with a steady load on them. Run it with -benchtime 1x.
func BenchmarkConnections(b *testing.B) {
	for _, kind := range kinds {
		for _, connections := range []int{50, 200, 880} {
			b.Run(fmt.Sprintf("%s/%d", kind, connections), func(b *testing.B) {
				for b.Loop() {
					measure(b, kind, connections)
				}
			})
		}
	}
}

func measure(b *testing.B, kind string, connections int) {
	set, err := pki.New(time.Now(), []net.IP{net.IPv4(127, 0, 0, 1)})
	if err != nil {
		b.Fatal(err)
	}
	dir := b.TempDir()
	if err := set.Write(dir); err != nil {
		b.Fatal(err)
	}
	pid, addr := startMeasured(b, kind, dir)
	conf, err := loadDir(dir)
	if err != nil {
		b.Fatal(err)
	}
	empty := residentKiB(b, pid)
	clients := connect(b, kind, conf, addr, connections)
	begin := cpuSeconds(b, pid)
	time.Sleep(measurePhase)
	idle := cpuSeconds(b, pid) - begin
	memory := residentKiB(b, pid)
	begin = cpuSeconds(b, pid)
	calls := load(b, clients, addr)
	busy := cpuSeconds(b, pid) - begin
	b.ReportMetric(float64(empty), "KiB-empty")
	b.ReportMetric(float64(memory), "KiB-idle")
	b.ReportMetric(float64(memory-empty)/float64(connections), "KiB/conn")
	b.ReportMetric(100*idle/measurePhase.Seconds(), "%core-idle")
	b.ReportMetric(100*busy/measurePhase.Seconds(), "%core-load")
	b.ReportMetric(1e6*busy/float64(calls), "us-cpu/call")
	b.ReportMetric(float64(residentKiB(b, pid)), "KiB-load")
	b.ReportMetric(float64(calls)/measurePhase.Seconds(), "calls/s")
	b.ReportMetric(0, "ns/op")
}

func startMeasured(b *testing.B, kind, dir string) (pid int, addr string) {
	cmd := exec.Command(os.Args[0], "-test.run", "^TestMeasureServer$")
	cmd.Env = append(os.Environ(), serverDir+"="+dir, serverKind+"="+kind)
	in, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = in.Close()
		_ = cmd.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	go func() { _, _ = io.Copy(io.Discard, out) }()
	return cmd.Process.Pid, strings.TrimSpace(strings.TrimPrefix(line, "address "))
}

// connect opens each connection with one call.
func connect(b *testing.B, kind string, conf *tls.Config, addr string, connections int) []Client {
	clients := make([]Client, connections)
	for i := range clients {
		c, err := NewClient(kind, conf, measureDead)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(c.Close)
		if _, err := post(context.Background(), c, addr, "x"); err != nil {
			b.Fatal(err)
		}
		clients[i] = c
	}
	return clients
}

// load makes measureCalls a second over the connections in turn and returns the number of calls.
func load(b *testing.B, clients []Client, addr string) int {
	body := strings.Repeat("x", measurePayload)
	total := int(measureCalls * measurePhase.Seconds())
	begin := time.Now()
	var wg sync.WaitGroup
	for i := range total {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / measureCalls)))
		wg.Go(func() {
			if _, err := post(context.Background(), clients[i%len(clients)], addr, body); err != nil {
				b.Error(err)
			}
		})
	}
	wg.Wait()
	return total
}

func residentKiB(b *testing.B, pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Skip("needs /proc")
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(value)[0])
			return n
		}
	}
	b.Fatal("no VmRSS in /proc")
	return 0
}

func cpuSeconds(b *testing.B, pid int) float64 {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	// The fields after the command name, which is in parentheses; 11 and 12 are user and system time.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return float64(user+system) / clockTicks
}
