package settings

import "time"

// Default returns the settings of a process with an empty settings file.
func Default(role Role) Settings {
	return Settings{
		Role:         role,
		Region:       "default",
		Zone:         "default",
		Outbound:     "127.0.0.1:0",
		Admin:        "127.0.0.1:0",
		Log:          Log{Level: "info", Format: "text"},
		StoreWatches: 3,
		PolicyWithin: Duration(2 * time.Second),
		Quota: Quota{
			Window:    Duration(5 * time.Second),
			Overshoot: 0.1,
			Slack:     20,
			Interval:  Duration(500 * time.Millisecond),
		},
		StoreAPI:       StoreConsul,
		Claims:         true,
		AnnounceTime:   Duration(time.Second),
		BackendDrain:   Duration(2 * time.Second),
		DrainTimeout:   Duration(30 * time.Second),
		ProbeInterval:  Duration(time.Second),
		ClaimRetention: Duration(10 * time.Minute),
		ClaimReplicas:  3,
		ClaimGroups:    16,
		MaximumClaims:  100000,
	}
}
