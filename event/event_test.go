package event

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestCatalogueMatchesDocument(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/EVENTS.md")
	is.NoErr(err)
	rows := strings.Count(string(page), "\n| ") - 2 // without the header row and its delimiter
	is.Equal(rows, len(Catalogue))
	for i, definition := range Catalogue {
		if i > 0 {
			is.True(Catalogue[i-1].Number < definition.Number) // ascending, no duplicates
		}
		row := fmt.Sprintf("| %d | %s | %s | %s |", definition.Number, definition.Name, definition.Level, definition.Text)
		is.True(strings.Contains(string(page), row)) // docs/EVENTS.md has this row
	}
}

func TestEmitWritesNumberAndName(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	logger := NewLogger(Options{Output: &output, Level: "info", JSON: true, Name: "node"})
	logger.With("zone", "z1").Emit(MemberDead, "member", "n1")
	var line struct {
		Event   int    `json:"event"`
		Message string `json:"@message"`
		Level   string `json:"@level"`
		Zone    string `json:"zone"`
		Member  string `json:"member"`
	}
	is.NoErr(json.Unmarshal(output.Bytes(), &line))
	is.Equal(line.Event, int(MemberDead))
	is.Equal(line.Message, "member-dead")
	is.Equal(line.Level, "warn")
	is.Equal(line.Zone, "z1")
	is.Equal(line.Member, "n1")
}
