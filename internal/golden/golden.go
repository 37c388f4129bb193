// Package golden compares what the code writes with files in testdata that were written
// by an earlier version: the wire, stored data, settings and output that operators rely
// on must stay as they are, byte for byte.
//
// A file that does not exist yet is written and the test fails, so that the file is read
// before it is committed. Files that exist are never written.
package golden

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
)

// folder holds the files, relative to the package under test.
const folder = "testdata/golden"

// Text checks that got is what the file holds.
func Text(t *testing.T, file string, got []byte) {
	t.Helper()
	want := read(t, file, got)
	if !bytes.Equal(got, want) {
		t.Errorf("%s holds\n%s\nbut the code wrote\n%s", file, want, got)
	}
}

// Message checks the JSON of a type: a value in which every field is set and the zero
// value are written as the two lines of the file, and both lines are read and written
// again without a difference.
//
// The values follow the order of the fields and not their names, so that a field may be
// renamed in Go but neither its key nor its type nor its place in the JSON may change.
func Message[T any](t *testing.T, file string) {
	t.Helper()
	lines := []byte{}
	for _, value := range []T{Filled[T](), *new(T)} {
		lines = append(append(lines, encode(t, value)...), '\n')
	}
	Text(t, file, lines)
	for _, line := range bytes.Split(bytes.TrimSpace(lines), []byte("\n")) {
		var decoded T
		if err := json.Unmarshal(line, &decoded); err != nil {
			t.Errorf("%s: %s is not read: %v", file, line, err)
			continue
		}
		if again := encode(t, decoded); !bytes.Equal(again, line) {
			t.Errorf("%s: %s becomes %s once it was read", file, line, again)
		}
	}
}

func encode(t *testing.T, value any) []byte {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// read returns what a file holds. One that does not exist is written.
func read(t *testing.T, file string, got []byte) []byte {
	t.Helper()
	path := filepath.Join(folder, file)
	want, err := os.ReadFile(path)
	if err == nil {
		return want
	}
	if !os.IsNotExist(err) {
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, got, 0o644); err != nil {
		t.Fatal(err)
	}
	t.Errorf("%s did not exist and was written", path)
	return got
}
