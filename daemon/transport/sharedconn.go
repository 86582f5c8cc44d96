package transport

import (
	"context"
	"net/http"
	"time"
)

// connection is one connection to a peer.
type connection interface {
	http.RoundTripper
	// usable reports whether new calls may be sent on the connection.
	usable() bool
	close()
}

// dialer opens connections, each from a new local port.
type dialer interface {
	dial(ctx context.Context, addr string) (connection, error)
}

// sharedConn is a connection that is being opened or is open, and is shared by the calls to a peer.
// peer.mu guards its fields, except conn and err, which are set before ready is closed and do not
// change afterwards.
type sharedConn struct {
	ready     chan struct{}
	conn      connection
	err       error
	cancel    context.CancelCauseFunc
	calls     int         // calls in flight, and those that wait for ready
	retired   bool        // not used for new calls
	idleTimer *time.Timer // runs expire; nil until the connection is without calls for the first time
}

// usable reports whether new calls may use or wait for the connection.
func (c *sharedConn) usable() bool {
	select {
	case <-c.ready:
		return c.err == nil && c.conn.usable()
	default:
		return true
	}
}

// closeWhenReady closes the connection in the background. It cancels an attempt to open it and waits
// for the attempt to end, since the connection is known only then. The caller must hold peer.mu.
func (c *sharedConn) closeWhenReady() {
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
	c.cancel(ErrReset)
	go func() {
		<-c.ready
		if c.err == nil {
			c.conn.close()
		}
	}()
}
