// Package link carries length-delimited frames between an entry and an agent over one TCP
// connection, with TLS where key material is given.
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
	// outFrames bounds the frames that wait to be written. A peer that does not read for that long
	// is taken to be gone.
	outFrames = 256
	// maxFrame bounds a received frame in bytes; a job's specification has at most a few KB.
	maxFrame = 4 << 20
	// writeLimit bounds one write. A link that stands still for that long is replaced.
	writeLimit = time.Second
	bufferSize = 16 << 10
)

// ErrSlow reports a peer that does not read its frames.
var ErrSlow = errors.New("link: peer does not read")

// Conn is one connection. Send may be called by several goroutines, Receive by one.
type Conn struct {
	conn net.Conn
	in   *bufio.Reader
	out  chan proto.Message
	done chan struct{}
	once sync.Once
	err  error
}

// New wraps a connection and starts its writer.
func New(conn net.Conn) *Conn {
	c := &Conn{
		conn: conn,
		in:   bufio.NewReaderSize(conn, bufferSize),
		out:  make(chan proto.Message, outFrames),
		done: make(chan struct{}),
	}
	go c.write()
	return c
}

// Dial connects to the address within the limit. conf is nil for a plain connection.
func Dial(ctx context.Context, addr string, conf *tls.Config, limit time.Duration) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	d := &net.Dialer{}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if conf == nil {
		return New(conn), nil
	}
	secure := tls.Client(conn, conf)
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, trace.NewAggregate(err, conn.Close())
	}
	return New(secure), nil
}

// Send queues a frame. It never blocks: a full queue ends the connection.
func (c *Conn) Send(m proto.Message) {
	select {
	case c.out <- m:
	case <-c.done:
	default:
		c.end(ErrSlow)
	}
}

// Receive reads the next frame into m. It returns an error when the connection has ended.
func (c *Conn) Receive(m proto.Message) error {
	err := protodelim.UnmarshalOptions{MaxSize: maxFrame}.UnmarshalFrom(c.in, m)
	if err != nil {
		c.end(err)
		return c.err
	}
	return nil
}

// Close ends the connection.
func (c *Conn) Close() { c.end(net.ErrClosed) }

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Remote returns the peer's address.
func (c *Conn) Remote() string { return c.conn.RemoteAddr().String() }

func (c *Conn) end(err error) {
	c.once.Do(func() {
		c.err = err
		close(c.done)
		// The connection is unusable either way; its error says nothing more.
		_ = c.conn.Close()
	})
}

func (c *Conn) write() {
	w := bufio.NewWriterSize(c.conn, bufferSize)
	for {
		select {
		case m := <-c.out:
			if err := c.writeAll(w, m); err != nil {
				c.end(err)
				return
			}
		case <-c.done:
			return
		}
	}
}

// writeAll writes the frame and those that wait behind it with as few system calls as possible.
func (c *Conn) writeAll(w *bufio.Writer, m proto.Message) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
		return err
	}
	for {
		if _, err := protodelim.MarshalTo(w, m); err != nil {
			return err
		}
		select {
		case m = <-c.out:
		default:
			return w.Flush()
		}
	}
}

// Ended tells whether the error is an ordinary end of a connection.
func Ended(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed)
}
