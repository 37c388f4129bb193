package result

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRetryAfter guards against codes with a wrong wait: without a computed wait, with a
// short one and with a long one.
func TestRetryAfter(t *testing.T) {
	const short, long = time.Millisecond, 5 * time.Second
	usual := map[Code]time.Duration{
		StoreUnavailable: time.Second, Overloaded: time.Second, ShedEarly: time.Second, Draining: time.Second,
		NoNode: time.Second, ClaimUnavailable: time.Second, BackendUnreachable: time.Second, NotReady: time.Second,
		NodeRefused: time.Second, BackendRefused: time.Second, BackendLeft: time.Second, KeysUnproven: time.Second, PolicyOutdated: time.Second,
		QuotaExceeded: time.Second, RateLimited: time.Second,
	}
	for _, definition := range Table {
		t.Run(definition.Name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(RetryAfter(definition.Code, 0), usual[definition.Code])
			is.Equal(RetryAfter(definition.Code, long), long)
			minimum := short
			if definition.Code == QuotaExceeded {
				minimum = 100 * time.Millisecond
			}
			is.Equal(RetryAfter(definition.Code, short), minimum)
		})
	}
}

func TestSpreadWait(t *testing.T) {
	is := is.New(t)
	is.Equal(SpreadWait(time.Second, 0), time.Second)
	is.Equal(SpreadWait(time.Second, 0.5), 1250*time.Millisecond)
	is.Equal(SpreadWait(0, 0.5), time.Duration(0))
}
