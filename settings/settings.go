// Package settings reads and checks the settings file of one process.
//
// It owns the keys, their defaults and ranges, and which changes need a restart. It relies
// on nothing but the file and the flags of the command line. What operators change while
// processes run is in the policy tree (package policy).
//
// The file is YAML. Unknown keys, wrong units and values out of range are
// reported with file and line, and the process does not start.
//
// A default that says "estimate" was not compared with others.
package settings

import "time"

// Role selects what a process does.
type Role string

// Roles.
const (
	RoleNode    Role = "node"    // beside one back end
	RoleGateway Role = "gateway" // the door for callers
)

// Interfaces of the store.
const (
	StoreConsul   = "consul"
	StorePlatform = "platform"
)

// Settings configures one process. Addresses are host:port; port 0 picks a
// free port.
type Settings struct {
	// Role is set by the command, not by the file.
	Role Role `yaml:"-"`

	// ID names this process in the mesh. It must be new at each start, because
	// a restarted process has lost its memory. Default: random.
	ID string `yaml:"id"`

	// Region is the name of the region, 1 to 63 of a-z, 0-9 and '-'. Default
	// "default". Regions are assumed to be far apart.
	Region string `yaml:"region"`

	// Zone is the name of the failure zone, of the same form. Default
	// "default". Claims are spread over zones; calls prefer their own zone.
	Zone string `yaml:"zone"`

	// Service is the service of the back end. Nodes only, required.
	Service string `yaml:"service"`

	// Backend is the address of the back end. Nodes only, required.
	Backend string `yaml:"backend"`

	// BackendHealthPath is a path of the back end that answers 503 with the
	// word "draining" while the back end leaves. Empty: not asked. Health
	// never takes a back end out for any other reason, since it lags and may
	// mislead. Default "".
	BackendHealthPath string `yaml:"backend_health_path"`

	// Listen is the traffic address: for a gateway the door for callers, for a
	// node the address at which other processes reach its back end. Required.
	Listen string `yaml:"listen"`

	// Outbound is the loopback address for the calls that the back end makes.
	// Nodes only. Default "127.0.0.1:0".
	Outbound string `yaml:"outbound"`

	// Entry says that the outbound address also takes the requests of callers
	// outside the mesh. Nodes only. Default false.
	Entry bool `yaml:"entry"`

	// Readiness is an address at which nothing but the readiness of the process
	// is told, as the platform asks for it. Empty: none.
	Readiness string `yaml:"readiness"`

	// Heartbeats is the address to which the back end sends its heartbeats.
	// Empty: it sends none, and the node looks after it by itself. Nodes only.
	Heartbeats string `yaml:"heartbeats"`

	// BackendDrain is the time after which a back end that said that it is leaving
	// gets no more requests, 2ms to 1m. The node stops after half of it, so that
	// requests on their way arrive in time. Longer refuses fewer calls of processes
	// that have not heard of it yet; it must not be above what was promised to the
	// back end. Nodes only. Default 2s, an estimate.
	BackendDrain Duration `yaml:"backend_drain"`

	// Control is the address for messages between processes. Required.
	Control string `yaml:"control"`

	// Admin is the address for metrics and probes. Default "127.0.0.1:0".
	Admin string `yaml:"admin"`

	// Seeds are control addresses of other processes, tried until one answers.
	Seeds []string `yaml:"seeds"`

	// Store is the base URL of the key-value service. Empty: none, the
	// defaults of the policy tree are in force.
	Store string `yaml:"store"`

	// StoreAPI is the interface that the store and the machine list speak:
	// "consul", or "platform" for that of the users' platform (package platform).
	// Default "consul".
	StoreAPI string `yaml:"store_api"`

	// MachineList is the base URL of the machine list. Empty: none.
	MachineList string `yaml:"machine_list"`

	// Routes map calls at a gateway to services. A call that no route matches
	// goes to the service named by the first label of its Host. Gateways only.
	Routes []Route `yaml:"routes"`

	// Log selects the form of the log.
	Log Log `yaml:"log"`

	// StopWithin is the time after which a process that was told to stop is
	// killed, 1s to 1h. When it is set, the process ends before, and
	// AnnounceTime and DrainTimeout are shares of it. 0: not known. Default 0.
	StopWithin Duration `yaml:"stop_within"`

	// StoreWatches is the number of processes that watch the store, 1 to 1000; the
	// others hear of changes from them. More cost the store more calls, one each
	// 0.7s and document; fewer let a change wait longer when those that watch are
	// cut off from the store. Default 3, an estimate.
	StoreWatches int `yaml:"store_watches"`

	// PolicyRequired says that the process takes no requests until the store or a
	// peer has shown it a policy tree, instead of going by the defaults. Default
	// false.
	PolicyRequired bool `yaml:"policy_required"`

	// Claims says that requests that may not be repeated run under claims of a
	// majority of replicas, so that a caller may repeat them safely. Without
	// them, each request of a caller is one of its own, and it is never sent
	// again once it may have run. It must be equal in the whole mesh. Default true.
	Claims bool `yaml:"claims"`

	// KeyRevocation is the time after which a revoked key of a tenant works nowhere, 4s
	// to 10m, also at a process that is cut off: a process that cannot prove that its
	// policy was the newest one that long ago refuses requests with keys. Shorter
	// revokes sooner, longer bears longer outages of the store; proofs by waits of
	// the store are up to 2s old while all is well. 0: processes that are cut off go on
	// with the keys that they know. Default 0.
	KeyRevocation Duration `yaml:"key_revocation"`

	// Quota bounds by how much tenants may exceed their quotas.
	Quota Quota `yaml:"quota"`

	// RetryBudget bounds the retries of the whole mesh.
	RetryBudget RetryBudget `yaml:"retry_budget"`

	// AnnounceTime is how long a stopping process still takes requests, 0s to 1m. In
	// its last second the process tells its peers that it leaves. Longer lets more
	// callers go elsewhere without a retry, shorter stops sooner. Default 1s, in which
	// gossip reaches all of a mesh of hundreds.
	AnnounceTime Duration `yaml:"announce_time"`

	// DrainTimeout is how long a stopping process waits for requests in
	// flight after that, 0s to 1h. Default 30s.
	DrainTimeout Duration `yaml:"drain_timeout"`

	// ProbeInterval is the time between two liveness probes to peers, 50ms to
	// 1m. Shorter finds dead peers sooner, longer sends fewer messages. Default 1s:
	// a crash is known after 5.1s in a mesh of 16 and 7.0s in one of 64, at 1.1 and
	// 1.3 messages a second and process (virtual time, without losses).
	ProbeInterval Duration `yaml:"probe_interval"`

	// ClaimRetention is how long a request stays protected from running twice,
	// 1s to 24h. Longer protects callers that come back later, at about 250 bytes a
	// claim. It must be equal in the whole mesh. Default 10m, an estimate.
	ClaimRetention Duration `yaml:"claim_retention"`

	// ClaimReplicas is the number of processes that hold each claim, 1, 3, 5
	// or 7; a majority must answer before a request runs. More bear the loss of more
	// processes at once and cost a message each. Default 3, which bears one.
	ClaimReplicas int `yaml:"claim_replicas"`

	// ClaimGroups is the number of claim groups that keys are spread over, 1
	// to 1024. It must be equal in the whole mesh and never change while
	// requests are served. More spread claims over more processes. Default 16, an
	// estimate.
	ClaimGroups int `yaml:"claim_groups"`

	// MaximumClaims bounds the claims held in memory, 100 to 10000000; beyond
	// it, requests that may not be repeated are refused. Default 100000, about 25 MB.
	MaximumClaims int `yaml:"maximum_claims"`
}

// RetryBudget bounds the retries that all processes together send to one service. In
// each window they are at most Ratio times the requests for the service, plus Slack.
type RetryBudget struct {
	// Ratio is the share of the requests, 0 to 1. Default 0.
	Ratio float64 `yaml:"ratio"`
	// Slack is the number of retries beyond that, 0 to 100000. Default 0.
	Slack int `yaml:"slack"`
	// Window is the length of a window, 1s to 10m. 0: there is no such bound,
	// and each process bounds its own retries by retry_ratio of the policy tree.
	// Default 0.
	Window Duration `yaml:"window"`
}

// Quota bounds by how much a tenant may exceed its quota. In each window, its requests
// at all processes together are at most (1 + Overshoot) times what its quota allows,
// plus Slack. Smaller bounds are held by more reports, and refuse more requests that are
// within the quota.
type Quota struct {
	// Window is the length of a window, 1s to 1m. Default 5s, an estimate.
	Window Duration `yaml:"window"`
	// Overshoot is a share of what the quota allows, 0 to 1. Default 0.1, an estimate.
	Overshoot float64 `yaml:"overshoot"`
	// Slack is a number of requests, 0 to 100000. It serves tenants of a few requests a
	// second, whose share at one process is less than one request. Default 20, an
	// estimate.
	Slack int `yaml:"slack"`
	// Interval is the longest time between two reports of a process to the coordinator
	// of quotas, 50ms to 10s. Shorter follows demand sooner and costs more messages.
	// 0: no reports are made, and each process keeps to an equal share of each quota.
	// Default 500ms: 2.5 reports and 0.6 KB a second and process (virtual time, 82
	// processes, 84 tenants).
	Interval Duration `yaml:"interval"`
}

// Route maps calls at a gateway to a service.
type Route struct {
	Host       string `yaml:"host"`        // exact Host without port; empty: any
	PathPrefix string `yaml:"path_prefix"` // empty: any
	Service    string `yaml:"service"`     // required
}

// Log selects the form of the log.
type Log struct {
	Level  string `yaml:"level"`  // trace, debug, info, warn or error; default info
	Format string `yaml:"format"` // text or json; default text
}

// Duration is a time.Duration written with a unit, such as "1s".
type Duration time.Duration

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
