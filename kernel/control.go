package kernel

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/transport/checkedconn"
	"github.com/loomcleat/loomcleat/transport/socket"
)

// ControlClient sends control messages to other processes over kratos HTTP clients that
// share a connection pool. Each client has one fixed address; the discovery and node
// selection of kratos are not used.
type ControlClient struct {
	mutex     sync.Mutex
	transport *http.Transport
	clients   map[string]*kratoshttp.Client
	counters  *Counters
}

const (
	maximumControlClients = 2048
	controlDialTimeout    = time.Second
	controlIdleTimeout    = 300 * time.Millisecond
	controlIdleConns      = 16
)

// NewControlClient returns a client with a connection pool of its own, for frequent
// messages to the same process. It closes connections that are idle for longer than idle.
func (p *Process) NewControlClient(idle time.Duration) *ControlClient {
	return newControlClient(&p.Counters, p.Dial, idle)
}

func newControlClient(counters *Counters, dial DialFunc, idle time.Duration) *ControlClient {
	if dial == nil {
		dial = socket.Dialer{Timeout: controlDialTimeout}.DialContext
	}
	dialChecked := checkedconn.Dial(dial)
	return &ControlClient{
		counters: counters,
		clients:  map[string]*kratoshttp.Client{},
		transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialChecked(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return controlConn{Conn: conn, counters: counters}, nil
			},
			DisableCompression:  true,
			MaxIdleConns:        controlIdleConns,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     idle,
		},
	}
}

// boundedTransport bounds the length of answers to control messages, which kratos reads whole.
type boundedTransport struct {
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t boundedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	answer, err := t.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	answer.Body = http.MaxBytesReader(nil, answer.Body, maximumControlBody)
	return answer, nil
}

// client returns the client of an address. When the table is full, it is cleared first.
func (c *ControlClient) client(address string) (*kratoshttp.Client, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if known, exists := c.clients[address]; exists {
		return known, nil
	}
	created, err := kratoshttp.NewClient(context.Background(),
		kratoshttp.WithEndpoint(address), kratoshttp.WithTransport(boundedTransport{next: c.transport}), kratoshttp.WithTimeout(0))
	if err != nil {
		return nil, result.Wrap(result.NodeUnreachable, err, "control address %s", address)
	}
	if len(c.clients) >= maximumControlClients {
		clear(c.clients)
	}
	c.clients[address] = created
	return created, nil
}

// Invoke sends a control message and decodes the answer into reply. It returns a
// result.NodeUnreachable error on failure.
func (c *ControlClient) Invoke(ctx context.Context, address, method, path string, message, reply any) error {
	client, err := c.client(address)
	if err != nil {
		return err
	}
	c.counters.ControlMessages.Add(1)
	if err := client.Invoke(ctx, method, path, message, reply); err != nil {
		return result.Wrap(result.NodeUnreachable, err, "control message to %s", address)
	}
	return nil
}

// Close closes idle connections.
func (c *ControlClient) Close() { c.transport.CloseIdleConnections() }
