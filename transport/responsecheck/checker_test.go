package responsecheck

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// check passes a text to a new Checker, in pieces of a size, and returns how much of it is valid.
func check(text string, piece int) (valid int, err error) {
	checker := NewChecker(http.MethodGet)
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

// TestLengths guards against a content whose length two readers understand differently, and against
// refusing what servers send.
func TestLengths(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked"
	cases := []struct {
		status, fields string
		wrong          Part
	}{
		{"200", "Content-Length: 0", ""},
		{"200", "Content-Length:\t00012 ", ""},
		{"200", "Content-Length: 12\r\ncontent-length: 12", ""},
		{"200", "Content-Length: 9223372036854775807", ""},
		{"200", chunked, ""},
		{"200", "transfer-encoding:  CHUNKED", ""},
		{"200", "X: y", ""},
		{"204", "X: y", ""},
		{"204", "Content-Length: 0", ""},
		{"205", "Content-Length: 0", ""},
		{"304", "Content-Length: 12", ""},
		{"304", chunked, ""},
		{"103", "Link: x", ""},
		{"103", "Content-Length: 0", ""},
		{"200", "Content-Length:", Length},
		{"200", "Content-Length: -1", Length},
		{"200", "Content-Length: +1", Length},
		{"200", "Content-Length: 0x1", Length},
		{"200", "Content-Length: 1 2", Length},
		{"200", "Content-Length: 1.0", Length},
		{"200", "Content-Length: 12, 12", Length},
		{"200", "Content-Length: 9223372036854775808", Length},
		{"200", "Content-Length: 12\r\nContent-Length: 13", Length},
		{"200", "Content-Length: 12\r\nContent-Length: 012", Length},
		{"200", "Content-Length: 12\r\nContent-Length:", Length},
		{"200", "Content-Length: 12\r\n" + chunked, Length},
		{"200", chunked + "\r\nContent-Length: 12", Length},
		{"200", chunked + "\r\n" + chunked, Length},
		{"200", "Transfer-Encoding:", Length},
		{"200", "Transfer-Encoding: gzip, chunked", Length},
		{"200", "Transfer-Encoding: chunked, chunked", Length},
		{"200", "Transfer-Encoding: identity", Length},
		{"200", "Transfer-Encoding: chunked;q=1", Length},
		{"204", "Content-Length: 12", Length},
		{"204", chunked, Length},
		{"304", "Content-Length: x", Length},
		{"304", chunked + "\r\nContent-Length: 12", Length},
		{"103", "Content-Length: 12", Length},
		{"103", chunked, Length},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s %q", c.status, c.fields), func(t *testing.T) {
			expect(t, "HTTP/1.1 "+c.status+" x\r\n"+c.fields+"\r\n\r\n", c.wrong)
		})
	}
	expect(t, "HTTP/1.0 200 x\r\n"+chunked+"\r\n\r\n", Length)
	expect(t, "HTTP/1.0 200 x\r\nContent-Length: 2\r\n\r\nok", "")
}

// TestUntilClose guards against taking the end of a connection for that of a content which has
// another end, or none.
func TestUntilClose(t *testing.T) {
	cases := []struct {
		text       string
		method     string
		untilClose bool
	}{
		{"HTTP/1.1 200 OK\r\nX: y\r\n", http.MethodGet, false},
		{"HTTP/1.1 200 OK\r\n\r\n", http.MethodGet, true},
		{"HTTP/1.0 200 OK\r\n\r\nbody", http.MethodGet, true},
		{"HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", http.MethodGet, true},
		{"HTTP/1.1 103 x\r\n\r\n", http.MethodGet, false},
		{"HTTP/1.1 200 OK\r\n\r\n", http.MethodHead, false},
		{"HTTP/1.1 204 x\r\n\r\n", http.MethodGet, false},
		{"HTTP/1.1 304 x\r\n\r\n", http.MethodGet, false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", http.MethodGet, false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", http.MethodGet, false},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", http.MethodGet, false},
	}
	for _, c := range cases {
		is := is.New(t)
		checker := NewChecker(c.method)
		_, err := checker.Check([]byte(c.text))
		is.NoErr(err)
		is.Equal(checker.UntilClose(), c.untilClose)
	}
}

// TestChunks guards against content that two readers cut differently, and against refusing what
// servers send.
func TestChunks(t *testing.T) {
	cases := map[string]Part{
		"0\r\n\r\n":                                    "",
		"5\r\nhello\r\n0\r\n\r\n":                      "",
		"5\r\nhel\nl\r\n0\r\n\r\n":                     "",
		"00A\r\n0123456789\r\n000\r\n\r\n":             "",
		"5  \r\nhello\r\n0 \r\n\r\n":                   "",
		"5;a=b;c=\"d\"\r\nhello\r\n0;last\r\n\r\n":     "",
		"5 ; a\r\nhello\r\n0\r\n\r\n":                  Chunk,
		"00000000000000005\r\nhello\r\n":               Chunk,
		"0000000000000005;a \r\nhello\r\n0\r\n\r\n":    "",
		"0\r\nETag: \"x\"\r\nServer-Timing: y\r\n\r\n": "",
		"\r\nhello\r\n":                                Chunk,
		"x\r\nhello\r\n":                               Chunk,
		"-5\r\nhello\r\n":                              Chunk,
		"+5\r\nhello\r\n":                              Chunk,
		"0x5\r\nhello\r\n":                             Chunk,
		" 5\r\nhello\r\n":                              Chunk,
		"5 5\r\nhello\r\n":                             Chunk,
		"5\nhello\r\n":                                 Chunk,
		"5\r\nhello\n0\r\n":                            Chunk,
		"5\r\nhello0\r\n":                              Chunk,
		"5\r\nhello!\r\n":                              Chunk,
		"5;a\x00\r\nhello\r\n":                         Chunk,
		"5;a\r;b\r\nhello\r\n":                         Chunk,
		"8000000000000000\r\nhello\r\n":                Chunk,
		"10000000000000005\r\nhello\r\n":               Chunk,
		"0\r\nX Y: z\r\n\r\n":                          Trailer,
		"0\r\nX\x01: z\r\n\r\n":                        Trailer,
		"0\r\nX: \x01\r\n\r\n":                         Trailer,
		"0\r\n folded: z\r\n\r\n":                      Trailer,
		"0\r\nX: z\n\r\n":                              Trailer,
		"0\r\nX: z\r\n\n":                              Trailer,
		"0\r\ncontent-length: 5\r\n\r\n":               Trailer,
		"0\r\nTransfer-Encoding: chunked\r\n\r\n":      Trailer,
		"0\r\nHTTP/1.1 200 OK\r\n\r\n":                 Trailer,
	}
	for content, wrong := range cases {
		t.Run(fmt.Sprintf("%q", content), func(t *testing.T) {
			expect(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+content, wrong)
		})
	}
}

// TestBytesWithoutEnd guards against a server that sends parts of a response without end: each is refused
// at its bound, before which a server may use all of it, and the memory in use stays below it.
func TestBytesWithoutEnd(t *testing.T) {
	const ok, chunked = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := []struct {
		name, begin, repeated string
		bound                 int // of bytes behind begin
		wrong                 Part
	}{
		{"status line", "HTTP/1.1 200 ", "x", MaximumHead, Field},
		{"name of a field", ok, "x", MaximumHead, Field},
		{"value of a field", ok + "X: ", "x", MaximumHead, Field},
		{"long fields", ok, "X: " + strings.Repeat("x", 1000) + "\r\n", MaximumHead, Field},
		{"short fields", ok, "X:\r\n", (MaximumFields + 1) * len("X:\r\n"), Field},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", (MaximumInterim + 1) * len("HTTP/1.1 100 Continue\r\n\r\n"), StatusLine},
		{"fields of interim responses", "", "HTTP/1.1 103 x\r\n" + strings.Repeat("X: "+strings.Repeat("x", 10000)+"\r\n", 5) + "\r\n", MaximumHead, Field},
		{"extension of a chunk", chunked + "1;", "x", maximumChunkLine, Chunk},
		{"digits of a size", chunked, "0", maximumChunkLine, Chunk},
		{"trailers", chunked + "0\r\n", "X: y\r\n", maximumTrailers, Trailer},
		{"name of a trailer", chunked + "0\r\n", "x", maximumTrailers, Trailer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			checker := NewChecker(http.MethodGet)
			_, err := checker.Check([]byte(c.begin))
			is.NoErr(err)
			sent := 0
			for err == nil && sent <= 2*MaximumHead {
				_, err = checker.Check([]byte(c.repeated))
				sent += len(c.repeated)
			}
			var failed *Error
			is.True(errors.As(err, &failed))
			is.Equal(failed.Part, c.wrong)
			is.True(sent <= c.bound+len(c.repeated))
			is.True(sent >= c.bound-len(c.begin))
			is.True(cap(checker.line) <= 2*MaximumHead)
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
