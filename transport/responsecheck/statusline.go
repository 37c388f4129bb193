package responsecheck

import (
	"bytes"
	"net/http"
)

// Range of status codes (RFC 9110, section 15).
const (
	lowestStatus  = 100
	highestStatus = 599
)

// versionPrefix begins the status line of each version that has the syntax of HTTP/1.1.
const versionPrefix = "HTTP/1."

// statusLine is the content of a status line.
type statusLine struct {
	minorVersion int
	status       int
}

// parseStatusLine parses a status line without its end. The blank between the status and a missing
// reason phrase may be missing too.
func parseStatusLine(line []byte) (statusLine, error) {
	version, rest, found := bytes.Cut(line, []byte{' '})
	if !found || len(version) != len(versionPrefix)+1 || !bytes.HasPrefix(version, []byte(versionPrefix)) || !isDigit(version[len(version)-1]) {
		return statusLine{}, invalid(StatusLine, "no version 1.x of HTTP in %s", quoted(line))
	}
	code, reason, _ := bytes.Cut(rest, []byte{' '})
	if len(code) != 3 || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) {
		return statusLine{}, invalid(StatusLine, "no status of three digits in %s", quoted(line))
	}
	status := int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0')
	if status < lowestStatus || status > highestStatus {
		return statusLine{}, invalid(StatusLine, "status %s is not in %d to %d", code, lowestStatus, highestStatus)
	}
	if status == http.StatusSwitchingProtocols {
		return statusLine{}, invalid(StatusLine, "the protocol is switched without a request to do so")
	}
	if at := invalidTextByte(reason); at >= 0 {
		return statusLine{}, invalid(StatusLine, "byte %#02x in the reason phrase", reason[at])
	}
	return statusLine{minorVersion: int(version[len(version)-1] - '0'), status: status}, nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// invalidTextByte returns the index of the first byte that a reason phrase or the value of a field
// must not hold, -1 if there is none.
func invalidTextByte(text []byte) int {
	for i, b := range text {
		if !isTextByte[b] {
			return i
		}
	}
	return -1
}

// isTextByte tells for each byte whether it is a tab, a blank, a visible character or above ASCII.
var isTextByte = func() (allowed [256]bool) {
	for b := ' '; b <= 0xff; b++ {
		allowed[b] = b != 0x7f
	}
	allowed['\t'] = true
	return allowed
}()
