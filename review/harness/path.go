package main

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// path is the network path from the entries to the link address of an agent. While the machine is suspended it holds
// all bytes, and new connections hang: the queue of new connections is full, and nothing is accepted.
type path struct {
	target string
	addr   string
	fd     int
	cut    atomic.Bool
	closed atomic.Bool
	filler []net.Conn
}

const pathPoll = time.Millisecond

func newPath(ip, target string) (*path, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	var a syscall.SockaddrInet4
	copy(a.Addr[:], net.ParseIP(ip).To4())
	if err := syscall.Bind(fd, &a); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 1); err != nil {
		return nil, err
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return nil, err
	}
	p := &path{target: target, fd: fd, addr: fmt.Sprintf("%s:%d", ip, name.(*syscall.SockaddrInet4).Port)}
	go p.accept()
	return p, nil
}

// suspend cuts the path, or lets it go on.
func (p *path) suspend(on bool) {
	p.cut.Store(on)
	if !on {
		for _, c := range p.filler {
			c.Close()
		}
		p.filler = nil
		return
	}
	time.Sleep(2 * pathPoll) // an accept that has begun
	for {
		c, err := net.DialTimeout("tcp", p.addr, 20*time.Millisecond)
		if err != nil {
			return
		}
		p.filler = append(p.filler, c)
	}
}

func (p *path) close() { p.closed.Store(true) }

func (p *path) accept() {
	defer syscall.Close(p.fd)
	for !p.closed.Load() {
		if p.cut.Load() {
			time.Sleep(pathPoll)
			continue
		}
		fd, _, err := syscall.Accept4(p.fd, syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK)
		if err != nil {
			time.Sleep(pathPoll)
			continue
		}
		file := os.NewFile(uintptr(fd), "link")
		source, err := net.FileConn(file)
		file.Close()
		if err == nil {
			go p.forward(source)
		}
	}
}

func (p *path) forward(source net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		source.Close()
		return
	}
	go p.copy(target, source)
	p.copy(source, target)
}

// copy delivers the bytes of one direction, and its end, but nothing while the path is cut.
func (p *path) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		for p.cut.Load() && !p.closed.Load() {
			time.Sleep(pathPoll)
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			to.Close()
			from.Close()
			return
		}
	}
}
