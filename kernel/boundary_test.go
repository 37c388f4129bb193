package kernel

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// scanAll feeds bytes in pieces and returns the parts that are whole requests.
func scanAll(s *boundaryScanner, text string, piece int) (requests []string, simple []bool, rest string) {
	current := ""
	for len(text) > 0 {
		data := text[:min(piece, len(text))]
		next := s.next([]byte(data))
		current += data[:next.length]
		text = text[next.length:]
		if next.whole {
			requests, simple = append(requests, current), append(simple, next.simple)
			current = ""
		}
	}
	return requests, simple, current
}

func TestBoundaries(t *testing.T) {
	const (
		get     = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
		post    = "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 28\r\n\r\nGET /c HTTP/1.1\r\nHost: h\r\n\r\n"
		empty   = "POST /b HTTP/1.1\r\nHost: h\r\ncontent-length:0\r\n\r\n"
		chunked = "POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	cases := []struct {
		name, text string
		whole      []string
		simple     []bool
	}{
		{"one", get, []string{get}, []bool{true}},
		{"a row", get + get, []string{get, get}, []bool{true, true}},
		{"the beginning of another", get + "GET /", []string{get}, []bool{true}},
		{"a body that looks like a request", post + get, []string{post, get}, []bool{false, true}},
		{"an empty body", empty + get, []string{empty, get}, []bool{false, true}},
		{"chunks", get + chunked + get, []string{get}, []bool{true}},
		{"the last one", strings.Replace(get, "Host", "Connection: close\r\nHost", 1) + get, []string{strings.Replace(get, "Host", "Connection: close\r\nHost", 1), get}, []bool{false, true}},
		{"an older protocol", strings.Replace(get, "1.1", "1.0", 1) + get, []string{strings.Replace(get, "1.1", "1.0", 1), get}, []bool{false, true}},
		{"two lengths", "GET /a HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n" + get, nil, nil},
		{"a length that is none", "GET /a HTTP/1.1\r\nContent-Length: +5\r\n\r\n" + get, nil, nil},
		{"a blank before the colon", "GET /a HTTP/1.1\r\nContent-Length : 5\r\n\r\n" + get, nil, nil},
		{"both", "GET /a HTTP/1.1\r\nContent-Length: 5\r\ntransfer-encoding: chunked\r\n\r\n" + get, nil, nil},
		{"a folded line", "GET /a HTTP/1.1\r\nX: a\r\n Content-Length: 5\r\n\r\n" + get, nil, nil},
		{"a bare line feed", "GET /a HTTP/1.1\r\nX: a\nContent-Length: 5\r\n\r\n" + get, nil, nil},
		{"a bare line feed before a length", "GET /a HTTP/1.1\nContent-Length: 5\r\n\r\n" + get, nil, nil},
		{"another protocol", "GET /a HTTP/1.1\r\nUpgrade: h2c\r\n\r\n" + get, nil, nil},
		{"an endless head", "GET /a HTTP/1.1\r\nX: " + strings.Repeat("x", 2*maximumScannedHead) + "\r\n\r\n" + get, nil, nil},
	}
	for _, c := range cases {
		for _, piece := range []int{1, 7, 1 << 20} {
			t.Run(c.name, func(t *testing.T) {
				is := is.New(t)
				s := &boundaryScanner{}
				whole, simple, rest := scanAll(s, c.text, piece)
				is.Equal(whole, c.whole)
				is.Equal(simple, c.simple)
				is.Equal(strings.Join(whole, "")+rest, c.text) // nothing is lost
			})
		}
	}
}
