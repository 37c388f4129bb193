package wire

import (
	"net/url"
	"strconv"
	"strings"
)

// The metadata of a call is sent in one header, as a list of named values:
// "service=booking,left=250000,hops=2". One header with many values is cheaper to write,
// read and send than one header per value, and is still readable in a traffic dump. Zero
// and empty values are left out and unknown names are ignored, so that processes of
// different versions are compatible.

// listWriter writes a list of named values.
type listWriter struct {
	text strings.Builder
}

// listSize is the initial capacity for a list, in bytes. Most lists are shorter.
const listSize = 160

func newListWriter() *listWriter {
	w := &listWriter{}
	w.text.Grow(listSize)
	return w
}

func (w *listWriter) addText(name, value string) {
	if value == "" {
		return
	}
	if w.text.Len() > 0 {
		w.text.WriteByte(',')
	}
	w.text.WriteString(name)
	w.text.WriteByte('=')
	w.text.WriteString(url.QueryEscape(value))
}

func (w *listWriter) addNumber(name string, value int64) {
	if value != 0 {
		w.addText(name, strconv.FormatInt(value, 10))
	}
}

func (w *listWriter) addFlag(name string, set bool) {
	if set {
		w.addNumber(name, 1)
	}
}

func (w *listWriter) String() string { return w.text.String() }

// readList calls visit with each named value of a list. It skips malformed elements.
func readList(text string, visit func(name, value string)) {
	for text != "" {
		var element string
		element, text, _ = strings.Cut(text, ",")
		name, escaped, found := strings.Cut(element, "=")
		if !found {
			continue
		}
		value, err := url.QueryUnescape(escaped)
		if err != nil {
			continue
		}
		visit(name, value)
	}
}

// parseNumber parses an integer. A malformed number counts as left out, that is, as 0.
func parseNumber(text string) int64 {
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return value
}
