// Package consulkv implements the interfaces of package store with the HTTP API of Consul:
// the KV store (compare-and-swap by ModifyIndex, blocking queries) for keys, sessions for
// leases and the catalog for the machine list. It owns the connections to Consul and
// caches no data. See https://developer.hashicorp.com/consul/api-docs.
package consulkv

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/store"
	"github.com/loomcleat/loomcleat/transport/checkedconn"
)

// maximumResponse is the maximum number of bytes read from one answer.
const maximumResponse = 16 << 20

// Config configures a Client.
type Config struct {
	// BaseURL of the service, such as http://127.0.0.1:8500.
	BaseURL string

	// Timeout bounds one request in addition to the caller's context. A
	// blocking query may take its wait time in addition. Default 2s.
	Timeout time.Duration
}

// Client implements store.Store and store.MachineList.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

const defaultTimeout = 2 * time.Second

// NewClient returns a Client. It does not connect.
func NewClient(config Config) *Client {
	if config.Timeout == 0 {
		config.Timeout = defaultTimeout
	}
	transport := &http.Transport{
		DialContext:         checkedconn.Dial((&net.Dialer{Timeout: config.Timeout}).DialContext),
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	return &Client{
		base:    strings.TrimSuffix(config.BaseURL, "/"),
		timeout: config.Timeout,
		http:    &http.Client{Transport: transport},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// answer is a complete answer of the service.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// do sends one request and reads the complete answer; extra is added to the timeout. It
// returns a result.EditOutcomeUnknown error if a write failed but may have taken effect.
func (c *Client) do(ctx context.Context, method, target string, body []byte, extra time.Duration) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+extra)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+target, bytes.NewReader(body))
	if err != nil {
		return answer{}, result.Wrap(result.StoreUnavailable, err, "building a request for the store")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer{}, store.UnansweredError(err, method != http.MethodGet)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maximumResponse))
	if err != nil {
		return answer{}, store.UnansweredError(err, method != http.MethodGet)
	}
	got := answer{status: response.StatusCode, header: response.Header, body: content}
	return got, statusError(method, got)
}

func statusError(method string, got answer) error {
	switch {
	case got.status < 300 || got.status == http.StatusNotFound:
		return nil
	case got.status == http.StatusTooManyRequests:
		return result.New(result.StoreUnavailable, "the store rejected a request: rate limit exceeded").WithUsualRetryAfter()
	case method != http.MethodGet && got.status != http.StatusServiceUnavailable:
		return result.New(result.EditOutcomeUnknown, "the store answered a write with status %d", got.status)
	default:
		return result.New(result.StoreUnavailable, "the store answered with status %d", got.status)
	}
}

func decode(got answer, into any) error {
	if err := json.Unmarshal(got.body, into); err != nil {
		return result.Wrap(result.StoreUnavailable, err, "decoding the store's answer")
	}
	return nil
}
