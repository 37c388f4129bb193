// Package all imports every plug-in for its side effect of registering with the kernel.
// Package kernel defines the order of the plug-ins.
package all

import (
	_ "github.com/loomcleat/loomcleat/plugin/admission"  // limits concurrent requests to the back end
	_ "github.com/loomcleat/loomcleat/plugin/configsync" // keeps the policy and claim groups up to date
	_ "github.com/loomcleat/loomcleat/plugin/deadline"   // refuses requests past their deadline
	_ "github.com/loomcleat/loomcleat/plugin/drain"      // stops gracefully
	_ "github.com/loomcleat/loomcleat/plugin/forward"    // sends requests to the back end
	_ "github.com/loomcleat/loomcleat/plugin/identity"   // sets the claim keys of calls
	_ "github.com/loomcleat/loomcleat/plugin/instance"   // follows heartbeats of the back end
	_ "github.com/loomcleat/loomcleat/plugin/membership" // maintains the list of members by gossip
	_ "github.com/loomcleat/loomcleat/plugin/once"       // runs requests at most once
	_ "github.com/loomcleat/loomcleat/plugin/quarantine" // refuses requests that crash back ends
	_ "github.com/loomcleat/loomcleat/plugin/quota"      // enforces quotas of tenants
	_ "github.com/loomcleat/loomcleat/plugin/retry"      // retries failed calls
	_ "github.com/loomcleat/loomcleat/plugin/routing"    // chooses nodes for calls
	_ "github.com/loomcleat/loomcleat/plugin/shed"       // refuses requests early, by route
	_ "github.com/loomcleat/loomcleat/plugin/tenant"     // authenticates callers
)
