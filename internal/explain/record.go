// Package explain tells the story of one request from the logs of several
// processes: what each decided about it, in order of cause, and what they believed.
//
// It owns how lines are linked: by the name of a request, by the parent that a call was
// made for, and by the signature of what was asked for. It relies on the numbered events
// and results alone, and on no process that runs.
//
// Clocks of machines differ and jump, so that times of day of different logs are
// not compared. Lines of one log are in order; between logs, what a call's own
// calls came to stands before what became of the call.
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

// Record is one line of a log. Fields that the line does not have are zero.
type Record struct {
	// Origin names the log: the text before the line's object when there is any,
	// as collectors of logs put it there, else the name of the file.
	Origin string `json:"-"`
	// Position is the number of the line among all that were read.
	Position int `json:"-"`
	// Text is the object as it was written.
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
	// Signature names what the request asked for, the same for all its tries.
	Signature string `json:"signature"`
	// Signatures are those of the requests that were lost with a back end.
	Signatures []string `json:"signatures"`
}

// maximumLine bounds the length of a line of a log, in bytes. Longer ones are an
// error of the reader.
const maximumLine = 1 << 20

// Append reads the lines of one log and adds them to those of others. Lines without
// an object of the log are passed over. It returns a result.BadRequest error when
// the log cannot be read.
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
		return nil, result.Wrap(result.BadRequest, err, "reading the log %s", name)
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

// originOf takes the last word before a line's object, since what stands before
// it is a time, if anything.
func originOf(name, before string) string {
	words := strings.Fields(before)
	if len(words) == 0 {
		return name
	}
	return words[len(words)-1]
}
