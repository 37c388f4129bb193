package settings

import (
	"net"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/loomcleat/loomcleat/result"
)

var namePattern = regexp.MustCompile(`^[a-z0-9-]{1,63}$`)

// checker records the first invalid value of a Settings.
type checker struct {
	lines Lines
	err   error
}

func (c *checker) require(valid bool, key, value, allowed string) {
	if valid || c.err != nil {
		return
	}
	c.err = result.New(result.SettingsInvalid, "%s: %s: %q is not allowed; allowed: %s", c.lines.At(key), key, value, allowed)
}

func (c *checker) name(key, value string) {
	c.require(namePattern.MatchString(value), key, value, "1 to 63 of a-z, 0-9 and '-'")
}

func (c *checker) address(key, value string) {
	host, port, err := net.SplitHostPort(value)
	number, portErr := strconv.Atoi(port)
	valid := err == nil && portErr == nil && net.ParseIP(host) != nil && number >= 0 && number <= 65535
	c.require(valid, key, value, "IP:port, such as 127.0.0.1:7000")
}

func (c *checker) baseURL(key, value string) {
	if value == "" {
		return
	}
	parsed, err := url.Parse(value)
	c.require(err == nil && parsed.Scheme == "http" && parsed.Host != "", key, value, "http://host:port")
}

func (c *checker) duration(key string, value Duration, low, high time.Duration) {
	valid := value.Std() >= low && value.Std() <= high
	c.require(valid, key, value.Std().String(), "a duration from "+low.String()+" to "+high.String())
}

func (c *checker) number(key string, value, low, high int) {
	valid := value >= low && value <= high
	c.require(valid, key, strconv.Itoa(value), "a whole number from "+strconv.Itoa(low)+" to "+strconv.Itoa(high))
}

func (c *checker) oneOf(key, value string, allowed ...string) {
	for _, candidate := range allowed {
		if candidate == value {
			return
		}
	}
	c.require(false, key, value, strings.Join(allowed, ", "))
}

// Check validates the settings. It returns a result.SettingsInvalid error for the first
// invalid value, with its file and line (or its flag) and the allowed values.
func (s *Settings) Check(lines Lines) error {
	c := &checker{lines: lines}
	c.name("region", s.Region)
	c.name("zone", s.Zone)
	if s.ID != "" {
		c.name("id", s.ID)
	}
	c.address("listen", s.Listen)
	c.address("control", s.Control)
	c.address("admin", s.Admin)
	if s.Readiness != "" {
		c.address("readiness", s.Readiness)
	}
	c.oneOf("store_api", s.StoreAPI, StoreConsul, StorePlatform)
	s.checkRetryBudget(c)
	s.checkTenancy(c)
	if s.StopWithin != 0 {
		c.duration("stop_within", s.StopWithin, time.Second, time.Hour)
	}
	for _, seed := range s.Seeds {
		c.address("seeds", seed)
	}
	c.baseURL("store", s.Store)
	c.baseURL("machine_list", s.MachineList)
	c.oneOf("log", s.Log.Level, "trace", "debug", "info", "warn", "error")
	c.oneOf("log", s.Log.Format, "text", "json")
	c.duration("announce_time", s.AnnounceTime, 0, time.Minute)
	c.duration("drain_timeout", s.DrainTimeout, 0, time.Hour)
	c.duration("probe_interval", s.ProbeInterval, 50*time.Millisecond, time.Minute)
	c.duration("claim_retention", s.ClaimRetention, time.Second, 24*time.Hour)
	c.oneOf("claim_replicas", strconv.Itoa(s.ClaimReplicas), "1", "3", "5", "7")
	c.number("store_watches", s.StoreWatches, 1, 1000)
	c.duration("policy_within", s.PolicyWithin, time.Second, time.Minute)
	c.number("claim_groups", s.ClaimGroups, 1, 1024)
	c.number("maximum_claims", s.MaximumClaims, 100, 10000000)
	if s.Role == RoleNode {
		s.checkNode(c)
	} else {
		s.checkGateway(c)
	}
	return c.err
}

func (s *Settings) checkRetryBudget(c *checker) {
	budget := s.RetryBudget
	if budget.Window == 0 {
		return
	}
	ratio := strconv.FormatFloat(budget.Ratio, 'g', -1, 64)
	c.require(budget.Ratio >= 0 && budget.Ratio <= 1, "retry_budget", ratio, "a ratio from 0 to 1")
	c.number("retry_budget", budget.Slack, 0, 100000)
	c.duration("retry_budget", budget.Window, time.Second, 10*time.Minute)
}

// checkTenancy checks the settings that concern tenants: key revocation and quotas.
func (s *Settings) checkTenancy(c *checker) {
	if s.KeyRevocation != 0 {
		c.duration("key_revocation", s.KeyRevocation, 4*time.Second, 10*time.Minute)
	}
	quota := s.Quota
	c.duration("quota", quota.Window, time.Second, time.Minute)
	overshoot := strconv.FormatFloat(quota.Overshoot, 'g', -1, 64)
	c.require(quota.Overshoot >= 0 && quota.Overshoot <= 1, "quota", overshoot, "an overshoot from 0 to 1")
	c.number("quota", quota.Slack, 0, 100000)
	if quota.Interval != 0 {
		c.duration("quota", quota.Interval, 50*time.Millisecond, 10*time.Second)
	}
}

func (s *Settings) checkNode(c *checker) {
	c.name("service", s.Service)
	c.address("backend", s.Backend)
	c.address("outbound", s.Outbound)
	if s.Heartbeats != "" {
		c.address("heartbeats", s.Heartbeats)
	}
	c.duration("backend_drain", s.BackendDrain, 2*time.Millisecond, time.Minute)
	validPath := s.BackendHealthPath == "" || strings.HasPrefix(s.BackendHealthPath, "/")
	c.require(validPath, "backend_health_path", s.BackendHealthPath, "a path that starts with /")
	c.require(len(s.Routes) == 0, "routes", "routes", "routes only in the settings of a gateway")
}

func (s *Settings) checkGateway(c *checker) {
	c.require(s.Service == "", "service", s.Service, "a service only in the settings of a node")
	c.require(s.Backend == "", "backend", s.Backend, "a back end only in the settings of a node")
	for _, route := range s.Routes {
		c.name("routes", route.Service)
		validPath := route.PathPrefix == "" || strings.HasPrefix(route.PathPrefix, "/")
		c.require(validPath, "routes", route.PathPrefix, "a path_prefix that starts with /")
	}
}
