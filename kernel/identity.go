package kernel

import (
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/google/uuid"
)

// identities names things so that no two processes, nor two runs of one, give
// the same name. A name costs no system call.
type identities struct {
	prefix string
	next   atomic.Uint64
}

// identityPrefix is the length of the random part of a name: 48 bits, in which
// 1000 processes share one with a probability of 2 in a billion.
const identityPrefix = 12

// setUp draws the random part.
func (i *identities) setUp() {
	random := strings.ReplaceAll(uuid.NewString(), "-", "")
	i.prefix = random[len(random)-identityPrefix:] + "-"
}

func (i *identities) name() string {
	return i.prefix + strconv.FormatUint(i.next.Add(1), identityBase)
}

// identityBase is the base of the counting part of a name.
const identityBase = 36

// NewIdentity returns a name that nothing else in the mesh has.
func (p *Process) NewIdentity() string { return p.identities.name() }
