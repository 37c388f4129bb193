package responsecheck

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// check passes a text to a new Checker, in pieces of a size, and returns how much of it is valid.
func check(text string, piece int) (valid int, err error) {
	var checker Checker
	for len(text) > 0 {
		size := min(piece, len(text))
		n, err := checker.Check([]byte(text[:size]))
		valid += n
		if err != nil {
			return valid, err
		}
		text = text[size:]
	}
	return valid, nil
}

// pieceSizes are the sizes of the pieces in which tests pass a response on.
var pieceSizes = []int{1, 7, 1 << 20}

// expect checks that a response is accepted, or that an error in a part ends it before its last byte.
func expect(t *testing.T, text string, wrong Part) {
	t.Helper()
	is := is.New(t)
	for _, piece := range pieceSizes {
		valid, err := check(text, piece)
		if wrong == "" {
			is.NoErr(err)
			is.Equal(valid, len(text))
			continue
		}
		var failed *Error
		is.True(errors.As(err, &failed))
		is.Equal(failed.Part, wrong)
		is.True(valid < len(text))
	}
}

// TestStatusLines guards against passing on a status that no client knows, or the bytes of another
// protocol, and against refusing what servers send.
func TestStatusLines(t *testing.T) {
	cases := map[string]Part{
		"HTTP/1.1 200 OK":             "",
		"HTTP/1.1 200 ":               "",
		"HTTP/1.1 200":                "",
		"HTTP/1.0 404 Not Found":      "",
		"HTTP/1.2 200 OK":             "",
		"HTTP/1.1 299 unusual":        "",
		"HTTP/1.1 599 ":               "",
		"HTTP/1.1 200 \tGrüße \xff  ": "",
		"HTTP/1.1 000 OK":             StatusLine,
		"HTTP/1.1 000":                StatusLine,
		"HTTP/1.1 099 OK":             StatusLine,
		"HTTP/1.1 600 OK":             StatusLine,
		"HTTP/1.1 999 OK":             StatusLine,
		"HTTP/1.1 +20 OK":             StatusLine,
		"HTTP/1.1 -00 OK":             StatusLine,
		"HTTP/1.1 20 OK":              StatusLine,
		"HTTP/1.1 2000 OK":            StatusLine,
		"HTTP/1.1 2x0 OK":             StatusLine,
		"HTTP/1.1  200 OK":            StatusLine,
		"HTTP/1.1\t200 OK":            StatusLine,
		"HTTP/1.1 200\tOK":            StatusLine,
		"HTTP/1.1 101 Switching":      StatusLine,
		"HTTP/1.1":                    StatusLine,
		"HTTP/2.0 200 OK":             StatusLine,
		"HTTP/0.9 200 OK":             StatusLine,
		"HTTP/1.10 200 OK":            StatusLine,
		"HTTP/1.x 200 OK":             StatusLine,
		"http/1.1 200 OK":             StatusLine,
		"ICY 200 OK":                  StatusLine,
		" HTTP/1.1 200 OK":            StatusLine,
		"":                            StatusLine,
		"HTTP/1.1 200 O\x00K":         StatusLine,
		"HTTP/1.1 200 O\rK":           StatusLine,
		"HTTP/1.1 200 O\x7fK":         StatusLine,
	}
	for line, wrong := range cases {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			expect(t, line+"\r\nContent-Length: 0\r\n\r\n", wrong)
			expect(t, line+"\nContent-Length: 0\n\n", wrong)
			expect(t, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+line+"\r\nContent-Length: 0\r\n\r\n", wrong)
		})
	}
}

// TestFields guards against passing on a line that two readers understand differently, or missing a
// field that tells the length, and against refusing what servers send.
func TestFields(t *testing.T) {
	cases := map[string]Part{
		"X-Plain: value":               "",
		"X-Empty:":                     "",
		"X-Blanks: \t value \t ":       "",
		"x!#$%&'*+-.^_`|~9: any":       "",
		"X-Text: \"Grüße\", \xff; a:b": "",
		"X Inner: value":               Field,
		"X-Blank : value":              Field,
		"X-Tab\t: value":               Field,
		"Content-Length : 5":           Field,
		"Transfer Encoding: chunked":   Field,
		"X-Null\x00: value":            Field,
		"X-Con\x01trol: value":         Field,
		"X-Delete\x7f: value":          Field,
		"X-Return\r: value":            Field,
		"X-Größe: value":               Field,
		"X(comment): value":            Field,
		"\"X\": value":                 Field,
		": value":                      Field,
		" : value":                     Field,
		"no colon":                     Field,
		" folded: value":               Field,
		"\tfolded":                     Field,
		" Content-Length: 5":           Field,
		" ":                            Field,
		"X-Null: a\x00b":               Field,
		"X-Return: a\rb":               Field,
		"X-Control: a\x1fb":            Field,
		"X-Delete: a\x7fb":             Field,
	}
	for line, wrong := range cases {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			expect(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 0\r\n\r\n", wrong)
			expect(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+line+"\r\n\r\n", wrong)
			expect(t, "HTTP/1.1 200 OK\nContent-Length: 0\n"+line+"\n\n", wrong)
			expect(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", wrong)
		})
	}
}

// TestErrorsHoldNoValues guards against secrets in logs and in answers to callers.
func TestErrorsHoldNoValues(t *testing.T) {
	is := is.New(t)
	_, err := check("HTTP/1.1 200 OK\r\nSet-Cookie: secret\x00\r\n\r\n", 1<<20)
	is.True(err != nil)
	is.True(!strings.Contains(err.Error(), "secret"))
	is.True(strings.Contains(err.Error(), "Set-Cookie"))
}
