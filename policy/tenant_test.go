package policy

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/result"
)

func TestInvalidTenantsAreRejected(t *testing.T) {
	key, other := DigestKey("key"), DigestKey("other")
	cases := map[string]struct {
		tenants []Tenant
		wants   string
	}{
		"a key of two tenants": {[]Tenant{{Name: "a", Keys: []KeyDigest{key}}, {Name: "b", Keys: []KeyDigest{other, key}}}, `tenants[1]: "b": keys[1] is held by "a"`},
		"an empty key":         {[]Tenant{{Name: "a", Keys: []KeyDigest{DigestKey("")}}}, `tenants[0]: "a": keys[0] is empty`},
		"no name":              {[]Tenant{{Name: "a"}, {}}, "tenants[1]: it has no name"},
		"a name given twice":   {[]Tenant{{Name: "a"}, {Name: "a"}}, `tenants[1]: the name "a" is given twice`},
		"a negative rate":      {[]Tenant{{Name: "a", Quota: Quota{Rate: -1}}}, "negative"},
		"a negative burst":     {[]Tenant{{Name: "a", Quota: Quota{Rate: 1, Burst: -1}}}, "negative"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			document := Document{Revision: 1, Tenants: c.tenants}
			err := document.Check()
			is.Equal(result.From(err).Code, result.PolicyInvalid)
			is.True(strings.Contains(err.Error(), c.wants))
		})
	}
}

func TestFindTenantByKey(t *testing.T) {
	is := is.New(t)
	class := Critical
	document := &Document{Revision: 3, KeysRequired: true, Tenants: []Tenant{
		{Name: "a", Keys: []KeyDigest{DigestKey("one"), DigestKey("two")}, Class: &class},
		{Name: "b"}, // has no keys
		{Name: "c", Keys: []KeyDigest{DigestKey("three")}, Quota: Quota{Rate: 2, Burst: 5}},
	}}
	data, err := document.Encode()
	is.NoErr(err)
	read, err := Decode(data)
	is.NoErr(err)
	tenants := NewIndex(read).Tenants()
	is.True(tenants.Required())
	is.Equal(tenants.Find("two").Name, "a")
	is.Equal(*tenants.Find("one").Class, Critical)
	is.Equal(tenants.Find("three").Quota, Quota{Rate: 2, Burst: 5})
	is.Equal(tenants.Find("four"), nil)
	is.Equal(tenants.Find(""), nil)
	is.Equal(len(tenants.List()), 3)
	is.True(!NewIndex(nil).Tenants().Required())
}

// A key entered by mistake in place of its digest must not appear in the error.
func TestInvalidDigestIsNotInError(t *testing.T) {
	for _, text := range []string{"secret", strings.Repeat("secretsecret----", 4)} {
		is := is.New(t)
		var digest KeyDigest
		err := json.Unmarshal([]byte(`"`+text+`"`), &digest)
		is.True(err != nil)
		is.True(!strings.Contains(err.Error(), "secret"))
	}
}

func BenchmarkFindTenant(b *testing.B) {
	for _, count := range []int{84, 10000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			tenants := newTenantTable(manyTenants(count))
			b.ReportAllocs()
			for b.Loop() {
				if tenants.Find("key-of-tenant-17") == nil {
					b.Fatal("tenant of key-of-tenant-17 not found")
				}
			}
		})
	}
}

// BenchmarkAdoptTenants measures decoding and indexing a new document with many tenants.
func BenchmarkAdoptTenants(b *testing.B) {
	data, err := manyTenants(10000).Encode()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		document, err := Decode(data)
		if err != nil {
			b.Fatal(err)
		}
		NewIndex(document)
	}
}

func manyTenants(count int) *Document {
	document := &Document{Revision: 1, KeysRequired: true}
	for i := range count {
		document.Tenants = append(document.Tenants, Tenant{
			Name:  fmt.Sprintf("tenant-%d", i),
			Keys:  []KeyDigest{DigestKey(fmt.Sprintf("key-of-tenant-%d", i))},
			Quota: Quota{Rate: 10, Burst: 10},
		})
	}
	return document
}
