package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/membership"
)

// TestProcessCounterKeepsDeadProcesses guards against leaving out a process that may only be cut
// off and still admit requests.
func TestProcessCounterKeepsDeadProcesses(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	alive := []membership.Member{{ID: "a", Control: "1"}, {ID: "b", Control: "2"}, {ID: "c", Control: "3"}}
	oneDead := []membership.Member{alive[0], alive[1], {ID: "c", Control: "3", Status: membership.Dead}}
	replaced := append(oneDead, membership.Member{ID: "c2", Control: "3"})

	c := newProcessCounter(10 * time.Second)
	is.Equal(c.count(start, alive), 3)
	is.Equal(c.count(start.Add(9*time.Second), oneDead), 3)
	is.Equal(c.count(start.Add(11*time.Second), oneDead), 2)
	is.Equal(c.count(start.Add(12*time.Second), replaced), 3)

	c = newProcessCounter(0) // processes that are cut off never stop admitting requests
	is.Equal(c.count(start, alive), 3)
	is.Equal(c.count(start.Add(time.Minute), oneDead), 3)
	is.Equal(c.count(start.Add(time.Hour), alive[:2]), 2)
}
