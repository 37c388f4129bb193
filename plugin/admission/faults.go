package admission

import (
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/balance"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
)

// faults tracks the share of recent requests that failed because of the back end itself.
type faults struct {
	mutex sync.Mutex
	share balance.DecayingShare
}

func (f *faults) record(now time.Time, failed bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.share.Observe(now, balance.FaultHalfLife, failed)
}

func (f *faults) at(now time.Time) float64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.share.At(now, balance.FaultHalfLife)
}

// isFault reports whether an error is the back end's own fault: the answer to a request that
// the back end had received was lost or is invalid.
func isFault(err error) bool { return result.From(err).Code.Conclusion().BackEndFault }

// isOwnFailure reports whether an answer is a failure of the back end itself. It is not if a
// call that the back end made for the request failed.
func isOwnFailure(call *kernel.Call, answer *kernel.Answer) bool {
	return answer.Failed() && !call.Execution.CallFailed()
}
