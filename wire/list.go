package wire

import (
	"net/url"
	"strconv"
	"strings"
)

// What processes tell each other about one call stands in one header, as a list of
// named values: "service=booking,left=250000,hops=2". One header of many values costs
// less to write, to read and to send than a header for each, and can still be read in
// a dump of the traffic. What is 0 or empty is left out, and unknown names are
// ignored, so that processes of two versions understand each other.

// listWriter writes such a list.
type listWriter struct {
	text strings.Builder
}

// listSize is the length that most lists stay below, in bytes.
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

// readList calls take with each named value of a list. Parts that can't be read are passed
// over, as unknown names are.
func readList(text string, take func(name, value string)) {
	for text != "" {
		var part string
		part, text, _ = strings.Cut(text, ",")
		name, escaped, found := strings.Cut(part, "=")
		if !found {
			continue
		}
		value, err := url.QueryUnescape(escaped)
		if err != nil {
			continue
		}
		take(name, value)
	}
}

// numberOf reads a whole number. Processes write nothing else; what can't be read counts
// as left out, as unknown names do.
func numberOf(text string) int64 {
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return value
}
