package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// clockTicks is the unit of CPU times in /proc on Linux: 100 for all architectures that Go has.
const clockTicks = 100

// process is a started program.
type process struct {
	name, ip, log string
	cmd           *exec.Cmd
	ended         bool
}

// start runs a program; its output goes to the log file unless stdout is given.
func start(name, ip, log string, env []string, stdout io.Writer, program string, args ...string) (*process, error) {
	file, err := os.Create(log)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	p := &process{name: name, ip: ip, log: log, cmd: exec.Command(program, args...)}
	p.cmd.Stdout, p.cmd.Stderr, p.cmd.Env = file, file, append(os.Environ(), env...)
	if stdout != nil {
		p.cmd.Stdout = stdout
	}
	// A process must not outlive a measurement that is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	return p, nil
}

// kill ends the process by its ID.
func (p *process) kill() {
	if p.ended {
		return
	}
	p.ended = true
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// cpu returns the processor time that the process has used, in seconds.
func (p *process) cpu() float64 {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	// The fields after the command name, which is in parentheses; 11 and 12 are user and system time.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return float64(user+system) / clockTicks
}

// resident returns the resident memory in MB (10^6 bytes).
func (p *process) resident() float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.Atoi(strings.Fields(value)[0])
			return float64(kib) * 1024 / 1e6
		}
	}
	return 0
}

// metric returns the sum of the metrics whose name with labels begins with the prefix.
func (p *process) metric(prefix string) float64 {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/metrics", p.ip, portOperators))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	sum := 0.0
	for s := bufio.NewScanner(resp.Body); s.Scan(); {
		name, value, ok := strings.Cut(s.Text(), " ")
		if ok && strings.HasPrefix(name, prefix) {
			v, _ := strconv.ParseFloat(value, 64)
			sum += v
		}
	}
	return sum
}

func sum(ps []*process, f func(*process) float64) float64 {
	total := 0.0
	for _, p := range ps {
		total += f(p)
	}
	return total
}
