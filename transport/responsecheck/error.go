package responsecheck

import "fmt"

// Part is a part of a response.
type Part string

// Parts of a response.
const (
	StatusLine Part = "status line"
	Field      Part = "field"
	Length     Part = "length"
	Chunk      Part = "chunk"
	Trailer    Part = "trailer"
)

// Error reports bytes that belong to no valid response.
type Error struct {
	// Part is the part of the response in which they were found.
	Part Part
	// Reason says what is wrong with them. It holds no value of a field, which may be secret.
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("invalid response: %s: %s", e.Part, e.Reason) }

func invalid(part Part, format string, arguments ...any) error {
	return &Error{Part: part, Reason: fmt.Sprintf(format, arguments...)}
}

// maximumQuoted bounds how many bytes of a response are quoted in a Reason.
const maximumQuoted = 40

// quoted returns the beginning of a line for a Reason.
func quoted(line []byte) string {
	return fmt.Sprintf("%q", line[:min(len(line), maximumQuoted)])
}
