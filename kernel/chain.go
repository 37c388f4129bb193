package kernel

// InboundChain is the order of plug-ins for calls to the back end of a node.
var InboundChain = []string{
	"drain",      // refuses calls when the process stops
	"deadline",   // refuses calls past their deadline, sets the timeout of others
	"instance",   // refuses calls while the back end is unknown or has left
	"admission",  // waits for a slot of the back end
	"once",       // claims calls that run at most once
	"quarantine", // refuses calls that crash back ends
	"forward",    // sends the call to the back end
}

// OutboundChain is the order of plug-ins for calls that a gateway receives, and for
// calls that a back end makes through its node.
var OutboundChain = []string{
	"drain",    // refuses external calls when a gateway stops
	"tenant",   // refuses callers without a valid key, sets the tenant
	"quota",    // refuses calls beyond the quota of their tenant
	"deadline", // refuses calls past their deadline, sets the timeout of others
	"shed",     // refuses a share of the calls of a route under pressure
	"identity", // sets the keys of calls that run at most once
	"retry",    // retries failed attempts within the budget
	"routing",  // refuses calls below the level, chooses a node and sends the call
}
