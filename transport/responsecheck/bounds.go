package responsecheck

// Bounds of what a server may send besides the content, which has none: its reader passes it on
// piece by piece, within the time of the request. A server in trouble may send bytes without end.
const (
	// MaximumHead bounds the status lines and fields of a response and of the interim ones before
	// it, in bytes. Browsers accept up to 256 KiB.
	MaximumHead = 256 << 10
	// MaximumFields bounds the number of these fields. A short one takes many times its bytes in
	// memory.
	MaximumFields = 2000
	// MaximumInterim bounds the number of interim responses to one request.
	MaximumInterim = 8
	// maximumChunkLine bounds the line before a chunk, with its extensions, in bytes.
	maximumChunkLine = 2 << 10
	// maximumTrailers bounds the fields behind the content, in bytes. Go's reader needs them in a
	// buffer of 4 KiB.
	maximumTrailers = 4<<10 - 4
)

// budget is what is left of the bounds.
type budget struct {
	head, fields, interim, trailers int
}

var fullBudget = budget{head: MaximumHead, fields: MaximumFields, interim: MaximumInterim, trailers: maximumTrailers}

// spendLine takes the bytes of a line, or of its beginning, from the bound of its part. length is that of
// the line so far, of which n bytes are new.
func (b *budget) spendLine(part state, length, n int) error {
	switch part {
	case inStatusLine, inFields:
		if b.head -= n; b.head < 0 {
			return invalid(Field, "the head is longer than %d bytes", MaximumHead)
		}
	case inTrailers:
		if b.trailers -= n; b.trailers < 0 {
			return invalid(Trailer, "they are longer than %d bytes", maximumTrailers)
		}
	default:
		if length > maximumChunkLine {
			return invalid(Chunk, "the line of its size is longer than %d bytes", maximumChunkLine)
		}
	}
	return nil
}

func (b *budget) spendField() error {
	if b.fields--; b.fields < 0 {
		return invalid(Field, "more than %d fields", MaximumFields)
	}
	return nil
}

func (b *budget) spendInterim() error {
	if b.interim--; b.interim < 0 {
		return invalid(StatusLine, "more than %d interim responses", MaximumInterim)
	}
	return nil
}
