package transport

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"poplargw.example/daemon/pki"
)

// forEachKind runs a test once for each transport kind.
func forEachKind(t *testing.T, f func(t *testing.T, kind string)) {
	for _, kind := range kinds {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			f(t, kind)
		})
	}
}

// testTLS returns a TLS configuration with a new CA and certificate for 127.0.0.1.
func testTLS(t testing.TB) *tls.Config {
	t.Helper()
	set, err := pki.New(time.Now(), []net.IP{net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	cert, ca, err := set.Pair()
	if err != nil {
		t.Fatal(err)
	}
	return MutualTLS(cert, ca)
}

func startServer(t testing.TB, kind string, conf *tls.Config, h http.Handler) Server {
	t.Helper()
	s, err := NewServer(kind, "127.0.0.1:0", conf, h)
	if err != nil {
		t.Fatal(err)
	}
	serve(t, s)
	return s
}

// startHoldingServer starts a server that answers a call with the remote address that it sees. It answers a call with
// the body "wait" only once release is closed, and closes started when that call arrives.
func startHoldingServer(t testing.TB, kind string, conf *tls.Config) (s Server, started <-chan struct{}, release chan struct{}) {
	t.Helper()
	arrived := make(chan struct{})
	release = make(chan struct{})
	s = startServer(t, kind, conf, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if string(body) == "wait" {
			close(arrived)
			<-release
		}
		_, _ = io.WriteString(w, r.RemoteAddr)
	}))
	return s, arrived, release
}

// serve runs s until the end of the test.
func serve(t testing.TB, s Server) {
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
		if err := <-done; err != nil {
			t.Errorf("Serve returned %v after Shutdown", err)
		}
	})
}

func newTestClient(t testing.TB, kind string, conf *tls.Config) Client {
	t.Helper()
	c, err := NewClient(kind, conf, testDeadPeerLimit)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// post makes one call with c and returns the response body.
func post(ctx context.Context, c Client, addr, body string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+addr+"/", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	resp, err := c.HTTP(addr).Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return string(answer), err
}

// postAsync makes one call with c in a goroutine and returns a channel that gets its error.
func postAsync(t testing.TB, c Client, addr, body string) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := post(t.Context(), c, addr, body)
		done <- err
	}()
	return done
}

// echoRemoteAddr responds with the client's address, which identifies the connection.
func echoRemoteAddr(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, r.RemoteAddr)
}
