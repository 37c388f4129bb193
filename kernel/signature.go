package kernel

import "github.com/loomcleat/loomcleat/quarantine"

// Signature returns the signature of the request. It is the same in all processes, and for
// each retry by the caller.
func (c *Call) Signature() quarantine.Signature {
	request := quarantine.Request{Method: c.Method, Host: c.Host, Tenant: c.Tenant, Body: c.Fingerprint}
	if c.URL != nil {
		request.Target = c.URL.RequestURI()
	}
	return quarantine.SignatureOf(request)
}
