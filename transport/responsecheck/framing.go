package responsecheck

import (
	"bytes"
	"net/http"
	"strconv"
)

// framing is what the fields of a head tell about the length of the content.
type framing struct {
	length  string // digits, "" if not told
	chunked bool
}

// Names of the fields that tell the length.
const (
	nameLength = "Content-Length"
	nameCoding = "Transfer-Encoding"
)

// record records a field if it tells the length.
func (f *framing) record(told field) error {
	switch {
	case len(told.name) == len(nameLength) && bytes.EqualFold(told.name, []byte(nameLength)):
		return f.recordLength(string(told.value))
	case len(told.name) == len(nameCoding) && bytes.EqualFold(told.name, []byte(nameCoding)):
		return f.recordCoding(told.value)
	default:
		return nil
	}
}

func (f *framing) recordLength(value string) error {
	for i := range len(value) {
		if !isDigit(value[i]) {
			return invalid(Length, "Content-Length is no number")
		}
	}
	if _, err := strconv.ParseInt(value, 10, 64); err != nil {
		return invalid(Length, "Content-Length is no number of 63 bits")
	}
	if f.length != "" && f.length != value {
		return invalid(Length, "Content-Length twice, %s and %s", f.length, value)
	}
	f.length = value
	return nil
}

func (f *framing) recordCoding(value []byte) error {
	if f.chunked {
		return invalid(Length, "Transfer-Encoding twice")
	}
	if !bytes.EqualFold(value, []byte("chunked")) {
		return invalid(Length, "transfer coding %s, which was not asked for", quoted(value))
	}
	f.chunked = true
	return nil
}

// content is how the content of a response ends.
type content int

const (
	noContent content = iota
	fixedContent
	chunkedContent
	contentUntilClose
)

// content returns how the content of a response ends, and its length if that is fixed (RFC 9112,
// section 6.3).
func (f *framing) content(head statusLine, headRequest bool) (content, int64, error) {
	if err := f.check(head); err != nil {
		return noContent, 0, err
	}
	switch {
	case headRequest || !allowsContent(head.status):
		return noContent, 0, nil
	case f.chunked:
		return chunkedContent, 0, nil
	case f.length == "":
		return contentUntilClose, 0, nil
	default:
		length, err := strconv.ParseInt(f.length, 10, 64)
		return fixedContent, length, err
	}
}

// check refuses what a status or a version does not go with.
func (f *framing) check(head statusLine) error {
	withoutLength := head.status < http.StatusOK || head.status == http.StatusNoContent
	switch {
	case f.chunked && f.length != "":
		return invalid(Length, "both Transfer-Encoding and Content-Length")
	case f.chunked && head.minorVersion == 0:
		return invalid(Length, "Transfer-Encoding in HTTP/1.0")
	case f.chunked && withoutLength:
		return invalid(Length, "Transfer-Encoding with status %d", head.status)
	case f.length != "" && f.length != "0" && withoutLength:
		return invalid(Length, "content with status %d", head.status)
	default:
		return nil
	}
}

// allowsContent reports whether responses with a status may have content.
func allowsContent(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
