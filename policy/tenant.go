package policy

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/loomcleat/loomcleat/result"
)

// Tenant is a customer of the operators. Its callers present one of its API keys with
// each request.
type Tenant struct {
	// Name identifies the tenant to back ends, in logs and in metrics.
	Name string `json:"name"`
	// Keys lists the digests of its API keys. Without keys, no request can belong to
	// the tenant.
	Keys []KeyDigest `json:"keys,omitempty"`
	// Class is the importance of its requests and takes precedence over the class of
	// the route. Nil: the class of the route applies.
	Class *Class `json:"class,omitempty"`
	// Quota bounds its requests in the whole mesh.
	Quota Quota `json:"quota,omitzero"`
}

// Quota bounds the requests of a tenant, over all processes together.
type Quota struct {
	// Rate is in requests per second. 0: no bound.
	Rate float64 `json:"rate,omitempty"`
	// Burst is the number of requests allowed at once in excess of the rate.
	Burst float64 `json:"burst,omitempty"`
}

// Bounded reports whether the quota bounds requests.
func (q Quota) Bounded() bool { return q.Rate > 0 }

// KeyDigest is the SHA-256 digest of an API key. Keys are secrets: documents, messages
// and logs contain only digests, from which a key cannot be recovered.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// MarshalText implements encoding.TextMarshaler. The text is hexadecimal.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, d[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It returns a result.PolicyInvalid
// error for a text that is not a digest. The error does not quote the text, which may be
// a key entered by mistake.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return result.New(result.PolicyInvalid, "a key digest has %d hexadecimal digits, not %d", hex.EncodedLen(len(d)), len(text))
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return result.New(result.PolicyInvalid, "a key digest has digits that are not hexadecimal")
	}
	return nil
}

// emptyKeyDigest is rejected as a tenant's key.
var emptyKeyDigest = DigestKey("")

// checkTenants returns a result.PolicyInvalid error for a missing or duplicate name, an
// empty key, a key of two tenants or a negative quota.
func checkTenants(tenants []Tenant) error {
	names := make(map[string]bool, len(tenants))
	owners := make(map[KeyDigest]string, len(tenants))
	for i := range tenants {
		tenant := &tenants[i]
		switch {
		case tenant.Name == "":
			return result.New(result.PolicyInvalid, "tenants[%d]: it has no name", i)
		case names[tenant.Name]:
			return result.New(result.PolicyInvalid, "tenants[%d]: the name %q is given twice", i, tenant.Name)
		case tenant.Quota.Rate < 0 || tenant.Quota.Burst < 0:
			return result.New(result.PolicyInvalid, "tenants[%d]: %q: the rate or the burst is negative", i, tenant.Name)
		}
		names[tenant.Name] = true
		for number, key := range tenant.Keys {
			owner, taken := owners[key]
			switch {
			case key == emptyKeyDigest:
				return result.New(result.PolicyInvalid, "tenants[%d]: %q: keys[%d] is empty", i, tenant.Name, number)
			case taken && owner != tenant.Name:
				return result.New(result.PolicyInvalid, "tenants[%d]: %q: keys[%d] is held by %q as well", i, tenant.Name, number, owner)
			}
			owners[key] = tenant.Name
		}
	}
	return nil
}

// TenantTable finds the tenant of a key in constant time. It is immutable and safe for
// concurrent use.
type TenantTable struct {
	required      bool
	classesDiffer bool
	byKey         map[KeyDigest]*Tenant
	list          []Tenant
}

func newTenantTable(document *Document) *TenantTable {
	table := &TenantTable{
		required: document.KeysRequired,
		byKey:    make(map[KeyDigest]*Tenant, len(document.Tenants)),
		list:     document.Tenants,
	}
	for i := range document.Tenants {
		tenant := &document.Tenants[i]
		table.classesDiffer = table.classesDiffer || !sameClass(tenant.Class, document.Tenants[0].Class)
		for _, key := range tenant.Keys {
			table.byKey[key] = tenant
		}
	}
	return table
}

func sameClass(a, b *Class) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// ClassesDiffer reports whether tenants differ in class. If they do not, requests are ordered by
// the class of the route alone.
func (t *TenantTable) ClassesDiffer() bool { return t.classesDiffer }

// Required reports whether callers must present a key on routes that are not public.
func (t *TenantTable) Required() bool { return t.required }

// Find returns the tenant that holds a key, or nil.
func (t *TenantTable) Find(key string) *Tenant {
	if key == "" {
		return nil
	}
	return t.byKey[DigestKey(key)]
}

// List returns the tenants in the order of the document. The caller must not change the
// slice.
func (t *TenantTable) List() []Tenant { return t.list }
