package store

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// The paths of the store's HTTP protocol. Values are raw bodies of at most MaxValue bytes; the
// revision of a key is its entity tag, for example ETag: "7".
//
//	GET /v1/keys/KEY                       200 value, 404 no value
//	GET /v1/keys/KEY?wait=SECONDS          with If-None-Match: "7" waits for another revision:
//	                                       200 value, 304 unchanged, 404 no value
//	PUT /v1/keys/KEY  If-Match: "7"        200 written, 412 different revision
//	PUT /v1/keys/KEY  If-None-Match: *     200 written, 412 key exists
//	PUT /v1/leases/KEY?ttl=MILLISECONDS    204 written or renewed
//
// 413 means that the value is too large. Any other status means that the store is unavailable.
const (
	keysPath   = "/v1/keys/"
	leasesPath = "/v1/leases/"
)

// HTTP is a Store that calls a server over HTTP.
type HTTP struct {
	base    string
	client  *http.Client
	timeout time.Duration
}

// NewHTTP returns a client for the store at the base URL. Each call except Watch ends
// within the timeout. The client never repeats a write.
func NewHTTP(base string, timeout time.Duration) *HTTP {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.ForceAttemptHTTP2 = false
	return &HTTP{base: strings.TrimRight(base, "/"), client: &http.Client{Transport: t}, timeout: timeout}
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Item, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	return h.do(ctx, http.MethodGet, keysPath+url.PathEscape(key), key, nil, nil)
}

// CompareAndSwap implements Store.
func (h *HTTP) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) (Item, error) {
	if len(value) > MaxValue {
		return Item{}, ErrTooLarge
	}
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	header := http.Header{"If-Match": {formatETag(revision)}}
	if revision == 0 {
		header = http.Header{"If-None-Match": {"*"}}
	}
	return h.do(ctx, http.MethodPut, keysPath+url.PathEscape(key), key, value, header)
}

// Watch implements Store. It waits at most DefaultWatchLimit.
func (h *HTTP) Watch(ctx context.Context, key string, revision uint64) (Item, error) {
	// The call may take longer than the wait, so that the server's response at the wait limit arrives.
	ctx, cancel := context.WithTimeout(ctx, DefaultWatchLimit+h.timeout)
	defer cancel()
	path := fmt.Sprintf("%s%s?wait=%d", keysPath, url.PathEscape(key), int(DefaultWatchLimit.Seconds()))
	item, err := h.do(ctx, http.MethodGet, path, key, nil, http.Header{"If-None-Match": {formatETag(revision)}})
	return item, err
}

// Lease implements Store.
func (h *HTTP) Lease(ctx context.Context, key string, value []byte, ttl time.Duration) error {
	if len(value) > MaxValue {
		return ErrTooLarge
	}
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	path := fmt.Sprintf("%s%s?ttl=%d", leasesPath, url.PathEscape(key), ttl.Milliseconds())
	_, err := h.do(ctx, http.MethodPut, path, key, value, nil)
	return err
}

// do sends a request and returns the item in the response. Any failure to get a complete response is
// ErrUnavailable (wrapped).
func (h *HTTP) do(ctx context.Context, method, path, key string, value []byte, header http.Header) (Item, error) {
	req, err := h.request(ctx, method, path, value, header)
	if err != nil {
		return Item{}, err
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return Item{}, unavailable(err.Error())
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxValue+1))
	if err != nil || len(body) > MaxValue {
		return Item{}, unavailable("response is incomplete or too large")
	}
	return decodeResponse(resp, key, method, value, body)
}

// request builds a request. Only a PUT has a body, which is the value.
func (h *HTTP) request(ctx context.Context, method, path string, value []byte, header http.Header) (*http.Request, error) {
	var body io.Reader
	if method == http.MethodPut {
		body = bytes.NewReader(value)
	}
	req, err := http.NewRequestWithContext(ctx, method, h.base+path, body)
	if err != nil {
		return nil, fmt.Errorf("store: build request: %w", err)
	}
	// net/http uses GetBody to send a request again on a new connection. Without it no write is repeated.
	req.GetBody = nil
	for k, v := range header {
		req.Header[k] = v
	}
	return req, nil
}

// decodeResponse maps a response to an item or an error.
func decodeResponse(resp *http.Response, key, method string, value, body []byte) (Item, error) {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNoContent:
		return Item{}, nil
	case http.StatusNotFound:
		return Item{}, ErrNotFound
	case http.StatusPreconditionFailed:
		return Item{}, ErrConflict
	case http.StatusRequestEntityTooLarge:
		return Item{}, ErrTooLarge
	case http.StatusNotModified:
		return Item{}, ErrNotModified
	default:
		return Item{}, unavailable(resp.Status)
	}
	revision, err := parseETag(resp.Header.Get("ETag"))
	if err != nil {
		return Item{}, unavailable(err.Error())
	}
	if method == http.MethodPut {
		body = value
	}
	return Item{Key: key, Value: body, Revision: revision}, nil
}

// formatETag formats a revision as an entity tag.
func formatETag(revision uint64) string { return `"` + strconv.FormatUint(revision, 10) + `"` }

// parseETag returns the revision in an entity tag.
func parseETag(s string) (uint64, error) {
	revision, err := strconv.ParseUint(strings.Trim(s, `"`), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("entity tag %q is not a revision", s)
	}
	return revision, nil
}
