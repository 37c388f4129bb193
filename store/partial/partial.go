// Package partial splits JSON lists without decoding their entries, so that an entry which another
// writer has left, and which no decoder accepts, does not hide the others.
//
// It only finds where values end, and keeps no state. What it returns must be decoded, which checks it.
package partial

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// SyntaxError reports that an object or an array has no such form.
type SyntaxError struct {
	// Offset is the number of bytes before the error.
	Offset int
	// Expected says what should have followed.
	Expected string
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("byte %d: %s expected", e.Offset, e.Expected)
}

// Elements returns the elements of a JSON array, undecoded, and none for null. It returns a
// *SyntaxError if the bytes are neither.
func Elements(array []byte) ([]json.RawMessage, error) {
	elements := []json.RawMessage{}
	if string(bytes.TrimSpace(array)) == "null" {
		return elements, nil
	}
	s := scanner{data: array}
	err := s.list('[', ']', func() error {
		value, err := s.value()
		elements = append(elements, value)
		return err
	})
	return elements, err
}

// Members returns the members of a JSON object by name, undecoded. It returns a *SyntaxError if the
// bytes are no object.
func Members(object []byte) (map[string]json.RawMessage, error) {
	members := map[string]json.RawMessage{}
	s := scanner{data: object}
	err := s.list('{', '}', func() error {
		name, err := s.name()
		if err != nil {
			return err
		}
		members[name], err = s.value()
		return err
	})
	return members, err
}

// scanner reads JSON from the beginning of data. It counts brackets but does not match them, so that
// deep nesting takes no memory.
type scanner struct {
	data []byte
	at   int
}

// list reads a whole list between two brackets. entry reads one of its entries.
func (s *scanner) list(begin, end byte, entry func() error) error {
	if !s.take(begin) {
		return s.expected(string(begin))
	}
	for first := true; !s.take(end); first = false {
		if !first && !s.take(',') {
			return s.expected("a comma")
		}
		if err := entry(); err != nil {
			return err
		}
	}
	s.skipSpace()
	if s.at < len(s.data) {
		return s.expected("the end")
	}
	return nil
}

// name reads the name of a member and the colon behind it.
func (s *scanner) name() (string, error) {
	text, err := s.value()
	if err != nil {
		return "", err
	}
	var name string
	if json.Unmarshal(text, &name) != nil || !s.take(':') {
		return "", s.expected("a name and a colon")
	}
	return name, nil
}

// value reads one value.
func (s *scanner) value() (json.RawMessage, error) {
	s.skipSpace()
	if s.at < len(s.data) && bytes.IndexByte([]byte(",:]}"), s.data[s.at]) >= 0 {
		return nil, s.expected("a value")
	}
	begin, depth := s.at, 0
	for s.at < len(s.data) {
		depth += s.token()
		if depth <= 0 {
			break
		}
	}
	if s.at == begin || depth != 0 {
		return nil, s.expected("a value")
	}
	return s.data[begin:s.at], nil
}

// token reads a string, a bracket, or a run of other bytes. It returns by how much that changes the
// depth.
func (s *scanner) token() (deeper int) {
	switch s.data[s.at] {
	case '"':
		s.skipString()
		return 0
	case '[', '{':
		s.at++
		return 1
	case ']', '}':
		s.at++
		return -1
	case ',', ':', ' ', '\t', '\r', '\n':
		s.at++
		return 0
	default:
		s.skipWord()
		return 0
	}
}

// skipString skips a string, up to the end of the data if it has none.
func (s *scanner) skipString() {
	for s.at++; s.at < len(s.data); s.at++ {
		switch s.data[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return
		}
	}
	s.at = len(s.data)
}

// skipWord skips a number or another word.
func (s *scanner) skipWord() {
	length := bytes.IndexAny(s.data[s.at:], "\"[]{},: \t\r\n")
	if length < 0 {
		length = len(s.data) - s.at
	}
	s.at += length
}

func (s *scanner) skipSpace() {
	rest := bytes.TrimLeft(s.data[s.at:], " \t\r\n")
	s.at = len(s.data) - len(rest)
}

// take skips a byte behind blanks and reports whether it is there.
func (s *scanner) take(expected byte) bool {
	s.skipSpace()
	if s.at >= len(s.data) || s.data[s.at] != expected {
		return false
	}
	s.at++
	return true
}

func (s *scanner) expected(what string) error { return &SyntaxError{Offset: s.at, Expected: what} }
