package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestGracePeriodDelaysLowerQuota(t *testing.T) {
	const window = 5 * time.Second
	high, low, lowest := Quota{Rate: 100, Burst: 100}, Quota{Rate: 10, Burst: 20}, Quota{Rate: 1, Burst: 1}
	type change struct {
		at    time.Duration
		quota Quota
	}
	cases := map[string]struct {
		changes []change
		at      time.Duration
		want    Quota
	}{
		"first quota":                       {[]change{{0, low}}, 0, low},
		"lowered 1 s ago":                   {[]change{{0, high}, {time.Second, low}}, 2 * time.Second, high},
		"lowered a window ago":              {[]change{{0, high}, {time.Second, low}}, 6 * time.Second, low},
		"lowered twice":                     {[]change{{0, high}, {time.Second, low}, {4 * time.Second, lowest}}, 6 * time.Second, lowest},
		"lowered, raised and lowered again": {[]change{{0, high}, {time.Second, low}, {2 * time.Second, high}, {8 * time.Second, low}}, 9 * time.Second, high},
		"raised":                            {[]change{{0, low}, {time.Second, high}}, time.Second, high},
		"higher rate, lower burst": {[]change{{0, Quota{Rate: 5, Burst: 50}}, {time.Second, Quota{Rate: 10, Burst: 20}}}, 2 * time.Second,
			Quota{Rate: 10, Burst: 50}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			grace := NewGracePeriod(window)
			for _, change := range c.changes {
				grace.Set(startTime.Add(change.at), map[string]Quota{"t": change.quota})
			}
			quotas, _ := grace.InForce(startTime.Add(c.at))
			is.Equal(quotas["t"], c.want)
		})
	}
}

func TestGracePeriodEndsWithRemovedQuota(t *testing.T) {
	is := is.New(t)
	grace := NewGracePeriod(time.Second)
	grace.Set(startTime, map[string]Quota{"t": {Rate: 5}})
	grace.Set(startTime, map[string]Quota{"t": {Rate: 1}})
	_, changing := grace.InForce(startTime)
	is.True(changing)
	grace.Set(startTime, map[string]Quota{})
	quotas, changing := grace.InForce(startTime)
	is.Equal(len(quotas), 0)
	is.True(!changing)
}
