package consulkv

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/store"
)

// pair is a row of GET /v1/kv.
type pair struct {
	Key         string
	Value       []byte // base64 in JSON
	ModifyIndex uint64
	Session     string
}

func keyPath(key string, query url.Values) string {
	target := "/v1/kv/" + (&url.URL{Path: key}).EscapedPath()
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	return target
}

func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	return c.read(ctx, key, url.Values{"consistent": {""}}, 0)
}

// Watch implements store.Store with a blocking query.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (store.Entry, error) {
	query := url.Values{
		"index": {strconv.FormatUint(after, 10)},
		"wait":  {fmt.Sprintf("%dms", wait.Milliseconds())},
	}
	// Consul adds a random time of up to a sixteenth to the wait.
	return c.read(ctx, key, query, wait+wait/16)
}

func (c *Client) read(ctx context.Context, key string, query url.Values, extra time.Duration) (store.Entry, error) {
	got, err := c.do(ctx, http.MethodGet, keyPath(key, query), nil, extra)
	if err != nil {
		return store.Entry{}, err
	}
	position, err := strconv.ParseUint(got.header.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return store.Entry{}, result.Wrap(result.StoreUnavailable, err, "the store's answer has no valid X-Consul-Index header")
	}
	if got.status == http.StatusNotFound {
		return store.Entry{WatchPosition: position}, nil
	}
	var pairs []pair
	if err := decode(got, &pairs); err != nil {
		return store.Entry{}, err
	}
	if len(pairs) != 1 {
		return store.Entry{}, result.New(result.StoreUnavailable, "the store answered with %d rows for one key", len(pairs))
	}
	return store.Entry{Value: pairs[0].Value, Index: pairs[0].ModifyIndex, Exists: true, WatchPosition: position}, nil
}

func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	return c.write(ctx, keyPath(key, url.Values{"cas": {strconv.FormatUint(index, 10)}}), value)
}

// write sends a PUT whose answer is "true" or "false".
func (c *Client) write(ctx context.Context, target string, value []byte) (bool, error) {
	got, err := c.do(ctx, http.MethodPut, target, value, 0)
	if err != nil {
		return false, err
	}
	switch string(bytes.TrimSpace(got.body)) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, result.New(result.EditOutcomeUnknown, "unexpected answer to a write, which may have taken effect")
	}
}

// lease is a Consul session that holds one key.
type lease struct {
	client  *Client
	session string
	key     string
}

// sessionRequest is the body of PUT /v1/session/create.
type sessionRequest struct {
	Name      string
	TTL       string
	LockDelay string
	Behavior  string
}

// sessionAnswer is the answer to PUT /v1/session/create.
type sessionAnswer struct {
	ID string
}

// AcquireLease implements store.Store with a session that has a TTL. The key is deleted
// when the session ends.
func (c *Client) AcquireLease(ctx context.Context, name, holder string, ttl time.Duration) (store.Lease, bool, error) {
	body, err := json.Marshal(sessionRequest{Name: holder, TTL: ttl.String(), LockDelay: "0s", Behavior: "delete"})
	if err != nil {
		return nil, false, result.Wrap(result.Internal, err, "encoding a session request")
	}
	got, err := c.do(ctx, http.MethodPut, "/v1/session/create", body, 0)
	if err != nil {
		return nil, false, err
	}
	var created sessionAnswer
	if err := decode(got, &created); err != nil {
		return nil, false, err
	}
	held := &lease{client: c, session: created.ID, key: name}
	acquired, err := c.write(ctx, keyPath(name, url.Values{"acquire": {created.ID}}), []byte(holder))
	if err != nil || !acquired {
		_ = held.Release(ctx) // if this fails, the session expires by itself
		return nil, false, err
	}
	return held, true, nil
}

func (l *lease) Renew(ctx context.Context) (bool, error) {
	got, err := l.client.do(ctx, http.MethodPut, "/v1/session/renew/"+l.session, nil, 0)
	if err != nil {
		return false, err
	}
	return got.status != http.StatusNotFound, nil
}

func (l *lease) Release(ctx context.Context) error {
	_, err := l.client.do(ctx, http.MethodPut, "/v1/session/destroy/"+l.session, nil, 0)
	return err
}
