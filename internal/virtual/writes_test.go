package virtual

import (
	"bytes"
	"fmt"
	"time"
)

// putRoutes writes a configuration with one route for each version up to the given one.
func putRoutes(m *Mesh, version int) {
	var paths bytes.Buffer
	for i := 1; i <= version; i++ {
		if i > 1 {
			paths.WriteByte(',')
		}
		fmt.Fprintf(&paths, `{"name":"route-%d","path_prefix":"/route-%d/","type":"safe","timeout":"3s","priority":1,"service":"service","max_attempts":2}`, i, i)
	}
	m.Store.PutConfiguration(fmt.Appendf(nil, `{"version":%d,"hosts":[{"host":%q,"paths":[%s]}]}`, version, testHost, paths.Bytes()))
}

// writes are the configurations that a test has written, by time.
type writes struct {
	mesh *Mesh
	at   map[uint64]time.Time
	last uint64
}

func newWrites(m *Mesh) *writes { return &writes{mesh: m, at: map[uint64]time.Time{}} }

// put writes the next version.
func (w *writes) put() {
	w.last++
	putRoutes(w.mesh, int(w.last))
	w.at[w.last] = time.Now()
}

// overdue returns the lowest version that a process lacks later than the bound after its write, 0 for
// none.
func (w *writes) overdue(node *Node) uint64 {
	held := node.Documents.Revisions().Policy
	if held < w.last && time.Since(w.at[held+1]) > policyBound {
		return held + 1
	}
	return 0
}

// pollInterval is the time between two looks at all processes.
const pollInterval = 5 * time.Millisecond

// check looks at processes for a time. It returns the first one that lacks a version later than the
// bound after its write.
func (w *writes) check(nodes []*Node, duration time.Duration) error {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(pollInterval) {
		for _, node := range nodes {
			if version := w.overdue(node); version > 0 {
				return fmt.Errorf("%s lacks version %d, %s after it was written", node.ID, version, time.Since(w.at[version]))
			}
		}
	}
	return nil
}
