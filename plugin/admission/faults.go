package admission

import (
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/balance"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
)

// faults is the share of requests that the back end failed by itself lately.
type faults struct {
	mutex sync.Mutex
	share balance.DecayingShare
}

func (f *faults) learn(now time.Time, failed bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.share.Learn(now, balance.FaultHalfLife, failed)
}

func (f *faults) at(now time.Time) float64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.share.At(now, balance.FaultHalfLife)
}

// isFault reports whether an error of a request that was handed to the back end is the
// back end's own fault: its answer was lost or is none.
func isFault(err error) bool { return result.From(err).Code.Conclusion().BackEndFault }

// isOwnFailure reports whether an answer is a failure of the back end itself, rather
// than one that follows from a call of its own.
func isOwnFailure(call *kernel.Call, answer *kernel.Answer) bool {
	return answer.Failed() && !call.Execution.CallFailed()
}
