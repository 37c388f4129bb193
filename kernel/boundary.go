package kernel

import (
	"bytes"
	"net/http"
	"strconv"
)

// boundaryScanner finds the ends of requests in the bytes of a caller's connection. It
// recognizes requests without a body and those with a single Content-Length. After the
// first request of any other form it reports no more ends.
type boundaryScanner struct {
	head        []byte // incomplete head of the current request
	lowerHead   []byte // last complete head in lower case
	bodyLeft    int64  // remaining bytes of the body of the current request
	unknownForm bool   // a request of another form was seen
}

// maximumScannedHead is the largest head that is scanned, in bytes.
const maximumScannedHead = 16 << 10

var headEnd = []byte("\r\n\r\n")

// segment is a prefix of the scanned bytes that belongs to one request.
type segment struct {
	length   int
	complete bool // The request ends with this segment.
	// The request is a GET or HEAD without a body, and the connection stays open after it.
	// It is false unless complete is true.
	simple bool
}

// next returns the prefix of data that belongs to the current request, or to a new one
// if the previous request is complete.
func (s *boundaryScanner) next(data []byte) segment {
	switch {
	case s.unknownForm:
		return segment{length: len(data)}
	case s.bodyLeft > 0:
		length := int(min(s.bodyLeft, int64(len(data))))
		s.bodyLeft -= int64(length)
		return segment{length: length, complete: s.bodyLeft == 0}
	}
	before := len(s.head)
	seen := data // usually a complete head, which needs no copy
	if before > 0 {
		s.head = append(s.head, data...)
		seen = s.head
	}
	end := bytes.Index(seen, headEnd)
	if end < 0 {
		s.head = append(s.head[:0], seen...)
		s.unknownForm = len(s.head) > maximumScannedHead
		return segment{length: len(data)}
	}
	end += len(headEnd)
	s.lowerHead = appendLower(s.lowerHead[:0], seen[:end])
	length, known := bodyLength(s.lowerHead)
	known = known && end <= maximumScannedHead
	simple := isSafe(seen[:end], s.lowerHead)
	s.head = s.head[:0]
	if !known {
		s.unknownForm = true
		return segment{length: len(data)}
	}
	s.bodyLeft = length
	return segment{length: end - before, complete: length == 0, simple: simple && length == 0}
}

// atEnd reports whether the bytes so far end with the end of a request.
func (s *boundaryScanner) atEnd() bool {
	return !s.unknownForm && len(s.head) == 0 && s.bodyLeft == 0
}

// appendLower appends text to the slice, with ASCII letters in lower case.
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

// isSafe reports whether a head belongs to a GET or HEAD request after which the
// connection stays open. lowerHead is the head in lower case.
func isSafe(head, lowerHead []byte) bool {
	line, _, _ := bytes.Cut(head, lineEnd)
	method, _, _ := bytes.Cut(line, []byte(" "))
	if string(method) != http.MethodGet && string(method) != http.MethodHead {
		return false
	}
	return bytes.HasSuffix(line, []byte(" HTTP/1.1")) && !mayClose(lowerHead[len(line):])
}

// mayClose reports whether header fields in lower case may request that the connection
// be closed after the request. It errs towards true.
func mayClose(lowerHead []byte) bool {
	return bytes.Contains(lowerHead, []byte("connection")) && bytes.Contains(lowerHead, []byte("close"))
}

// Names of header fields that announce a body, in lower case.
var (
	contentLength = []byte("content-length")
	// otherFraming are fields by which the end of the request is not given by a length:
	// chunked bodies, protocol upgrades, and bodies sent only on demand.
	otherFraming = [][]byte{[]byte("transfer-encoding"), []byte("upgrade"), []byte("expect")}
)

// bodyLength returns the length of the body of a request from its head in lower case.
// The length is known when no header announces a body, or when there is exactly one
// well-formed Content-Length. Any other form is reported as unknown, since the server
// could read it differently (request smuggling).
func bodyLength(lowerHead []byte) (length int64, known bool) {
	line, rest, _ := bytes.Cut(lowerHead, lineEnd)
	if bytes.ContainsAny(line, "\r\n") {
		return 0, false
	}
	found := false
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, lineEnd)
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case hasOtherFraming(name):
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

// hasOtherFraming reports whether the name of a field, in lower case, contains one of
// otherFraming.
func hasOtherFraming(name []byte) bool {
	for _, other := range otherFraming {
		if bytes.Contains(name, other) {
			return true
		}
	}
	return false
}
