package prove

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"poplargw.example/lab/testbed"
)

// binDir is the directory of the programs under test, which TestMain builds.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(runMain(m))
}

// runMain builds the programs, runs the tests and returns the exit code.
func runMain(m *testing.M) int {
	dir, err := os.MkdirTemp("", "prove")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "poplargw.example/daemon/cmd/poplargwd",
		"poplargw.example/lab/cmd/sampleserver", "poplargw.example/store/cmd/standinstore")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the programs under test: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a process of the system under test. Its methods end the test if the process cannot be
// started or signalled.
type process struct {
	*testbed.Process
	t *testing.T
}

func (p *process) start() {
	p.t.Helper()
	if err := p.Start(); err != nil {
		p.t.Fatal(err)
	}
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.Signal(s); err != nil {
		p.t.Fatalf("signal %v to %s: %v", s, p.Name, err)
	}
}

// freeze stops the process with SIGSTOP; unfreeze lets it continue.
func (p *process) freeze()   { p.signal(syscall.SIGSTOP) }
func (p *process) unfreeze() { p.signal(syscall.SIGCONT) }
func (p *process) kill()     { p.Kill() }

// terminate sends SIGTERM and returns the error of the process's exit, nil for status 0. It ends the
// test if the process does not exit within the limit.
func (p *process) terminate(limit time.Duration) error {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	status, ended := p.Wait(limit)
	if !ended {
		p.t.Fatalf("%s did not exit within %v of SIGTERM", p.Name, limit)
	}
	return status
}
