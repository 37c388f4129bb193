package quarantine

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

func TestSignatureDistinguishesRequests(t *testing.T) {
	base := Request{Method: "GET", Host: "shop.example", Target: "/a?b=c", Tenant: "smith", Body: 7}
	others := []Request{
		{Method: "POST", Host: "shop.example", Target: "/a?b=c", Tenant: "smith", Body: 7},
		{Method: "GET", Host: "shop.exampl", Target: "e/a?b=c", Tenant: "smith", Body: 7},
		{Method: "GET", Host: "shop.example", Target: "/a?b=d", Tenant: "smith", Body: 7},
		{Method: "GET", Host: "shop.example", Target: "/a?b=csmith", Tenant: "", Body: 7},
		{Method: "GET", Host: "shop.example", Target: "/a?b=c", Tenant: "jones", Body: 7},
		{Method: "GET", Host: "shop.example", Target: "/a?b=c", Tenant: "smith", Body: 8},
	}
	is := is.New(t)
	is.Equal(SignatureOf(base), SignatureOf(base))
	for _, other := range others {
		is.True(SignatureOf(other) != SignatureOf(base))
	}
}

func TestSignatureText(t *testing.T) {
	is := is.New(t)
	signature := SignatureOf(Request{Method: "GET"})
	data, err := json.Marshal(signature)
	is.NoErr(err)
	var read Signature
	is.NoErr(json.Unmarshal(data, &read))
	is.Equal(read, signature)
	for _, wrong := range []string{`""`, `"short"`, `"!!!!!!!!!!!!!!!!"`, `"AAAAAAAAAAAAAAAAAAAAAAAA"`} {
		is.True(json.Unmarshal([]byte(wrong), &read) != nil)
	}
}

func BenchmarkSignature(b *testing.B) {
	request := Request{Method: "GET", Host: "shop.example", Target: "/levo700/1efd79?page=35&sort=new", Tenant: "smith", Body: 7}
	b.ReportAllocs()
	for range b.N {
		SignatureOf(request)
	}
}
