// Package golden compares output of the code with golden files in testdata, written by an
// earlier version. It guards messages on the wire, stored data, settings and command
// output, which must not change by a single byte.
//
// If a golden file does not exist, it is written and the test fails, so that the file is
// reviewed before it is committed. Existing files are never overwritten.
package golden

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
)

// folder is the folder of golden files, relative to the package under test.
const folder = "testdata/golden"

// Text checks that got equals the content of a golden file.
func Text(t *testing.T, file string, got []byte) {
	t.Helper()
	want := read(t, file, got)
	if !bytes.Equal(got, want) {
		t.Errorf("%s: want\n%s\ngot\n%s", file, want, got)
	}
}

// Message checks the JSON encoding of a type. The golden file has two lines: a value in
// which every field is set, and the zero value. Both lines must also decode and encode
// again without a difference.
//
// The set values depend on the order of the fields, not on their names. A field may be
// renamed in Go, but its key, type and position in the JSON must not change.
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
			t.Errorf("%s: decoding %s: %v", file, line, err)
			continue
		}
		if again := encode(t, decoded); !bytes.Equal(again, line) {
			t.Errorf("%s: %s became %s after decoding and encoding", file, line, again)
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

// read returns the content of a golden file. If the file does not exist, read writes got
// to it and marks the test as failed.
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
