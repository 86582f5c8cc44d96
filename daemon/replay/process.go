package replay

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// process is a running program of a system.
type process struct {
	name   string
	ip     string
	cmd    *exec.Cmd
	exited chan struct{}
}

func startProcess(dir, name, ip, program string, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &process{name: name, ip: ip, cmd: exec.Command(program, args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The process must not outlive a measuring program that is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// clockTicks is the unit of CPU times in /proc on Linux: 100 a second for all architectures of Go.
const clockTicks = 100

// cpu returns the processor time that the process has used.
func (p *process) cpu() time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	text := string(data)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	const user, system = 11, 12 // after the name
	if len(fields) <= system {
		return 0
	}
	u, _ := strconv.Atoi(fields[user])
	s, _ := strconv.Atoi(fields[system])
	return time.Duration(u+s) * time.Second / clockTicks
}
