package policy

import (
	"strings"

	"github.com/loomcleat/loomcleat/result"
)

// AnyMethod is the method of a Pattern that matches every method.
const AnyMethod = "*"

const (
	anySegment = "*"  // matches one segment
	anyTail    = "**" // matches any number of remaining segments; allowed only at the end
)

// Pattern selects calls of a service by method and path. Segments are the parts of the
// path between slashes.
type Pattern struct {
	Method   string
	Segments []string
	text     string
}

// ParsePattern parses "METHOD /path". In the path, "*" matches one segment and "**" at
// the end any number of further segments, including none. It returns a
// result.PolicyInvalid error for any other text.
func ParsePattern(text string) (Pattern, error) {
	method, path, found := strings.Cut(text, " ")
	if !found || !strings.HasPrefix(path, "/") {
		return Pattern{}, result.New(result.PolicyInvalid, "call path %q must have the form \"METHOD /path\"", text)
	}
	if method != AnyMethod && method != strings.ToUpper(method) {
		return Pattern{}, result.New(result.PolicyInvalid, "call path %q: the method must be in capitals or %q", text, AnyMethod)
	}
	segments := strings.Split(path[1:], "/")
	for i, segment := range segments {
		if segment == anyTail && i != len(segments)-1 {
			return Pattern{}, result.New(result.PolicyInvalid, "call path %q: %q may only stand at the end", text, anyTail)
		}
	}
	return Pattern{Method: method, Segments: segments, text: text}, nil
}

// String returns the text that the pattern was parsed from.
func (p Pattern) String() string { return p.text }

// Matches reports whether the pattern selects calls with the given method and path.
func (p Pattern) Matches(method, path string) bool {
	if p.Method != AnyMethod && p.Method != method {
		return false
	}
	rest := strings.TrimPrefix(path, "/")
	last := len(p.Segments) - 1
	for i, want := range p.Segments {
		if want == anyTail {
			return true
		}
		segment, tail, more := strings.Cut(rest, "/")
		if want != anySegment && want != segment {
			return false
		}
		if i == last {
			return !more
		}
		if !more {
			return p.Segments[i+1] == anyTail && i+1 == last
		}
		rest = tail
	}
	return false
}

// moreSpecific reports whether p precedes other: literal segments precede wildcards,
// longer paths shorter ones, and a given method any method.
func (p Pattern) moreSpecific(other Pattern) bool {
	for i := 0; i < len(p.Segments) && i < len(other.Segments); i++ {
		rank, otherRank := segmentRank(p.Segments[i]), segmentRank(other.Segments[i])
		if rank != otherRank {
			return rank > otherRank
		}
	}
	if len(p.Segments) != len(other.Segments) {
		return len(p.Segments) > len(other.Segments)
	}
	if (p.Method == AnyMethod) != (other.Method == AnyMethod) {
		return p.Method != AnyMethod
	}
	return p.text < other.text
}

func segmentRank(segment string) int {
	switch segment {
	case anyTail:
		return 0
	case anySegment:
		return 1
	default:
		return 2
	}
}
