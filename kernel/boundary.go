package kernel

import (
	"bytes"
	"net/http"
	"strconv"
)

// boundaryScanner finds where requests end in the bytes of a caller's connection. It
// knows two forms: a request without a body, and one whose body has a plain length.
// From the first request on that it is not sure of, it finds no more ends.
type boundaryScanner struct {
	head     []byte // of the request that has begun, until it is whole
	lowered  []byte // the last head in lower case
	bodyLeft int64  // bytes of its body that are still to come
	unsure   bool
}

// maximumScannedHead bounds the heads that are looked at, in bytes.
const maximumScannedHead = 16 << 10

var headEnd = []byte("\r\n\r\n")

// part is the beginning of some bytes that belongs to one request.
type part struct {
	length int
	whole  bool // the request ends here
	simple bool // with whole: it has no body, and its method reads only
}

// next returns how many of the bytes belong to the request that has begun, or that
// begins with them.
func (s *boundaryScanner) next(data []byte) part {
	switch {
	case s.unsure:
		return part{length: len(data)}
	case s.bodyLeft > 0:
		length := int(min(s.bodyLeft, int64(len(data))))
		s.bodyLeft -= int64(length)
		return part{length: length, whole: s.bodyLeft == 0}
	}
	before := len(s.head)
	seen := data // mostly a whole head, which is not copied
	if before > 0 {
		s.head = append(s.head, data...)
		seen = s.head
	}
	end := bytes.Index(seen, headEnd)
	if end < 0 {
		s.head = append(s.head[:0], seen...)
		s.unsure = len(s.head) > maximumScannedHead
		return part{length: len(data)}
	}
	end += len(headEnd)
	s.lowered = appendLower(s.lowered[:0], seen[:end])
	length, known := bodyLength(s.lowered)
	known = known && end <= maximumScannedHead
	simple := readsOnly(seen[:end], s.lowered)
	s.head = s.head[:0]
	if !known {
		s.unsure = true
		return part{length: len(data)}
	}
	s.bodyLeft = length
	return part{length: end - before, whole: length == 0, simple: simple && length == 0}
}

// atEnd reports whether all requests that have begun are whole.
func (s *boundaryScanner) atEnd() bool {
	return !s.unsure && len(s.head) == 0 && s.bodyLeft == 0
}

// appendLower appends text with its letters of ASCII in lower case.
func appendLower(to, text []byte) []byte {
	for _, letter := range text {
		if letter >= 'A' && letter <= 'Z' {
			letter += 'a' - 'A'
		}
		to = append(to, letter)
	}
	return to
}

var lineEnd = []byte("\r\n")

// readsOnly reports whether a head is that of a request which changes nothing, and
// behind which the connection goes on. lowered is the head in lower case.
func readsOnly(head, lowered []byte) bool {
	line, _, _ := bytes.Cut(head, lineEnd)
	method, _, _ := bytes.Cut(line, []byte(" "))
	if string(method) != http.MethodGet && string(method) != http.MethodHead {
		return false
	}
	return bytes.HasSuffix(line, []byte(" HTTP/1.1")) && !closes(lowered[len(line):])
}

// closes reports whether header fields in lower case may say that the connection ends
// behind the request.
func closes(lowered []byte) bool {
	return bytes.Contains(lowered, []byte("connection")) && bytes.Contains(lowered, []byte("close"))
}

// Names of header fields that tell of a body, in lower case.
var (
	contentLength = []byte("content-length")
	// otherBodies are fields after which a body has no plain length, or after which
	// something else than a body may follow.
	otherBodies = [][]byte{[]byte("transfer-encoding"), []byte("upgrade"), []byte("expect")}
)

// bodyLength returns the length of the body of a request by its head in lower case. It
// is known when no header tells of a body, or one header tells a plain length; whoever
// writes it otherwise may mean something else than the reader understands.
func bodyLength(lowered []byte) (length int64, known bool) {
	line, rest, _ := bytes.Cut(lowered, lineEnd)
	if bytes.ContainsAny(line, "\r\n") {
		return 0, false
	}
	found := false
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, lineEnd)
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case tellsOtherwise(name):
			return 0, false
		case len(line) > 0 && (line[0] == ' ' || line[0] == '\t'), bytes.ContainsAny(line, "\r\n"):
			return 0, false // a folded line
		case !bytes.Contains(name, contentLength):
			continue
		case !bytes.Equal(name, contentLength) || found:
			return 0, false
		}
		parsed, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 62)
		if err != nil {
			return 0, false
		}
		found, length = true, int64(parsed)
	}
	return length, true
}

// tellsOtherwise reports whether a field, by its name in lower case, may tell of a body
// in another way than by a plain length.
func tellsOtherwise(name []byte) bool {
	for _, other := range otherBodies {
		if bytes.Contains(name, other) {
			return true
		}
	}
	return false
}
