// Package settings reads and checks the settings file of one process.
//
// It defines the keys, their defaults and ranges, and which changes need a restart. Its
// only inputs are the file and the command-line flags. Configuration that operators change
// while processes run is in the policy document (package policy).
//
// The file is YAML. Unknown keys, wrong units and values out of range are reported with
// file and line, and the process does not start.
package settings

import "time"

// Role selects what a process does.
type Role string

// Roles.
const (
	RoleNode    Role = "node"    // runs beside one back end
	RoleGateway Role = "gateway" // accepts callers' requests
)

// Values of Settings.StoreAPI.
const (
	StoreConsul   = "consul"
	StorePlatform = "platform"
)

// Settings configures one process. Addresses are IP:port; port 0 selects a free port.
type Settings struct {
	// Role is set by the command, not in the file.
	Role Role `yaml:"-"`

	// ID is the first part of this process's ID in the mesh. A random part is added at each
	// start, because a restarted process has lost its state and must not be taken for the
	// previous one. Default: the role.
	ID string `yaml:"id"`

	// Region is the name of the region, 1 to 63 characters of a-z, 0-9 and '-'.
	// Regions are assumed to be far apart. Default "default".
	Region string `yaml:"region"`

	// Zone is the name of the failure zone, in the same format. Claims are spread over
	// zones; calls prefer their own zone. Default "default".
	Zone string `yaml:"zone"`

	// Service is the service of the back end. Nodes only, required.
	Service string `yaml:"service"`

	// Backend is the address of the back end. Nodes only, required.
	Backend string `yaml:"backend"`

	// BackendHealthPath is a path of the back end that answers 503 with the word
	// "draining" while the back end is leaving. No other answer takes the back end out
	// of service, since health reports may be late or wrong. Empty: not polled.
	// Default "".
	BackendHealthPath string `yaml:"backend_health_path"`

	// Listen is the traffic address: of a gateway, the address for callers; of a node,
	// the address at which other processes reach its back end. Required.
	Listen string `yaml:"listen"`

	// Outbound is the loopback address that accepts the calls made by the back end.
	// Nodes only. Default "127.0.0.1:0".
	Outbound string `yaml:"outbound"`

	// Entry makes the outbound address also accept requests of callers outside the mesh.
	// Nodes only. Default false.
	Entry bool `yaml:"entry"`

	// Readiness is an address that serves only the platform's readiness probe. Empty:
	// none.
	Readiness string `yaml:"readiness"`

	// Heartbeats is the address to which the back end sends its heartbeats. Empty: the
	// back end sends none, and the node checks the back end itself. Nodes only.
	Heartbeats string `yaml:"heartbeats"`

	// BackendDrain is the time after which a back end that announced that it is leaving
	// receives no more requests, 2ms to 1m. The node stops sending after half of it, so
	// that requests already on their way arrive in time. With a longer time, fewer calls
	// from processes that do not know of the announcement yet are refused. It must not
	// exceed the time after which the back end relies on receiving no more requests. Nodes
	// only. Default 2s.
	BackendDrain Duration `yaml:"backend_drain"`

	// Control is the address for messages between processes. Required.
	Control string `yaml:"control"`

	// Admin is the address for metrics and probes. Default "127.0.0.1:0".
	Admin string `yaml:"admin"`

	// Seeds are control addresses of other processes, through which this process joins the
	// mesh. Seeds at which no live member is known are tried repeatedly.
	Seeds []string `yaml:"seeds"`

	// Store is the base URL of the key-value store. Empty: no store; the default policy
	// applies.
	Store string `yaml:"store"`

	// StoreAPI is the API of the store and the machine list: "consul" (package consulkv)
	// or "platform" (package platform). Default "consul".
	StoreAPI string `yaml:"store_api"`

	// MachineList is the base URL of the machine list. Empty: none.
	MachineList string `yaml:"machine_list"`

	// Routes map calls at a gateway to services. A call that matches no route goes to
	// the service named by the first label of its Host. Gateways only.
	Routes []Route `yaml:"routes"`

	// Log selects the level and the format of the log.
	Log Log `yaml:"log"`

	// StopWithin is the time after which the platform kills a stopping process, 1s to 1h.
	// If it is set, the process stops before, and AnnounceTime and DrainTimeout are
	// replaced by shares of it. 0: not known. Default 0.
	StopWithin Duration `yaml:"stop_within"`

	// StoreWatches is the number of processes that watch the store, 1 to 1000; the
	// others receive changes from them. Each watcher sends the store one call per document
	// every 0.7s. With fewer watchers, a change is delayed longer when they are cut off
	// from the store. Default 3.
	StoreWatches int `yaml:"store_watches"`

	// PolicyWithin is the time within which a policy that the store has accepted is in force in each
	// process that reaches the store, whatever happens to other processes, 1s to 1m. With a
	// shorter time, processes ask each other more often, and read the store sooner when no one
	// answers. Default 2s.
	PolicyWithin Duration `yaml:"policy_within"`

	// PolicyRequired makes the process refuse requests until it has received a policy
	// document from the store or a peer, instead of using the default policy. Default
	// false.
	PolicyRequired bool `yaml:"policy_required"`

	// Claims makes each non-repeatable request run under a claim held by a majority of
	// replicas, so that callers can retry it safely. Without claims, a retry by a caller
	// counts as a new request, and loomcleat never resends a request that may have run.
	// The value must be the same in the whole mesh. Default true.
	Claims bool `yaml:"claims"`

	// KeyRevocation is the time after which a revoked API key is refused by all processes,
	// 4s to 10m. A process without proof that its policy was the newest one within this
	// time refuses requests with keys. A shorter time revokes sooner; a longer one
	// tolerates longer outages of the store. Proofs from watches of the store are up to 2s
	// old in normal operation. 0: processes that are cut off keep accepting the keys they
	// know. Default 0.
	KeyRevocation Duration `yaml:"key_revocation"`

	// Quota bounds the amount by which tenants may exceed their quotas.
	Quota Quota `yaml:"quota"`

	// RetryBudget bounds the retries of the whole mesh.
	RetryBudget RetryBudget `yaml:"retry_budget"`

	// AnnounceTime is how long a stopping process still accepts requests, 0s to 1m. In the
	// last second of it, the process announces to its peers that it is leaving. With a
	// longer time, more callers move elsewhere without a retry. Default 1s, in which gossip
	// reaches all members of a mesh of hundreds.
	AnnounceTime Duration `yaml:"announce_time"`

	// DrainTimeout is how long a stopping process waits for requests in flight after
	// AnnounceTime, 0s to 1h. Default 30s.
	DrainTimeout Duration `yaml:"drain_timeout"`

	// ProbeInterval is the time between two liveness probes of peers, 50ms to 1m. A
	// shorter interval detects dead peers sooner; a longer one sends fewer messages.
	// Default 1s.
	ProbeInterval Duration `yaml:"probe_interval"`

	// ClaimRetention is how long a request is protected from running twice, 1s to 24h. A
	// longer time protects later retries by callers and keeps more claims in memory. The
	// value must be the same in the whole mesh. Default 10m.
	ClaimRetention Duration `yaml:"claim_retention"`

	// ClaimReplicas is the number of processes that hold each claim: 1, 3, 5 or 7. A
	// majority must answer before a request runs. More replicas tolerate the loss of more
	// processes at once and cost one message each. Default 3, which tolerates one loss.
	ClaimReplicas int `yaml:"claim_replicas"`

	// ClaimGroups is the number of groups over which claim keys are spread, 1 to 1024. More
	// groups spread claims over more processes. The value must be the same in the whole
	// mesh and must not change while requests are served. Default 16.
	ClaimGroups int `yaml:"claim_groups"`

	// MaximumClaims bounds the number of claims held in memory, 100 to 10000000. At the
	// maximum, non-repeatable requests are refused. A claim takes about 250 bytes.
	// Default 100000.
	MaximumClaims int `yaml:"maximum_claims"`
}

// RetryBudget bounds the retries that all processes together send to one service: in each
// window at most Ratio times the number of requests for the service, plus Slack.
type RetryBudget struct {
	// Ratio of retries to requests, 0 to 1. Default 0.
	Ratio float64 `yaml:"ratio"`
	// Slack is the number of retries allowed in addition, 0 to 100000. Default 0.
	Slack int `yaml:"slack"`
	// Window is the length of a window, 1s to 10m. 0: no common bound; each process
	// bounds its own retries by retry_ratio of the policy. Default 0.
	Window Duration `yaml:"window"`
}

// Quota bounds the amount by which a tenant may exceed its quota. In each window, the
// tenant's requests at all processes together are at most (1 + Overshoot) times the number
// that the quota allows, plus Slack. Tighter bounds need more reports and refuse more
// requests that are within the quota.
type Quota struct {
	// Window is the length of a window, 1s to 1m. Default 5s.
	Window Duration `yaml:"window"`
	// Overshoot is relative to the quota, 0 to 1. Default 0.1.
	Overshoot float64 `yaml:"overshoot"`
	// Slack is a number of requests, 0 to 100000. It is needed for tenants with a few
	// requests per second, whose share at one process is less than one request. Default 20.
	Slack int `yaml:"slack"`
	// Interval is the maximum time between two reports of a process to the coordinator of
	// quotas, 50ms to 10s. A shorter interval follows demand sooner and costs more
	// messages. 0: no reports; each process admits an equal share of each quota.
	// Default 500ms.
	Interval Duration `yaml:"interval"`
}

// Route maps calls at a gateway to a service.
type Route struct {
	Host       string `yaml:"host"`        // exact Host header without the port; empty: any
	PathPrefix string `yaml:"path_prefix"` // empty: any
	Service    string `yaml:"service"`     // required
}

// Log selects the level and the format of the log.
type Log struct {
	Level  string `yaml:"level"`  // trace, debug, info, warn or error; default info
	Format string `yaml:"format"` // text or json; default text
}

// Duration is a time.Duration that is written with a unit in the file, such as "1s".
type Duration time.Duration

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
