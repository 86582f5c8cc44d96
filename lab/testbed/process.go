// Package testbed starts the programs of the system as processes on loopback addresses, for
// end-to-end tests and measurements. It is not part of the product.
package testbed

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// clockTicks is the number of ticks per second in which Linux reports CPU times in /proc: 100 on all
// architectures that Go supports.
const clockTicks = 100

// Process is a program that runs as a separate process. It can be started again after it has ended. Its methods may
// be called from several goroutines.
type Process struct {
	// Name identifies the process in its system. IP is its loopback address.
	Name, IP string
	// Log is the path of the file to which its output is appended.
	Log string
	// Program is the path of the executable, Args its arguments.
	Program string
	Args    []string
	// Env is added to the environment of this process; each element is KEY=VALUE.
	Env []string
	// Stdout receives the standard output instead of the log; nil means the log.
	Stdout io.Writer

	newest atomic.Pointer[child] // nil before the first start
}

// child is one start of a process.
type child struct {
	process *os.Process
	// exited is closed when the process has ended; exitErr is then the error of exec.Cmd.Wait.
	exited  chan struct{}
	exitErr error
}

// Start starts the process. It returns an error if the log cannot be opened or the program
// cannot be started.
func (p *Process) Start() error {
	out, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.Program, p.Args...)
	cmd.Stdout, cmd.Stderr = out, out
	if p.Stdout != nil {
		cmd.Stdout = p.Stdout
	}
	cmd.Env = append(os.Environ(), p.Env...)
	// The kernel kills the process if the program that started it is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	c := &child{process: cmd.Process, exited: make(chan struct{})}
	p.newest.Store(c)
	go func() {
		c.exitErr = cmd.Wait()
		close(c.exited)
	}()
	return nil
}

// Signal sends a signal to the process, which must have been started.
func (p *Process) Signal(s syscall.Signal) error { return p.newest.Load().process.Signal(s) }

// Kill sends SIGKILL to the process and waits until it has ended. It does nothing if the process is
// not running.
func (p *Process) Kill() {
	if p.Running() {
		c := p.newest.Load()
		_ = c.process.Kill()
		<-c.exited
	}
}

// Wait waits until the process has ended and returns the error of exec.Cmd.Wait, which is nil for exit
// status 0, and true. It returns false if the process is still running after the limit.
func (p *Process) Wait(limit time.Duration) (error, bool) {
	c := p.newest.Load()
	select {
	case <-c.exited:
		return c.exitErr, true
	case <-time.After(limit):
		return nil, false
	}
}

// Running reports whether the process has been started and has not ended.
func (p *Process) Running() bool {
	c := p.newest.Load()
	if c == nil {
		return false
	}
	select {
	case <-c.exited:
		return false
	default:
		return true
	}
}

// CPU returns the user and system time that the process has used; 0 if it has ended. The process
// must have been started.
func (p *Process) CPU() time.Duration {
	data, err := os.ReadFile(p.procFile("stat"))
	if err != nil {
		return 0
	}
	// Positions in the fields after the command name, which is in parentheses and may contain spaces.
	const userField, systemField = 11, 12
	text := string(data)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) <= systemField {
		return 0
	}
	u, _ := strconv.Atoi(fields[userField])
	s, _ := strconv.Atoi(fields[systemField])
	return time.Duration(u+s) * time.Second / clockTicks
}

// ResidentBytes returns the resident memory of the process in bytes; 0 if it has ended. The process
// must have been started.
func (p *Process) ResidentBytes() int64 {
	data, err := os.ReadFile(p.procFile("status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kib * 1024
		}
	}
	return 0
}

// procFile returns the path of a file of the process in /proc.
func (p *Process) procFile(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.newest.Load().process.Pid), name)
}

// Metrics returns the metrics that an entry or agent serves, by name with labels; nil if it does not
// answer within a second.
func (p *Process) Metrics() map[string]float64 {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(p.operatorURL("/metrics"))
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	all := make(map[string]float64)
	for s := bufio.NewScanner(resp.Body); s.Scan(); {
		if name, value, ok := strings.Cut(s.Text(), " "); ok {
			all[name], _ = strconv.ParseFloat(value, 64)
		}
	}
	return all
}

// GetStatus requests a path from the operators' listener of an entry or agent and returns the HTTP
// status; 0 if there is no answer within a second.
func (p *Process) GetStatus(path string) int {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(p.operatorURL(path))
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// operatorURL returns the URL of a path on the operators' listener.
func (p *Process) operatorURL(path string) string {
	return fmt.Sprintf("http://%s:%d%s", p.IP, PortOperators, path)
}

// Tail returns the last lines of the log, or the text of the error if the log cannot be read.
func (p *Process) Tail(lines int) string {
	data, err := os.ReadFile(p.Log)
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimSpace(string(data)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
