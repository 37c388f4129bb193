package kernel

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// boundaryScanner finds where requests end in the bytes of a caller's connection. It
// knows two forms: a request without a body, and one whose body has a plain length.
// From the first request on that it is not sure of, it finds no more ends.
type boundaryScanner struct {
	head     []byte // of the request that has begun, until it is whole
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
	s.head = append(s.head, data...)
	end := bytes.Index(s.head, headEnd)
	if end < 0 {
		s.unsure = len(s.head) > maximumScannedHead
		return part{length: len(data)}
	}
	end += len(headEnd)
	length, known := bodyLength(s.head[:end])
	known = known && end <= maximumScannedHead
	simple := readsOnly(s.head[:end])
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

// readsOnly reports whether a head is that of a request which changes nothing, and
// behind which the connection goes on.
func readsOnly(head []byte) bool {
	line, fields, _ := bytes.Cut(head, []byte("\r\n"))
	method, _, _ := bytes.Cut(line, []byte(" "))
	if string(method) != http.MethodGet && string(method) != http.MethodHead {
		return false
	}
	return bytes.HasSuffix(line, []byte(" HTTP/1.1")) && !closes(fields)
}

// closes reports whether header fields may say that the connection ends behind the
// request.
func closes(fields []byte) bool {
	lower := bytes.ToLower(fields)
	return bytes.Contains(lower, []byte("connection")) && bytes.Contains(lower, []byte("close"))
}

// bodyLength returns the length of the body of a request by its head. It is known
// when no header tells of a body, or one header tells a plain length; whoever writes
// it otherwise may mean something else than the reader understands.
func bodyLength(head []byte) (length int64, known bool) {
	lines := strings.Split(string(head), "\r\n")
	if strings.ContainsAny(lines[0], "\r\n") {
		return 0, false
	}
	found := false
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ":")
		lower := strings.ToLower(name)
		switch {
		case strings.Contains(lower, "transfer-encoding"), strings.Contains(lower, "upgrade"), strings.Contains(lower, "expect"):
			return 0, false
		case line != "" && (line[0] == ' ' || line[0] == '\t'), strings.ContainsAny(line, "\r\n"):
			return 0, false // a folded line
		case !strings.Contains(lower, "content-length"):
			continue
		case lower != "content-length" || found:
			return 0, false
		}
		parsed, err := strconv.ParseUint(strings.TrimSpace(value), 10, 62)
		if err != nil {
			return 0, false
		}
		found, length = true, int64(parsed)
	}
	return length, true
}
