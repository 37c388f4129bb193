package replay

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func TestRecordedTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			trace, err := Load(file)
			is.NoErr(err)
			mismatches, err := Run(trace)
			is.NoErr(err)
			for _, mismatch := range mismatches {
				t.Error(mismatch)
			}
		})
	}
}

// Guards against a replay that passes whatever the code decides.
func TestMismatchReported(t *testing.T) {
	is := is.New(t)
	trace := Trace{Runner: "spread", Steps: []Step{{Do: "offer", Count: 2, Expect: "revision 2"}, {Do: "offer", Count: 1, Expect: "revision 1"}}}
	mismatches, err := Run(trace)
	is.NoErr(err)
	is.Equal(len(mismatches), 1)
	is.Equal(mismatches[0].Number, 2)
	_, err = Run(Trace{Runner: "spread", Steps: []Step{{Do: "sing"}}})
	is.True(err != nil)
}
