package kernel

import "github.com/loomcleat/loomcleat/quarantine"

// Signature names what the call asks for, the same at all processes and for all tries of
// its caller. It costs some hundred nanoseconds.
func (c *Call) Signature() quarantine.Signature {
	request := quarantine.Request{Method: c.Method, Host: c.Host, Tenant: c.Tenant, Body: c.Fingerprint}
	if c.URL != nil {
		request.Target = c.URL.RequestURI()
	}
	return quarantine.SignatureOf(request)
}
