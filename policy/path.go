package policy

import (
	"strings"

	"github.com/loomcleat/loomcleat/result"
)

// Path is the parsed path of an entry. Fields below its level are empty.
type Path struct {
	Team    string
	Family  string
	Service string
	Call    *Pattern
}

// RootPath is the path of the root entry, from which all others inherit.
const RootPath = "/"

// ParsePath parses a path of one of the forms
//
//	/                                 the root
//	team
//	team/family
//	team/family/service
//	team/family/service METHOD /path  a call path, see Pattern
//
// It returns a result.PolicyInvalid error for any other text.
func ParsePath(text string) (Path, error) {
	if text == RootPath {
		return Path{}, nil
	}
	names, call, hasCall := strings.Cut(text, " ")
	parts := strings.Split(names, "/")
	if len(parts) > 3 {
		return Path{}, result.New(result.PolicyInvalid, "path %q has %d names; at most team/family/service is allowed", text, len(parts))
	}
	for _, part := range parts {
		if !validName(part) {
			return Path{}, result.New(result.PolicyInvalid, "path %q: the name %q must consist of 1 to 63 of a-z, 0-9 and '-'", text, part)
		}
	}
	path := Path{Team: parts[0]}
	if len(parts) > 1 {
		path.Family = parts[1]
	}
	if len(parts) > 2 {
		path.Service = parts[2]
	}
	if !hasCall {
		return path, nil
	}
	if path.Service == "" {
		return Path{}, result.New(result.PolicyInvalid, "path %q: a call path must stand below team/family/service", text)
	}
	pattern, err := ParsePattern(call)
	if err != nil {
		return Path{}, err
	}
	path.Call = &pattern
	return path, nil
}

// maximumNameLength is the maximum length of a name in bytes. It is that of a DNS label,
// since service names appear in Host headers.
const maximumNameLength = 63

func validName(name string) bool {
	if name == "" || len(name) > maximumNameLength {
		return false
	}
	for _, letter := range name {
		isLower := letter >= 'a' && letter <= 'z'
		isDigit := letter >= '0' && letter <= '9'
		if !isLower && !isDigit && letter != '-' {
			return false
		}
	}
	return true
}
