package routing

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/instance"
	"github.com/loomcleat/loomcleat/ratelimit"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// TestDeclaredIsReturnedToNode guards against a process that forgets what a node has reported of its
// back end, or doesn't tell it to the process that runs there after a restart.
func TestDeclaredIsReturnedToNode(t *testing.T) {
	is := is.New(t)
	limit := ratelimit.Rate(4.8)
	limited := instance.Declared{Incarnation: "i-1@5", Limit: &limit, Leaving: true}
	received := make(chan instance.Declared, 1)
	var reported instance.Declared
	var refusal *result.Error
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- wire.ReadDeclared(r.Header)
		echoAttempt(w, r)
		wire.WriteDeclared(w.Header(), reported)
		if refusal != nil {
			refusal.WriteHTTP(w)
		}
	}))
	defer node.Close()
	r, _ := newRouter(node.Listener.Addr().String())
	send := func() instance.Declared {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if answer, err := r.handle(newCall(ctx)); err == nil {
			discardAnswer(answer)
		}
		told := <-received
		is.Equal(told.LeavingFor != nil, told.Leaving) // with the time since the node reported it
		told.LeavingFor = nil
		return told
	}

	reported = limited
	is.Equal(send(), instance.Declared{})
	is.Equal(send(), limited)
	reported, refusal = instance.Declared{}, result.New(result.BackendLeft, "restarted, and no heartbeat yet")
	is.Equal(send(), limited)
	is.Equal(send(), limited) // a refusal shows nothing of the back end
	refusal = nil
	is.Equal(send(), limited)
	is.Equal(send(), instance.Declared{}) // the back end has answered without a restriction
}

// TestRetryAfterOfNode guards against losing the fraction of a node's Retry-After, and against waits
// that make no sense.
func TestRetryAfterOfNode(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]time.Duration{
		"0.350": 350 * time.Millisecond, "2": 2 * time.Second, "": 0, "-1": 0, "NaN": 0, "Inf": 0, "1e300": 0, "soon": 0,
	} {
		is.Equal(retryAfter(http.Header{"Retry-After": {text}}), want)
	}
}
