package prove

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// binaries is the directory of the programs under test; TestMain builds them.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(runMain(m))
}

func runMain(m *testing.M) int {
	dir, err := os.MkdirTemp("", "prove")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	build := exec.Command("go", "build", "-o", dir+"/", "poplargw.example/daemon/cmd/poplargwd",
		"poplargw.example/daemon/cmd/sampleserver", "poplargw.example/store/cmd/standinstore")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is one operating-system process of a system under test. It can be
// started again after it ended.
type process struct {
	t    *testing.T
	name string
	ip   string
	args []string
	log  string

	cmd    *exec.Cmd
	exited chan struct{}
	status error
}

func newProcess(t *testing.T, dir, name, ip string, args ...string) *process {
	return &process{t: t, name: name, ip: ip, args: args, log: filepath.Join(dir, name+".log")}
}

func (p *process) start() {
	p.t.Helper()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		p.t.Fatal(err)
	}
	defer out.Close()
	p.cmd = exec.Command(filepath.Join(binaries, p.args[0]), p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// The process must not outlive a test binary that is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		p.t.Fatalf("start %s: %v", p.name, err)
	}
	cmd, exited := p.cmd, make(chan struct{})
	p.exited = exited
	go func() {
		p.status = cmd.Wait()
		close(exited)
	}()
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("signal %v to %s: %v", s, p.name, err)
	}
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) thaw()   { p.signal(syscall.SIGCONT) }

// kill ends the process without warning and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// terminate asks for a graceful stop and returns how the process ended.
func (p *process) terminate(limit time.Duration) error {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return p.status
	case <-time.After(limit):
		p.t.Fatalf("%s did not end within %v of SIGTERM", p.name, limit)
		return nil
	}
}

// running tells whether the process has been started and has not ended.
func (p *process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// tail returns the last lines of the log, for messages of failed tests.
func (p *process) tail(lines int) string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimSpace(string(data)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
