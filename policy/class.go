package policy

import "github.com/loomcleat/loomcleat/result"

// Class is the importance of a user request. Under overload, requests of lower
// classes are refused first.
type Class int

// Classes in ascending order of importance.
const (
	Bulk        Class = iota // exports, prefetching, batch work
	Default                  // requests without a class
	Interactive              // a user is waiting for the answer
	Critical                 // payments, transfers
)

var classNames = []string{"bulk", "default", "interactive", "critical"}

// String returns the name of the class.
func (c Class) String() string {
	if c < Bulk || c > Critical {
		return "unknown"
	}
	return classNames[c]
}

// MarshalText implements encoding.TextMarshaler.
func (c Class) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *Class) UnmarshalText(text []byte) error {
	for i, name := range classNames {
		if name == string(text) {
			*c = Class(i)
			return nil
		}
	}
	return result.New(result.PolicyInvalid, "class %q is not one of bulk, default, interactive, critical", text)
}
