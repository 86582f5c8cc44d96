package replay

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// delayProxy forwards TCP connections to one process and delivers every chunk after a fixed delay.
// The delay does not grow with the number of chunks in flight, so the proxy simulates latency and
// not bandwidth.
type delayProxy struct {
	listener net.Listener
	target   string
	// delay returns the one-way latency of connections from a source IP.
	delay func(source string) time.Duration

	mu sync.Mutex
	// conns holds both sides of every forwarded connection.
	conns map[net.Conn]bool
}

const (
	// chunkBytes is the size of the read buffer and so the largest chunk.
	chunkBytes = 32 << 10
	// maxChunksInFlight bounds the memory used for one direction of a connection.
	maxChunksInFlight = 1024
)

// chunk holds received bytes and the time at which they are delivered.
type chunk struct {
	due  time.Time
	data []byte
}

// newDelayProxy listens on the address and forwards every connection to the target.
func newDelayProxy(address, target string, delay func(string) time.Duration) (*delayProxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &delayProxy{listener: l, target: target, delay: delay, conns: map[net.Conn]bool{}}
	go d.accept()
	return d, nil
}

// close stops listening and closes all connections.
func (d *delayProxy) close() {
	d.listener.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		c.Close()
	}
}

func (d *delayProxy) accept() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.serve(c)
	}
}

// serve forwards one connection in both directions until both have ended.
func (d *delayProxy) serve(in net.Conn) {
	out, err := net.Dial("tcp", d.target)
	if err != nil {
		in.Close()
		return
	}
	d.mu.Lock()
	d.conns[in], d.conns[out] = true, true
	d.mu.Unlock()
	oneWay := d.delay(in.RemoteAddr().(*net.TCPAddr).IP.String())
	var done sync.WaitGroup
	done.Go(func() { forwardDelayed(in, out, oneWay) })
	done.Go(func() { forwardDelayed(out, in, oneWay) })
	done.Wait()
	d.mu.Lock()
	delete(d.conns, in)
	delete(d.conns, out)
	d.mu.Unlock()
}

// forwardDelayed copies from one connection to the other, each chunk delayed, and then closes the
// other. After a failed write it closes from and drops the chunks that are still queued.
func forwardDelayed(from, to net.Conn, delay time.Duration) {
	queue := make(chan chunk, maxChunksInFlight)
	go func() {
		defer close(queue)
		buf := make([]byte, chunkBytes)
		for {
			n, err := from.Read(buf)
			if n > 0 {
				queue <- chunk{due: time.Now().Add(delay), data: append([]byte(nil), buf[:n]...)}
			}
			if err != nil {
				return
			}
		}
	}()
	failed := false
	for c := range queue {
		sleepUntil(c.due)
		if _, err := to.Write(c.data); err != nil && !failed {
			failed = true
			from.Close()
		}
	}
	to.Close()
}

// sleepUntil sleeps with nanosleep until t, because the timers of the Go runtime round waits up to
// milliseconds.
func sleepUntil(t time.Time) {
	for d := time.Until(t); d > 0; d = time.Until(t) {
		ts := syscall.NsecToTimespec(d.Nanoseconds())
		_ = syscall.Nanosleep(&ts, nil)
	}
}
