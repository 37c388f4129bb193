package responsecheck

import (
	"bytes"
	"net/http"
)

// Checker checks the bytes of one response, with the interim responses before it.
type Checker struct {
	// headRequest is true if the method of the request is HEAD, so that the response has no content.
	headRequest bool
	state       state
	// line is the beginning of a line whose end has not arrived.
	line    []byte
	head    statusLine
	framing framing
	// left is the number of bytes of the content, or of its chunk, that have not arrived.
	left   int64
	budget budget
}

// NewChecker returns a Checker of the response to a request with the given method.
func NewChecker(method string) Checker {
	return Checker{headRequest: method == http.MethodHead, budget: fullBudget}
}

// state is the part of the response that comes next.
type state int

const (
	inStatusLine state = iota
	inFields
	inFixedContent
	inContentUntilClose
	inChunkSize
	inChunk
	inChunkEnd
	inTrailers
	complete
)

// Complete reports whether the whole response has been checked.
func (c *Checker) Complete() bool { return c.state == complete }

// UntilClose reports whether the content ends with the connection, as far as is known by now.
func (c *Checker) UntilClose() bool { return c.state == inContentUntilClose }

// Check checks the next bytes of the response. It returns how many of them are valid, and an *Error
// if one is not. The end of a head is valid only if the whole head is. Bytes behind the response are
// neither valid nor an error.
func (c *Checker) Check(data []byte) (valid int, err error) {
	for valid < len(data) && !c.Complete() {
		n, err := c.advance(data[valid:])
		if err != nil {
			return valid, err
		}
		valid += n
	}
	return valid, nil
}

// advance checks the beginning of data and returns its length.
func (c *Checker) advance(data []byte) (int, error) {
	switch c.state {
	case inContentUntilClose:
		return len(data), nil
	case inFixedContent:
		return c.skipContent(data, complete), nil
	case inChunk:
		return c.skipContent(data, inChunkEnd), nil
	default:
		return c.advanceLine(data)
	}
}

// skipContent returns how much of data is content of a known length, after which next comes.
func (c *Checker) skipContent(data []byte, next state) int {
	n := min(c.left, int64(len(data)))
	c.left -= n
	if c.left == 0 {
		c.state = next
	}
	return int(n)
}

// advanceLine checks a line if data completes one, and stores its beginning otherwise.
func (c *Checker) advanceLine(data []byte) (int, error) {
	end := bytes.IndexByte(data, '\n')
	n := end + 1
	if end < 0 {
		n = len(data)
	}
	if err := c.budget.spendLine(c.state, len(c.line)+n, n); err != nil {
		return 0, err
	}
	if end < 0 {
		c.line = append(c.line, data...)
		return n, nil
	}
	line := data[:n]
	if len(c.line) > 0 {
		line = append(c.line, line...)
		c.line = nil
	}
	return n, c.checkLine(line)
}

// checkLine checks a complete line with its end. In a head, a line feed without a carriage return ends
// it too.
func (c *Checker) checkLine(line []byte) error {
	line = line[:len(line)-1]
	content, hasReturn := bytes.CutSuffix(line, []byte{'\r'})
	switch c.state {
	case inStatusLine:
		return c.beginHead(content)
	case inFields:
		return c.addField(content)
	case inTrailers:
		return c.addTrailer(content, hasReturn)
	default:
		return c.addChunkLine(content, hasReturn)
	}
}

func (c *Checker) beginHead(line []byte) error {
	head, err := parseStatusLine(line)
	c.head, c.framing = head, framing{}
	c.state = inFields
	return err
}

func (c *Checker) addField(line []byte) error {
	if len(line) == 0 {
		return c.endHead()
	}
	if err := c.budget.spendField(); err != nil {
		return err
	}
	parsed, err := parseField(Field, line)
	if err != nil {
		return err
	}
	return c.framing.record(parsed)
}

// addChunkLine checks the line before or behind a chunk.
func (c *Checker) addChunkLine(line []byte, hasReturn bool) error {
	if !hasReturn {
		return invalid(Chunk, "a line ends without a carriage return")
	}
	if c.state == inChunkEnd {
		c.state = inChunkSize
		if len(line) > 0 {
			return invalid(Chunk, "it is longer than its size")
		}
		return nil
	}
	size, err := parseChunkSize(line)
	c.state, c.left = inChunk, size
	if size == 0 {
		c.state = inTrailers
	}
	return err
}

func (c *Checker) addTrailer(line []byte, hasReturn bool) error {
	if !hasReturn {
		return invalid(Trailer, "a line ends without a carriage return")
	}
	if len(line) == 0 {
		c.state = complete
		return nil
	}
	return checkTrailer(line)
}

// endHead continues with what follows the head: the content, or another response after an interim
// one.
func (c *Checker) endHead() error {
	kind, err := c.framing.content(c.head, c.headRequest)
	if err != nil {
		return err
	}
	switch {
	case c.head.status < http.StatusOK:
		c.state = inStatusLine
		return c.budget.spendInterim()
	case kind == chunkedContent:
		c.state = inChunkSize
	case kind == contentUntilClose:
		c.state = inContentUntilClose
	case kind == fixedContent && c.framing.length > 0:
		c.state, c.left = inFixedContent, c.framing.length
	default:
		c.state = complete
	}
	return nil
}
