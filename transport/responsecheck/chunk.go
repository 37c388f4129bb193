package responsecheck

import (
	"bytes"
	"slices"
	"strconv"
)

// maximumSizeDigits is the number of digits that Go's reader accepts.
const maximumSizeDigits = 16

// parseChunkSize parses the line before a chunk without its end (RFC 9112, section 7.1). Extensions
// are ignored, and so are blanks at the end, with which some servers fill the size up.
func parseChunkSize(line []byte) (int64, error) {
	if at := invalidTextByte(line); at >= 0 {
		return 0, invalid(Chunk, "byte %#02x in the line of its size", line[at])
	}
	digits, _, _ := bytes.Cut(bytes.TrimRight(line, " \t"), []byte{';'})
	if len(digits) > maximumSizeDigits {
		return 0, invalid(Chunk, "a size of %d digits", len(digits))
	}
	for _, b := range digits {
		if !isHexadecimal(b) {
			return 0, invalid(Chunk, "no size in %s", quoted(line))
		}
	}
	size, err := strconv.ParseInt(string(digits), 16, 64)
	if err != nil {
		return 0, invalid(Chunk, "no size of 63 bits in %s", quoted(line))
	}
	return size, nil
}

func isHexadecimal(b byte) bool {
	return isDigit(b) || 'a' <= b && b <= 'f' || 'A' <= b && b <= 'F'
}

// notInTrailers are fields that must not come after the content, which they describe or direct (RFC
// 9110, section 6.5.1).
var notInTrailers = [][]byte{
	[]byte("Connection"), []byte("Content-Encoding"), []byte("Content-Length"), []byte("Content-Range"), []byte("Content-Type"),
	[]byte("Host"), []byte("Keep-Alive"), []byte("TE"), []byte("Trailer"), []byte("Transfer-Encoding"), []byte("Upgrade"),
}

// checkTrailer checks a field after the last chunk.
func checkTrailer(line []byte) error {
	parsed, err := parseField(Trailer, line)
	if err != nil {
		return err
	}
	isForbidden := func(name []byte) bool { return bytes.EqualFold(name, parsed.name) }
	if slices.ContainsFunc(notInTrailers, isForbidden) {
		return invalid(Trailer, "%s comes after the content", parsed.name)
	}
	return nil
}
