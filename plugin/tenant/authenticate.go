package tenant

import (
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/result"
)

// clockDriftShare is the part of the revocation time that is kept for steady clocks that
// run at different speeds: 1 in 50, far more than any does.
const clockDriftShare = 0.02

// maximumProofAge returns the age up to which the proof of a policy is good for its keys. A
// request counts as sent when the caller sent it, before it is looked at here, so that
// nothing has to be left for its way.
func maximumProofAge(revocation time.Duration) time.Duration {
	return revocation - time.Duration(clockDriftShare*float64(revocation))
}

// authenticator decides on the callers of one process.
type authenticator struct {
	policy          func() *policy.Index
	proof           func(now time.Time) (age time.Duration, known bool)
	maximumProofAge time.Duration // 0: any age is good
	writeTenant     func(header http.Header, tenant string)
}

func (a *authenticator) middleware(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(call *kernel.Call) (*kernel.Answer, error) {
		if call.External || call.ParentGuessed {
			if err := a.authenticate(call); err != nil {
				return nil, err
			}
		}
		return next.Handle(call)
	})
}

// authenticate sets the tenant of a call, and its priority by that of the tenant. It
// returns a result.KeyUnknown error for a caller without a good key and a
// result.KeysUnproven error while none can be told from one that was taken away.
func (a *authenticator) authenticate(call *kernel.Call) error {
	// Before the policy is read: a proof that comes later may be one of a newer policy.
	proof := a.readProof()
	index := a.policy()
	tenants := index.Tenants()
	tenant := tenants.Find(call.Credential)
	if !call.Policy.Public && tenants.Required() {
		if !proof.holds {
			return proof.missing(index)
		}
		if tenant == nil {
			return result.New(result.KeyUnknown, "revision %d has no tenant with the key of this request, and its route is not public", index.Revision())
		}
	}
	if tenant == nil {
		return nil
	}
	call.Tenant = tenant.Name
	a.writeTenant(call.Header, tenant.Name)
	if tenants.Ranked() {
		call.Priority = rankedPriority(call, tenant)
	}
	return nil
}

func rankedPriority(call *kernel.Call, tenant *policy.Tenant) int {
	class := call.Policy.Class
	if tenant.Class != nil {
		class = *tenant.Class
	}
	return admission.RankedPriority(int(class), int(call.Policy.Class), call.Request)
}

// proof is what is known of how new the policy is.
type proof struct {
	age   time.Duration
	known bool
	holds bool // keys may be trusted by it
}

func (a *authenticator) readProof() proof {
	if a.maximumProofAge <= 0 {
		return proof{holds: true}
	}
	age, known := a.proof(clock.Now().Time())
	return proof{age: age, known: known, holds: known && age <= a.maximumProofAge}
}

// missing is the refusal of a request with a key while no proof holds.
func (p proof) missing(index *policy.Index) error {
	return result.New(result.KeysUnproven, "it is not known whether revision %d is still in force: last proven %s ago (ever: %t)",
		index.Revision(), p.age.Round(time.Millisecond), p.known).WithUsualRetryAfter()
}
