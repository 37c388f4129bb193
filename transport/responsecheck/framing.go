package responsecheck

import (
	"bytes"
	"net/http"
	"strconv"
)

// framing is what the fields of a head tell about the length of the content.
type framing struct {
	digits  string // of the length, "" if not told
	length  int64
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
	length, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return invalid(Length, "Content-Length is no number of 63 bits")
	}
	if f.digits != "" && f.digits != value {
		return invalid(Length, "Content-Length twice, %s and %s", f.digits, value)
	}
	f.digits, f.length = value, length
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

// content returns how the content of a response ends (RFC 9112, section 6.3).
func (f *framing) content(head statusLine, headRequest bool) (content, error) {
	if err := f.check(head); err != nil {
		return noContent, err
	}
	switch {
	case headRequest || !allowsContent(head.status):
		return noContent, nil
	case f.chunked:
		return chunkedContent, nil
	case f.digits == "":
		return contentUntilClose, nil
	default:
		return fixedContent, nil
	}
}

// check refuses what a status or a version does not go with.
func (f *framing) check(head statusLine) error {
	withoutLength := head.status < http.StatusOK || head.status == http.StatusNoContent
	switch {
	case f.chunked && f.digits != "":
		return invalid(Length, "both Transfer-Encoding and Content-Length")
	case f.chunked && head.minorVersion == 0:
		return invalid(Length, "Transfer-Encoding in HTTP/1.0")
	case f.chunked && withoutLength:
		return invalid(Length, "Transfer-Encoding with status %d", head.status)
	case f.digits != "" && f.digits != "0" && withoutLength:
		return invalid(Length, "content with status %d", head.status)
	default:
		return nil
	}
}

// allowsContent reports whether responses with a status may have content.
func allowsContent(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
