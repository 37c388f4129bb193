package kernel

// InboundChain is the order of plug-ins for calls that arrive at a node for its
// back end.
var InboundChain = []string{
	"drain",      // refuse when stopping
	"deadline",   // refuse what is out of time, bound the rest
	"instance",   // refuse while the back end is unknown or has left
	"admission",  // wait for a slot of the back end
	"once",       // claim what may not be repeated
	"quarantine", // refuse what crashes back ends
	"forward",    // hand to the back end
}

// OutboundChain is the order of plug-ins for calls that leave a gateway or that
// a back end makes through its node.
var OutboundChain = []string{
	"drain",    // refuse new callers when stopping (gateways)
	"tenant",   // refuse callers without a good key, name their tenant
	"quota",    // refuse what is beyond the quota of a tenant
	"deadline", // refuse what is out of time, bound the rest
	"shed",     // refuse a share of a route under pressure
	"identity", // name calls that may not be repeated
	"retry",    // repeat attempts within the budget
	"routing",  // refuse early, choose a node, send
}
