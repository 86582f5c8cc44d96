package main

import (
	"net"
	"syscall"
	"time"
)

// blackhole is a listening socket whose queue is full: a connection to it gets no response, as from a machine that is suspended or has no power.
type blackhole struct {
	fd      int
	fillers []int
}

// newBlackhole takes over an address on which nobody listens.
func newBlackhole(addr string) (*blackhole, error) {
	a, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return nil, err
	}
	to := &syscall.SockaddrInet4{Port: a.Port}
	copy(to.Addr[:], a.IP.To4())
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	b := &blackhole{fd: fd}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, to); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	for range 3 {
		c, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
		if err != nil {
			return nil, err
		}
		_ = syscall.Connect(c, to)
		b.fillers = append(b.fillers, c)
	}
	time.Sleep(time.Millisecond)
	return b, nil
}

func (b *blackhole) close() {
	_ = syscall.Close(b.fd)
	for _, c := range b.fillers {
		_ = syscall.Close(c)
	}
}

// suspend suspends the machine: its processes stand still, also the worker with its clock, and nothing on it answers. resume ends that.
func (v *side) suspend() error {
	v.rig.note("machine %s is suspended", v.name)
	v.worker.Suspend()
	v.signal(syscall.SIGSTOP)
	p := v.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = true
	p.listener.Close()
	var err error
	p.hole, err = newBlackhole(p.address)
	return err
}

func (v *side) resume() error {
	p := v.proxy
	p.mu.Lock()
	p.hole.close()
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		p.mu.Unlock()
		return err
	}
	p.listener, p.frozen = l, false
	p.mu.Unlock()
	go p.accept(l)
	v.resumed = time.Now()
	v.worker.Resume()
	v.signal(syscall.SIGCONT)
	v.rig.note("machine %s goes on", v.name)
	return nil
}
