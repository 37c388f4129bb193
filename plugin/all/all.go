// Package all brings in every plug-in, so that a program that imports it has
// the whole chain. The order of the chain is in package kernel.
package all

import (
	_ "github.com/loomcleat/loomcleat/plugin/admission"  // slots of the back end
	_ "github.com/loomcleat/loomcleat/plugin/configsync" // documents that are spread
	_ "github.com/loomcleat/loomcleat/plugin/deadline"   // time left
	_ "github.com/loomcleat/loomcleat/plugin/drain"      // orderly stop
	_ "github.com/loomcleat/loomcleat/plugin/forward"    // the back end
	_ "github.com/loomcleat/loomcleat/plugin/identity"   // names of calls
	_ "github.com/loomcleat/loomcleat/plugin/instance"   // heartbeats of the back end
	_ "github.com/loomcleat/loomcleat/plugin/membership" // gossip
	_ "github.com/loomcleat/loomcleat/plugin/once"       // at most once
	_ "github.com/loomcleat/loomcleat/plugin/quarantine" // requests that crash back ends
	_ "github.com/loomcleat/loomcleat/plugin/quota"      // quotas of tenants
	_ "github.com/loomcleat/loomcleat/plugin/retry"      // attempts
	_ "github.com/loomcleat/loomcleat/plugin/routing"    // choice of a node
	_ "github.com/loomcleat/loomcleat/plugin/shed"       // early refusal by route
	_ "github.com/loomcleat/loomcleat/plugin/tenant"     // keys of callers
)
