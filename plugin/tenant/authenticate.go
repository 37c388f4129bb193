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

// clockDriftShare is the share of the revocation time that is reserved for processes whose
// clocks run at different speeds. It is far above the drift of any real clock.
const clockDriftShare = 0.02

// maximumProofAge returns the age up to which the proof of a policy is valid for its keys. The
// revocation time limits when a caller may send a request, which is before the proof is checked, so
// no time is reserved for the network.
func maximumProofAge(revocation time.Duration) time.Duration {
	return revocation - time.Duration(clockDriftShare*float64(revocation))
}

// authenticator authenticates the callers of one process.
type authenticator struct {
	policy func() *policy.Index
	proof  func(now time.Time) (age time.Duration, known bool)
	// Whether a newer policy than the given revision may exist, which may have more keys.
	mayBeOutdated func(revision uint64) bool
	// Age up to which a proof is valid, 0 for no proof needed.
	maximumProofAge time.Duration
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

// authenticate sets the tenant of a call and its priority. On a route that needs a key, it returns a
// result.KeyUnknown error if the caller has no valid key, a result.KeysUnproven error if the
// policy is not proven, so that a valid key can't be told from a revoked one, and a
// result.PolicyOutdated error if a newer policy may have the key.
func (a *authenticator) authenticate(call *kernel.Call) error {
	// The proof must be read before the policy: a later proof might be that of a newer policy.
	proof := a.readProof()
	index := a.policy()
	tenants := index.Tenants()
	tenant := tenants.Find(call.Credential)
	if !call.Policy.Public && tenants.Required() {
		if !proof.valid {
			return proof.refusal(index)
		}
		if tenant == nil {
			return a.keyUnknown(call, index.Revision())
		}
	}
	if tenant == nil {
		return nil
	}
	call.Tenant = tenant.Name
	a.writeTenant(call.Header, tenant.Name)
	if tenants.ClassesDiffer() {
		call.Priority = rankedPriority(call, tenant)
	}
	return nil
}

// keyUnknown returns the error for a request without a key of a revision. Callers take
// result.KeyUnknown for final and don't try again.
func (a *authenticator) keyUnknown(call *kernel.Call, revision uint64) error {
	if call.Credential != "" && a.mayBeOutdated(revision) {
		return result.New(result.PolicyOutdated, "revision %d, which may not be the newest one, has no tenant with the key of this request", revision).WithUsualRetryAfter()
	}
	return result.New(result.KeyUnknown, "revision %d has no tenant with the key of this request, and its route is not public", revision)
}

// rankedPriority returns the priority of a call by the class of its tenant and then that of its
// route. A tenant without a class has that of the route.
func rankedPriority(call *kernel.Call, tenant *policy.Tenant) int {
	class := call.Policy.Class
	if tenant.Class != nil {
		class = *tenant.Class
	}
	return admission.RankedPriority(int(class), int(call.Policy.Class), call.UserRequest)
}

// proof is the proof that the policy was the newest one some time ago.
type proof struct {
	age   time.Duration
	known bool
	// Whether the proof is recent enough to trust the keys of the policy.
	valid bool
}

func (a *authenticator) readProof() proof {
	if a.maximumProofAge <= 0 {
		return proof{valid: true}
	}
	age, known := a.proof(clock.Now().Time())
	return proof{age: age, known: known, valid: known && age <= a.maximumProofAge}
}

// refusal returns the error for requests that need a key while the proof is not valid.
func (p proof) refusal(index *policy.Index) error {
	return result.New(result.KeysUnproven, "it is not known whether revision %d is still in force: last proven %s ago (ever: %t)",
		index.Revision(), p.age.Round(time.Millisecond), p.known).WithUsualRetryAfter()
}
