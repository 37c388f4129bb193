package kernel

import (
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/google/uuid"
)

// identities generates names that are unique across processes and restarts. After set-up
// it makes no system call.
type identities struct {
	prefix string
	next   atomic.Uint64
}

// identityPrefixLength is the length of the random prefix of a name: 12 hexadecimal digits, or
// 48 bits, make a collision among thousands of processes very unlikely.
const identityPrefixLength = 12

// setUp generates the random prefix.
func (i *identities) setUp() {
	random := strings.ReplaceAll(uuid.NewString(), "-", "")
	i.prefix = random[len(random)-identityPrefixLength:] + "-"
}

func (i *identities) name() string {
	return i.prefix + strconv.FormatUint(i.next.Add(1), identityBase)
}

// identityBase is the numeral base of the counter in a name.
const identityBase = 36

// NewIdentity returns a name that is unique in the mesh.
func (p *Process) NewIdentity() string { return p.identities.name() }
