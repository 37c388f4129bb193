package responsecheck

import "bytes"

// field is a line of a head or of trailers.
type field struct {
	name  []byte
	value []byte // without blanks and tabs around it
}

// parseField parses a line (RFC 9112, section 5). A line that begins with a blank would continue the
// one before, and is refused: it hides a field from one of two readers.
func parseField(part Part, line []byte) (field, error) {
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found {
		return field{}, invalid(part, "no colon in %s", quoted(line))
	}
	if len(name) == 0 {
		return field{}, invalid(part, "a field without a name")
	}
	for _, b := range name {
		if !isTokenByte[b] {
			return field{}, invalid(part, "byte %#02x in the name %s", b, quoted(name))
		}
	}
	if at := invalidTextByte(value); at >= 0 {
		return field{}, invalid(part, "byte %#02x in the value of %s", value[at], quoted(name))
	}
	return field{name: name, value: bytes.Trim(value, " \t")}, nil
}

// isTokenByte tells for each byte whether a token may hold it (RFC 9110, section 5.6.2).
var isTokenByte = func() (allowed [256]bool) {
	for b := '0'; b <= '9'; b++ {
		allowed[b] = true
	}
	for b := 'a'; b <= 'z'; b++ {
		allowed[b], allowed[b-'a'+'A'] = true, true
	}
	for _, b := range "!#$%&'*+-.^_`|~" {
		allowed[b] = true
	}
	return allowed
}()
