// Package link exchanges length-delimited protobuf frames between an entry and an agent over one TCP
// connection, optionally with TLS. It also converts between the frames and the types of the dispatch
// packages.
package link

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

const (
	// sendQueueLength bounds the number of frames that wait to be written. When the queue is full, the
	// peer is considered lost.
	sendQueueLength = 256
	// maxFrameBytes bounds the size of a received frame. A job's specification has at most a few KB.
	maxFrameBytes = 4 << 20
	// writeTimeout bounds the time to write the queued frames. If that takes longer, the link is closed.
	writeTimeout = time.Second
	// bufferBytes is the size of the read buffer and of the write buffer.
	bufferBytes = 16 << 10
)

// ErrPeerNotReading is the error of a connection that was closed because the peer does not read its frames
// fast enough.
var ErrPeerNotReading = errors.New("link: peer does not read")

// Conn is one connection between an entry and an agent. Receive must not be called concurrently; the other
// methods may be.
type Conn struct {
	conn      net.Conn
	reader    *bufio.Reader
	sendQueue chan proto.Message
	done      chan struct{}
	closeOnce sync.Once
	err       error
}

// New wraps an established connection and starts the goroutine that writes to it.
func New(conn net.Conn) *Conn {
	c := &Conn{
		conn:      conn,
		reader:    bufio.NewReaderSize(conn, bufferBytes),
		sendQueue: make(chan proto.Message, sendQueueLength),
		done:      make(chan struct{}),
	}
	go c.writeLoop()
	return c
}

// Dial opens a TCP connection to the address, including the TLS handshake, within the timeout. A nil config
// disables TLS.
func Dial(ctx context.Context, addr string, config *tls.Config, timeout time.Duration) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	dialer := &net.Dialer{}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if config == nil {
		return New(conn), nil
	}
	tlsConn := tls.Client(conn, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return nil, trace.NewAggregate(err, conn.Close())
	}
	return New(tlsConn), nil
}

// Send queues a frame. It never blocks: if the queue is full, it closes the connection with
// ErrPeerNotReading. Frames sent after the end of the connection are dropped.
func (c *Conn) Send(m proto.Message) {
	select {
	case c.sendQueue <- m:
	case <-c.done:
	default:
		c.closeWithError(ErrPeerNotReading)
	}
}

// Receive reads the next frame into m. When the connection has ended, it returns the error that ended it.
func (c *Conn) Receive(m proto.Message) error {
	err := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}.UnmarshalFrom(c.reader, m)
	if err != nil {
		c.closeWithError(err)
		return c.err
	}
	return nil
}

// Close ends the connection.
func (c *Conn) Close() { c.closeWithError(net.ErrClosed) }

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Local returns the address of this side.
func (c *Conn) Local() string { return c.conn.LocalAddr().String() }

// Remote returns the peer's address.
func (c *Conn) Remote() string { return c.conn.RemoteAddr().String() }

// closeWithError closes the connection and records err as the reason. Only the first call has an effect.
func (c *Conn) closeWithError(err error) {
	c.closeOnce.Do(func() {
		c.err = err
		close(c.done)
		// The connection is unusable either way, so an error of Close adds nothing.
		_ = c.conn.Close()
	})
}

// writeLoop writes queued frames until the connection ends.
func (c *Conn) writeLoop() {
	w := bufio.NewWriterSize(c.conn, bufferBytes)
	for {
		select {
		case m := <-c.sendQueue:
			if err := c.writeQueued(w, m); err != nil {
				c.closeWithError(err)
				return
			}
		case <-c.done:
			return
		}
	}
}

// writeQueued writes the frame and all others in the queue with as few system calls as possible.
func (c *Conn) writeQueued(w *bufio.Writer, m proto.Message) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	for {
		if _, err := protodelim.MarshalTo(w, m); err != nil {
			return err
		}
		select {
		case m = <-c.sendQueue:
		default:
			return w.Flush()
		}
	}
}

// Ended reports whether the error is the normal end of a connection: EOF, or closed by this side.
func Ended(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed)
}
