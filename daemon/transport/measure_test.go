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

// Parameters of the measurement. Agents report once a second, and all entries together start up to
// 32,000 tasks/s; 2,000 calls/s are a sixteenth of that.
const (
	measurePhase          = 5 * time.Second
	measureCallsPerSecond = 2000
	measurePayloadBytes   = 1 << 10
	measureDeadPeerLimit  = 3 * time.Second
	// clockTicksPerSecond is the unit of CPU times in /proc on Linux: 100 on all architectures that Go
	// supports.
	clockTicksPerSecond = 100
)

// Environment variables of the measured server: the directory with the certificates and the
// transport kind.
const (
	serverDirEnv  = "POPLARGW_MEASURE_DIR"
	serverKindEnv = "POPLARGW_MEASURE_KIND"
)

// TestMeasureServer is the server process of BenchmarkConnections and does nothing on its own. It
// guards the benchmark against counting the memory and CPU time of the clients as the server's.
func TestMeasureServer(t *testing.T) {
	dir := os.Getenv(serverDirEnv)
	if dir == "" {
		return
	}
	conf, err := loadTLSDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	s, err := NewServer(os.Getenv(serverKindEnv), "127.0.0.1:0", conf, http.HandlerFunc(echo))
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

func loadTLSDir(dir string) (*tls.Config, error) {
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
	pid, addr := startMeasuredServer(b, kind, dir)
	conf, err := loadTLSDir(dir)
	if err != nil {
		b.Fatal(err)
	}
	empty := residentKiB(b, pid)
	clients := openConnections(b, kind, conf, addr, connections)
	begin := cpuSeconds(b, pid)
	time.Sleep(measurePhase)
	idle := cpuSeconds(b, pid) - begin
	memory := residentKiB(b, pid)
	begin = cpuSeconds(b, pid)
	calls := runLoad(b, clients, addr)
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

// startMeasuredServer starts TestMeasureServer in a process of its own and returns its process ID
// and address.
func startMeasuredServer(b *testing.B, kind, dir string) (pid int, addr string) {
	cmd := exec.Command(os.Args[0], "-test.run", "^TestMeasureServer$")
	cmd.Env = append(os.Environ(), serverDirEnv+"="+dir, serverKindEnv+"="+kind)
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

// openConnections returns that many clients, each with one connection opened by a call.
func openConnections(b *testing.B, kind string, conf *tls.Config, addr string, connections int) []Client {
	clients := make([]Client, connections)
	for i := range clients {
		c, err := NewClient(kind, conf, measureDeadPeerLimit)
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

// runLoad makes measureCallsPerSecond calls a second for measurePhase, over the clients in turn, and
// returns the number of calls.
func runLoad(b *testing.B, clients []Client, addr string) int {
	body := strings.Repeat("x", measurePayloadBytes)
	total := int(measureCallsPerSecond * measurePhase.Seconds())
	begin := time.Now()
	var wg sync.WaitGroup
	for i := range total {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / measureCallsPerSecond)))
		wg.Go(func() {
			if _, err := post(context.Background(), clients[i%len(clients)], addr, body); err != nil {
				b.Error(err)
			}
		})
	}
	wg.Wait()
	return total
}

// residentKiB returns the resident memory of a process in KiB.
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

// cpuSeconds returns the user and system CPU time of a process in seconds.
func cpuSeconds(b *testing.B, pid int) float64 {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	// These are the fields after the command name, which is in parentheses. Fields 11 and 12 are the
	// user and system time.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return float64(user+system) / clockTicksPerSecond
}
