package responsecheck

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
)

// validResponses are whole responses that servers may send.
var validResponses = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.0 200\nContent-Length:2\n\nok",
	"HTTP/1.1 204 \r\n\r\n",
	"HTTP/1.1 304 x\r\nContent-Length: 7\r\n\r\n",
	"HTTP/1.1 304 x\r\nTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.1 205 Reset\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\nTrailer: X\r\n\r\n2;a=b \r\nok\r\n00\r\nX: y\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\nConnection: close, x\r\n\r\nok",
}

// readByGo reads a response with Go's reader, interim ones included, and returns how many bytes it left.
func readByGo(text string) (left int, err error) {
	reader := bufio.NewReader(strings.NewReader(text))
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return 0, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return 0, err
		}
		rest, err := io.ReadAll(reader)
		return len(rest), err
	}
}

// checkAgreement checks that Go's reader finds the same end of a response as the Checker, if that finds
// a valid one.
func checkAgreement(t *testing.T, text string) (complete bool) {
	t.Helper()
	checker := NewChecker(http.MethodGet)
	valid, err := checker.Check([]byte(text))
	if err != nil || !checker.Complete() {
		return false
	}
	left, err := readByGo(text[:valid])
	if err != nil || left != 0 {
		t.Errorf("%q is valid, but Go's reader leaves %d bytes: %v", text[:valid], left, err)
	}
	return true
}

// TestGoReadsValidResponses guards against accepting what Go's reader, which comes next, reads as another
// response.
func TestGoReadsValidResponses(t *testing.T) {
	for _, text := range validResponses {
		if !checkAgreement(t, text) {
			t.Errorf("%q is refused", text)
		}
		for at := range len(text) {
			for _, replacement := range []string{"", " ", "\t", "\r", "\n", "\x00", "0", ";", ":", ",", "-", "\xff"} {
				checkAgreement(t, text[:at]+replacement+text[at+1:])
				checkAgreement(t, text[:at]+replacement+text[at:])
			}
		}
	}
}

// FuzzAgreement guards against the same for any bytes.
func FuzzAgreement(f *testing.F) {
	for _, text := range validResponses {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) { checkAgreement(t, text) })
}
