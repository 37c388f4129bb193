package responsecheck

import (
	"bytes"
	"net/http"
)

// Checker checks the bytes of one response, with the interim responses before it. The zero value is
// ready to use.
type Checker struct {
	state state
	// line is the beginning of a line whose end has not arrived.
	line []byte
	head statusLine
}

// state is the part of the response that comes next.
type state int

const (
	inStatusLine state = iota
	inFields
	inContent
)

// Check checks the next bytes of the response. It returns how many of them are valid, and an *Error
// if these are not all. The end of a head is valid only if the whole head is.
func (c *Checker) Check(data []byte) (valid int, err error) {
	for valid < len(data) {
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
	if c.state == inContent {
		return len(data), nil
	}
	line, n, complete := c.takeLine(data)
	if !complete {
		return n, nil
	}
	err := c.checkLine(trimLineEnd(line))
	c.line = c.line[:0]
	return n, err
}

// takeLine returns the line at the beginning of data, with its end, and how much of data belongs to
// it. An incomplete line is stored.
func (c *Checker) takeLine(data []byte) (line []byte, n int, complete bool) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		c.line = append(c.line, data...)
		return nil, len(data), false
	}
	n = end + 1
	if len(c.line) == 0 {
		return data[:n], n, true
	}
	c.line = append(c.line, data[:n]...)
	return c.line, n, true
}

// trimLineEnd removes the end of a line, for which a line feed without a carriage return is accepted.
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'})
}

// checkLine checks a complete line.
func (c *Checker) checkLine(line []byte) error {
	switch c.state {
	case inStatusLine:
		head, err := parseStatusLine(line)
		if err != nil {
			return err
		}
		c.head = head
		c.state = inFields
	case inFields:
		if len(line) == 0 {
			c.endHead()
			return nil
		}
		_, err := parseField(Field, line)
		return err
	}
	return nil
}

// endHead continues with what follows the head: another response after an interim one.
func (c *Checker) endHead() {
	if c.head.status < http.StatusOK {
		c.state = inStatusLine
		return
	}
	c.state = inContent
}
