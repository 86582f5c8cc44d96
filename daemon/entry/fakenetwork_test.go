package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// fault is a kind of failure of a call. The calling side sees a broken connection.
type fault int

const (
	// lostRequest: the peer does not receive the request.
	lostRequest fault = iota
	// lostResponse: the peer handles the request, but its response is lost.
	lostResponse
	// lateRequest: the peer handles the request only after the call has failed.
	lateRequest
)

// network is an in-memory transport that delivers calls to the handlers of its peers and
// injects faults.
type network struct {
	mu        sync.Mutex
	peers     map[string]http.Handler
	faults    map[string][]fault
	lateDelay time.Duration
}

// injectFaults makes the next calls of the method at addr fail, one call for each fault.
func (n *network) injectFaults(addr, method string, f ...fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[addr+method] = append(n.faults[addr+method], f...)
}

// disconnect makes all later calls to addr fail.
func (n *network) disconnect(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.peers, addr)
}

// nextFault returns the handler of the called peer, and the fault of this call if there is one.
func (n *network) nextFault(r *http.Request) (http.Handler, fault, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := r.URL.Host + r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
	h := n.peers[r.URL.Host]
	if f := n.faults[k]; len(f) > 0 {
		n.faults[k] = f[1:]
		return h, f[0], true
	}
	return h, 0, false
}

var errBroken = errors.New("connection broke")

// RoundTrip implements http.RoundTripper.
func (n *network) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	h, f, faulty := n.nextFault(r)
	if h == nil || faulty && f == lostRequest {
		return nil, errBroken
	}
	if faulty && f == lateRequest {
		time.AfterFunc(n.lateDelay, func() { serve(h, r.Clone(context.Background()), body) })
		return nil, errBroken
	}
	done := make(chan *http.Response, 1)
	go func() { done <- serve(h, r, body) }()
	select {
	case resp := <-done:
		if faulty {
			return nil, errBroken
		}
		return resp, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

func serve(h http.Handler, r *http.Request, body []byte) *http.Response {
	r = r.Clone(r.Context())
	r.Body = io.NopCloser(bytes.NewReader(body))
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result()
}

func (n *network) HTTP(string) *http.Client { return &http.Client{Transport: n} }
func (n *network) Reset(string)             {}
func (n *network) Close()                   {}
