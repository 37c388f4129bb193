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

// TestUnknownLengthBodyFailsAtLimit guards against a truncated body that looks complete.
func TestUnknownLengthBodyFailsAtLimit(t *testing.T) {
	is := is.New(t)
	r := httptest.NewRequest(http.MethodPost, "/x", io.NopCloser(strings.NewReader("eleven byte")))
	r.ContentLength = -1
	is.NoErr(checkLimits(r, policy.Limits{MaximumBody: 10}))
	_, err := io.ReadAll(r.Body)
	is.True(err != nil)
}
