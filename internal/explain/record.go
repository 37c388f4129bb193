// Package explain reconstructs from the logs of several processes what happened to a
// request: what each process decided about it, causes first, and the earlier log lines
// that show the state in which it decided.
//
// It links log lines by the name of the request, by the parent request of a call, and by
// the signature of the request's content. It relies only on the numbered events and
// results in the logs, not on running processes.
//
// Times of day in different logs are not compared, since clocks of machines differ and
// step. Lines of one log keep their order; between logs, the outcomes of the calls made
// for a request come before the outcome of the request.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/result"
)

// Record is one log line. Fields that the line does not contain are zero.
type Record struct {
	// Origin identifies the process that wrote the line: the last word before the
	// line's JSON object, as log collectors add it, or else the name of the log file.
	Origin string `json:"-"`
	// Position is the index of the record among all that were read.
	Position int `json:"-"`
	// Text is the line's JSON object, unchanged.
	Text string `json:"-"`

	Event       event.Number `json:"event"`
	Name        string       `json:"@message"`
	ID          string       `json:"id"`
	Request     string       `json:"request"`
	UserRequest string       `json:"user_request"`
	Parent      string       `json:"parent"`
	Direction   string       `json:"direction"`
	Hops        int          `json:"hops"`
	Service     string       `json:"service"`
	Path        string       `json:"path"`
	Code        result.Code  `json:"code"`
	Detail      string       `json:"detail"`
	Outcome     string       `json:"outcome"`
	Status      int          `json:"status"`
	Revision    uint64       `json:"revision"`
	Tried       []string     `json:"tried"`
	Member      string       `json:"member"`
	Node        string       `json:"node"`
	Instance    string       `json:"instance"`
	Suppressed  int64        `json:"suppressed"`
	// Signature identifies the content of the request. It is the same for all attempts
	// and client retries.
	Signature string `json:"signature"`
	// Signatures are those of the requests in flight when a back end crashed.
	Signatures []string `json:"signatures"`
}

// maximumLine bounds the length of a log line, in bytes. Append fails on longer lines.
const maximumLine = 1 << 20

// Append reads a log and appends its records to those of other logs. It skips lines that
// contain no numbered event. It returns a result.BadRequest error if the log cannot be
// read.
func Append(records []Record, name string, from io.Reader) ([]Record, error) {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maximumLine)
	for lines.Scan() {
		if record, ok := parse(name, lines.Bytes()); ok {
			record.Position = len(records)
			records = append(records, record)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, result.Wrap(result.BadRequest, err, "reading log %s", name)
	}
	return records, nil
}

func parse(name string, line []byte) (Record, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return Record{}, false
	}
	var record Record
	if json.Unmarshal(line[start:], &record) != nil || record.Event == 0 {
		return Record{}, false
	}
	record.Origin = originOf(name, string(line[:start]))
	record.Text = string(line[start:])
	return record, true
}

// originOf returns the last word before a line's JSON object, or name if there is none.
// Log collectors may put a time before that word.
func originOf(name, before string) string {
	words := strings.Fields(before)
	if len(words) == 0 {
		return name
	}
	return words[len(words)-1]
}
