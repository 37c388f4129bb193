package membership

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/membership"
)

func newMesh(now time.Time) *mesh {
	self := membership.Member{ID: "self", Control: "self:1", Generation: 1}
	return &mesh{process: &kernel.Process{}, stateMachine: membership.New(membership.Config{Self: self, Random: rand.New(rand.NewPCG(1, 2))}, now)}
}

// TestLeavingMachineStaysLeaving guards against the state of the back end undoing the leaving of the
// machine, and against the leaving setting a back end up that is down.
func TestLeavingMachineStaysLeaving(t *testing.T) {
	is := is.New(t)
	m := newMesh(time.Now())
	m.SetState(false, true)
	is.True(!m.stateMachine.Self().Leaving)
	m.machineLeaving = true
	m.SetState(true, m.stateMachine.Self().Down)
	is.True(m.stateMachine.Self().Leaving && m.stateMachine.Self().Down)
	m.SetState(false, false)
	is.True(m.stateMachine.Self().Leaving && !m.stateMachine.Self().Down)
}

// TestSeedsAndListedAddressesAreBothTried guards against a reading of the machine list that brings
// back the seeds from before the settings were changed.
func TestSeedsAndListedAddressesAreBothTried(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	m := newMesh(now)
	m.SetSeeds([]string{"old:1"})
	m.SetSeeds([]string{"new:1"})
	m.listed = []string{"listed:1"}
	m.applySeeds()
	tried := []string{}
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		for _, send := range m.stateMachine.Tick(now) {
			tried = append(tried, send.To)
		}
	}
	is.True(slices.Contains(tried, "new:1") && slices.Contains(tried, "listed:1"))
	is.True(!slices.Contains(tried, "old:1"))
}
