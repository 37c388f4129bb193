package identity

import (
	"net/http"
	"net/url"
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/wire"
)

// callFields holds the fields of a call that its claim key depends on.
type callFields struct {
	service, path, key, credentials, userRequest, tenant string
	fingerprint                                          uint64
	execution                                            *kernel.Execution
}

// keyOf returns the claim key of a call.
func keyOf(f callFields) string {
	call := &kernel.Call{
		Service: f.service, Method: http.MethodPost, URL: &url.URL{Path: f.path}, Header: http.Header{},
		Body: kernel.NewBufferedBody(nil), UserRequest: f.userRequest, Fingerprint: f.fingerprint, Execution: f.execution, Tenant: f.tenant,
	}
	if f.key != "" {
		call.Header.Set(wire.HeaderIdempotencyKey, f.key)
	}
	if f.credentials != "" {
		call.Header.Set("Authorization", f.credentials)
	}
	identify(call)
	return call.ClaimKey.String()
}

// TestClaimKey checks which calls get the same claim key.
func TestClaimKey(t *testing.T) {
	base := callFields{service: "pay", path: "/x", key: "k", userRequest: "r1"}
	with := func(change func(*callFields)) callFields {
		changed := base
		change(&changed)
		return changed
	}
	cases := []struct {
		name string
		a, b callFields
		same bool
	}{
		{"the same key", base, with(func(f *callFields) { f.userRequest = "r2" }), true},
		{"another key", base, with(func(f *callFields) { f.key = "other" }), false},
		{"another service", base, with(func(f *callFields) { f.service = "other" }), false},
		{"another target", base, with(func(f *callFields) { f.path = "/y" }), false},
		{"other credentials", base, with(func(f *callFields) { f.credentials = "other" }), false},
		{"another tenant", base, with(func(f *callFields) { f.tenant = "other" }), false},
		{"another body, which the fingerprint detects later", base, with(func(f *callFields) { f.fingerprint = 7 }), true},
		{"no key, the same user request", with(func(f *callFields) { f.key = "" }), with(func(f *callFields) { f.key = "" }), true},
		{"no key, another user request", with(func(f *callFields) { f.key = "" }), with(func(f *callFields) { f.key, f.userRequest = "", "r2" }), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(keyOf(c.a) == keyOf(c.b), c.same)
		})
	}
}

// TestClaimKeysOfRepeatedExecution guards against calls of one execution that share a claim key, and
// against other claim keys when the execution is repeated.
func TestClaimKeysOfRepeatedExecution(t *testing.T) {
	is := is.New(t)
	keys := func(identity string) []string {
		execution := &kernel.Execution{Identity: identity}
		list := []string{}
		for _, fingerprint := range []uint64{1, 1, 2} {
			list = append(list, keyOf(callFields{service: "pay", path: "/x", fingerprint: fingerprint, execution: execution}))
		}
		return list
	}
	first, again, other := keys("one"), keys("one"), keys("two")
	is.Equal(first, again)
	is.True(first[0] != first[1] && first[1] != first[2])
	is.True(first[0] != other[0])
}
