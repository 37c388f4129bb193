package kernel

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// scanAll feeds text to the scanner in pieces and returns the complete requests, which
// of them are simple, and the remaining text.
func scanAll(s *boundaryScanner, text string, piece int) (requests []string, simple []bool, rest string) {
	current := ""
	for len(text) > 0 {
		data := text[:min(piece, len(text))]
		next := s.next([]byte(data))
		current += data[:next.length]
		text = text[next.length:]
		if next.complete {
			requests, simple = append(requests, current), append(simple, next.simple)
			current = ""
		}
	}
	return requests, simple, current
}

// TestBoundaryScanner guards against request smuggling: an end must never be found where
// the server could see another one.
func TestBoundaryScanner(t *testing.T) {
	const (
		get     = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
		post    = "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 28\r\n\r\nGET /c HTTP/1.1\r\nHost: h\r\n\r\n"
		empty   = "POST /b HTTP/1.1\r\nHost: h\r\ncontent-length:0\r\n\r\n"
		chunked = "POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	cases := []struct {
		name, text string
		complete   []string
		simple     []bool
	}{
		{"one request", get, []string{get}, []bool{true}},
		{"two requests", get + get, []string{get, get}, []bool{true, true}},
		{"an incomplete second request", get + "GET /", []string{get}, []bool{true}},
		{"a body that looks like a request", post + get, []string{post, get}, []bool{false, true}},
		{"an empty body", empty + get, []string{empty, get}, []bool{false, true}},
		{"a chunked body", get + chunked + get, []string{get}, []bool{true}},
		{"a closing connection", strings.Replace(get, "Host", "Connection: close\r\nHost", 1) + get, []string{strings.Replace(get, "Host", "Connection: close\r\nHost", 1), get}, []bool{false, true}},
		{"HTTP/1.0", strings.Replace(get, "1.1", "1.0", 1) + get, []string{strings.Replace(get, "1.1", "1.0", 1), get}, []bool{false, true}},
		{"two lengths", "GET /a HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n" + get, nil, nil},
		{"a malformed length", "GET /a HTTP/1.1\r\nContent-Length: +5\r\n\r\n" + get, nil, nil},
		{"a blank before the colon", "GET /a HTTP/1.1\r\nContent-Length : 5\r\n\r\n" + get, nil, nil},
		{"a length and chunks", "GET /a HTTP/1.1\r\nContent-Length: 5\r\ntransfer-encoding: chunked\r\n\r\n" + get, nil, nil},
		{"a folded line", "GET /a HTTP/1.1\r\nX: a\r\n Content-Length: 5\r\n\r\n" + get, nil, nil},
		{"a bare line feed", "GET /a HTTP/1.1\r\nX: a\nContent-Length: 5\r\n\r\n" + get, nil, nil},
		{"a bare line feed before a length", "GET /a HTTP/1.1\nContent-Length: 5\r\n\r\n" + get, nil, nil},
		{"a protocol upgrade", "GET /a HTTP/1.1\r\nUpgrade: h2c\r\n\r\n" + get, nil, nil},
		{"a head that is too long", "GET /a HTTP/1.1\r\nX: " + strings.Repeat("x", 2*maximumScannedHead) + "\r\n\r\n" + get, nil, nil},
	}
	for _, c := range cases {
		for _, piece := range []int{1, 7, 1 << 20} {
			t.Run(c.name, func(t *testing.T) {
				is := is.New(t)
				s := &boundaryScanner{}
				complete, simple, rest := scanAll(s, c.text, piece)
				is.Equal(complete, c.complete)
				is.Equal(simple, c.simple)
				is.Equal(strings.Join(complete, "")+rest, c.text) // no byte is lost
			})
		}
	}
}
