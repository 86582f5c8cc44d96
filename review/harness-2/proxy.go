package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to a target. It can cut the connections of one sender, who is known by a word in the first
// bytes that it sends, and reset connections instead of delivering an answer.
type proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// cutWord names the sender that is cut off; empty for none. healed is closed at the end of the cut.
	cutWord string
	healed  chan struct{}
	all     bool // all senders are cut off
	// resetAnswer resets a connection when the first bytes of an answer arrive.
	resetAnswer bool
}

func newProxy(ip, target string) (*proxy, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c.(*net.TCPConn))
	}
}

// cut begins or ends a cut. Bytes of connections that are cut are held up until it ends.
func (p *proxy) cut(word string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.healed != nil {
		close(p.healed)
		p.healed = nil
	}
	p.cutWord = word
	p.all = false
	if word != "" {
		p.healed = make(chan struct{})
	}
}

// suspend begins or ends a time in which the machine behind the proxy does not respond.
func (p *proxy) suspend(on bool) {
	p.cut("")
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.all, p.healed = true, make(chan struct{})
	}
}

// wait blocks while the sender is cut off.
func (p *proxy) wait(first []byte) {
	for {
		p.mu.Lock()
		healed := p.healed
		isCut := p.all || p.cutWord != "" && bytes.Contains(first, []byte(p.cutWord))
		p.mu.Unlock()
		if !isCut {
			return
		}
		<-healed
	}
}

func (p *proxy) setResetAnswer(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAnswer = on
}

func (p *proxy) resetsAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resetAnswer
}

func (p *proxy) serve(in *net.TCPConn) {
	defer in.Close()
	first := make([]byte, 64<<10)
	n, err := in.Read(first)
	if err != nil {
		return
	}
	first = first[:n]
	p.wait(first)
	c, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = in.SetLinger(0)
		return
	}
	out := c.(*net.TCPConn)
	defer out.Close()
	if _, err := out.Write(first); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	go func() {
		p.copy(out, in, first, false)
		done <- struct{}{}
	}()
	go func() {
		p.copy(in, out, first, true)
		done <- struct{}{}
	}()
	<-done
	p.wait(first)
}

// copy forwards bytes until one side ends or the connection is reset.
func (p *proxy) copy(to, from *net.TCPConn, first []byte, isAnswer bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.wait(first)
		if n > 0 && isAnswer && p.resetsAnswer() {
			_ = to.SetLinger(0)
			_ = from.SetLinger(0)
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
