package transport

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const testDeadPeerLimit = 2 * time.Second

var kinds = []string{KindTCP, KindQUIC}

// TestCallsShareOneConnection guards against one connection per call, and against concurrent first
// calls that each open a connection.
func TestCallsShareOneConnection(t *testing.T) {
	forEachKind(t, func(t *testing.T, kind string) {
		conf := testTLS(t)
		s := startServer(t, kind, conf, http.HandlerFunc(echoRemoteAddr))
		c := newTestClient(t, kind, conf)
		var mu sync.Mutex
		remotes := make(map[string]int)
		var wg sync.WaitGroup
		for range 50 {
			wg.Go(func() {
				remote, err := post(t.Context(), c, s.Addr(), "x")
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					t.Error(err)
				}
				remotes[remote]++
			})
		}
		wg.Wait()
		if len(remotes) != 1 {
			t.Errorf("calls used %d connections, want 1: %v", len(remotes), remotes)
		}
	})
}

// TestResetUsesNewPortAndFailsCallsInFlight guards against a Reset that keeps the old connection or
// its local port: a middlebox that lost the flow of the port would drop the new connection too.
func TestResetUsesNewPortAndFailsCallsInFlight(t *testing.T) {
	forEachKind(t, func(t *testing.T, kind string) {
		conf := testTLS(t)
		s, started, release := startHoldingServer(t, kind, conf)
		t.Cleanup(func() { close(release) })
		c := newTestClient(t, kind, conf)
		before, err := post(t.Context(), c, s.Addr(), "")
		if err != nil {
			t.Fatal(err)
		}
		waiting := postAsync(t, c, s.Addr(), "wait")
		<-started
		c.Reset(s.Addr())
		if err := <-waiting; err == nil {
			t.Error("call in flight succeeded after Reset")
		}
		after, err := post(t.Context(), c, s.Addr(), "")
		if err != nil {
			t.Fatal(err)
		}
		if before == after {
			t.Errorf("call after Reset came from %s again", after)
		}
	})
}

// TestRepeatedResetKeepsNewConnection guards against calls that failed together and each request a
// reset, where the later resets end the retries of the earlier calls on the new connection.
func TestRepeatedResetKeepsNewConnection(t *testing.T) {
	forEachKind(t, func(t *testing.T, kind string) {
		conf := testTLS(t)
		s, started, release := startHoldingServer(t, kind, conf)
		c := newTestClient(t, kind, conf)
		c.(*client).resetGrace = time.Hour
		if _, err := post(t.Context(), c, s.Addr(), ""); err != nil {
			t.Fatal(err)
		}
		c.Reset(s.Addr())
		waiting := postAsync(t, c, s.Addr(), "wait")
		<-started
		c.Reset(s.Addr())
		close(release)
		if err := <-waiting; err != nil {
			t.Errorf("call on the new connection failed: %v", err)
		}
	})
}

// TestUntrustedPeerIsRefused guards against peers outside the system: a client without a
// certificate, a client with a certificate of another CA, and a server with a certificate of
// another CA.
func TestUntrustedPeerIsRefused(t *testing.T) {
	forEachKind(t, func(t *testing.T, kind string) {
		conf, other := testTLS(t), testTLS(t)
		var handled atomic.Int32
		s := startServer(t, kind, conf, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) }))
		anonymous := conf.Clone()
		anonymous.Certificates = nil
		otherCA := other.Clone()
		otherCA.RootCAs = conf.RootCAs
		cases := map[string]*tls.Config{"no certificate": anonymous, "other CA": otherCA, "server of other CA": other}
		for name, conf := range cases {
			if _, err := post(t.Context(), newTestClient(t, kind, conf), s.Addr(), "x"); err == nil {
				t.Errorf("%s: call succeeded", name)
			}
		}
		if n := handled.Load(); n != 0 {
			t.Errorf("%d calls of untrusted peers reached the handler", n)
		}
	})
}

// TestWrittenRequestReachesHandlerOnce guards against a retry below the caller that repeats a
// request after it was written. The handler breaks the stream after it has read the request; a
// retry would reach it a second time.
func TestWrittenRequestReachesHandlerOnce(t *testing.T) {
	forEachKind(t, func(t *testing.T, kind string) {
		conf := testTLS(t)
		var handled atomic.Int32
		s := startServer(t, kind, conf, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if handled.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
		}))
		c := newTestClient(t, kind, conf)
		if _, err := post(t.Context(), c, s.Addr(), "x"); err == nil {
			t.Error("call succeeded although its stream was aborted")
		}
		if n := handled.Load(); n != 1 {
			t.Errorf("request reached the handler %d times, want 1", n)
		}
		if _, err := post(t.Context(), c, s.Addr(), "x"); err != nil {
			t.Errorf("next call failed: %v", err)
		}
	})
}

// TestRequestIsNotRetriedOnNewConnection guards against a request that is repeated on a new
// connection after its connection was lost.
func TestRequestIsNotRetriedOnNewConnection(t *testing.T) {
	forEachKind(t, func(t *testing.T, kind string) {
		conf := testTLS(t)
		var handled atomic.Int32
		started := make(chan struct{}, 2)
		h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			handled.Add(1)
			started <- struct{}{}
			<-r.Context().Done()
		})
		s := startServer(t, kind, conf, h)
		relay := newRelay(t, kind, s.Addr())
		c := newTestClient(t, kind, conf)
		result := make(chan error, 1)
		go func() {
			_, err := post(t.Context(), c, relay.addr, "x")
			result <- err
		}()
		<-started
		relay.silence()
		if err := <-result; err == nil {
			t.Error("call succeeded over a silent connection")
		}
		if n := handled.Load(); n != 1 {
			t.Errorf("request reached the handler %d times, want 1", n)
		}
	})
}

// TestSilentConnectionFailsAndNextCallWorks guards against calls that hang forever on a silent
// connection, and against a peer that stays unreachable although new connections work.
func TestSilentConnectionFailsAndNextCallWorks(t *testing.T) {
	forEachKind(t, func(t *testing.T, kind string) {
		conf := testTLS(t)
		s := startServer(t, kind, conf, http.HandlerFunc(echoRemoteAddr))
		relay := newRelay(t, kind, s.Addr())
		c := newTestClient(t, kind, conf)
		if _, err := post(t.Context(), c, relay.addr, "x"); err != nil {
			t.Fatal(err)
		}
		relay.silence()
		begin := time.Now()
		if _, err := post(t.Context(), c, relay.addr, "x"); err == nil {
			t.Error("call succeeded over a silent connection")
		}
		if d := time.Since(begin); d > 5*testDeadPeerLimit {
			t.Errorf("call failed after %v, limit is %v", d, testDeadPeerLimit)
		}
		if _, err := post(t.Context(), c, relay.addr, "x"); err != nil {
			t.Errorf("call over a new connection failed: %v", err)
		}
	})
}

// TestIdleConnectionIsClosed guards against connections to inactive peers that stay open and send
// keep-alives forever.
func TestIdleConnectionIsClosed(t *testing.T) {
	forEachKind(t, func(t *testing.T, kind string) {
		conf := testTLS(t)
		s := startServer(t, kind, conf, http.HandlerFunc(echoRemoteAddr))
		c := newTestClient(t, kind, conf).(*client)
		c.idleTimeout = time.Millisecond
		if _, err := post(t.Context(), c, s.Addr(), "x"); err != nil {
			t.Fatal(err)
		}
		p := c.peer(s.Addr())
		for deadline := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
			p.mu.Lock()
			closed := p.current == nil
			p.mu.Unlock()
			if closed {
				break
			}
			if time.Now().After(deadline) {
				t.Fatal("connection is still open")
			}
		}
		if _, err := post(t.Context(), c, s.Addr(), "x"); err != nil {
			t.Errorf("call after the idle limit failed: %v", err)
		}
	})
}

// TestShutdownWaitsForCalls guards against a graceful stop that interrupts a call.
func TestShutdownWaitsForCalls(t *testing.T) {
	forEachKind(t, func(t *testing.T, kind string) {
		conf := testTLS(t)
		started, release := make(chan struct{}), make(chan struct{})
		s := startServer(t, kind, conf, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			close(started)
			<-release
			_, _ = io.WriteString(w, "done")
		}))
		c := newTestClient(t, kind, conf)
		type reply struct {
			answer string
			err    error
		}
		replies := make(chan reply, 1)
		go func() {
			answer, err := post(t.Context(), c, s.Addr(), "x")
			replies <- reply{answer, err}
		}()
		<-started
		stopped := make(chan error, 1)
		go func() { stopped <- s.Shutdown(context.Background()) }()
		close(release)
		if r := <-replies; r.err != nil || r.answer != "done" {
			t.Errorf("call during Shutdown returned %q, %v", r.answer, r.err)
		}
		c.Close()
		if err := <-stopped; err != nil {
			t.Errorf("Shutdown returned %v", err)
		}
	})
}

// TestPlainServerServesBothProtocols guards against gRPC clients being refused on the unencrypted
// listeners.
func TestPlainServerServesBothProtocols(t *testing.T) {
	s, err := NewPlainServer("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Proto)
	}))
	if err != nil {
		t.Fatal(err)
	}
	serve(t, s)
	for _, want := range []string{"HTTP/1.1", "HTTP/2.0"} {
		var protocols http.Protocols
		protocols.SetHTTP1(want == "HTTP/1.1")
		protocols.SetUnencryptedHTTP2(want == "HTTP/2.0")
		transport := &http.Transport{Protocols: &protocols}
		resp, err := (&http.Client{Transport: transport}).Get("http://" + s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		got, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		transport.CloseIdleConnections()
		if string(got) != want {
			t.Errorf("protocol is %s, want %s", got, want)
		}
	}
}
