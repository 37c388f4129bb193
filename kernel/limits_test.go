package kernel

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/result"
)

func TestRequestLimits(t *testing.T) {
	limits := policy.Limits{MaximumHeader: 100, MaximumBody: 10}
	for name, c := range map[string]struct {
		limits policy.Limits
		header int
		body   int
		want   result.Code // 0 when accepted
		status int
	}{
		"within both":   {limits, 50, 10, 0, 0},
		"a long header": {limits, 200, 1, result.HeaderTooLarge, http.StatusRequestHeaderFieldsTooLarge},
		"a long body":   {limits, 1, 11, result.BodyTooLarge, http.StatusRequestEntityTooLarge},
		"no limits":     {policy.Limits{}, 5000, 5000, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(strings.Repeat("b", c.body)))
			r.Header.Set("Padding", strings.Repeat("h", c.header))
			err := checkLimits(r, c.limits)
			if c.want == 0 {
				is.NoErr(err)
				return
			}
			is.Equal(result.From(err).Code, c.want)
			is.Equal(result.From(err).Status(), c.status)
			is.True(result.From(err).NotRun())
		})
	}
}

// TestCallerLearnsThatBodyIsTooLarge guards against a caller that sends a body again since its connection seems to
// have broken: its length was not known, and it turned out to be too large.
func TestCallerLearnsThatBodyIsTooLarge(t *testing.T) {
	is := is.New(t)
	for length, want := range map[int]result.Code{10: result.ConnectionLost, 11: result.BodyTooLarge} {
		r := httptest.NewRequest(http.MethodPost, "/x", io.NopCloser(strings.NewReader(strings.Repeat("b", length))))
		r.ContentLength = -1
		is.NoErr(checkLimits(r, policy.Limits{MaximumBody: 10}))
		body, err := newBody(r)
		is.NoErr(err)
		stream, _ := body.Open()
		_, _ = io.Copy(io.Discard, stream)
		failed := result.From(body.causeOf(result.New(result.ConnectionLost, "the connection broke")))
		is.Equal(failed.Code, want)
		is.True(!failed.NotRun()) // a part of it may have run
		is.NoErr(body.causeOf(nil))
	}
}

// TestUnknownLengthBodyFailsAtLimit guards against a truncated body that looks complete.
func TestUnknownLengthBodyFailsAtLimit(t *testing.T) {
	is := is.New(t)
	r := httptest.NewRequest(http.MethodPost, "/x", io.NopCloser(strings.NewReader("eleven byte")))
	r.ContentLength = -1
	is.NoErr(checkLimits(r, policy.Limits{MaximumBody: 10}))
	_, err := io.ReadAll(r.Body)
	is.True(err != nil)
}
