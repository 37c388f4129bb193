package kernel_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// upperFolders hold programs, tests and tools, which may import internal/.
var upperFolders = []string{"internal/", "cmd/", "e2e/", "target/", ".git/"}

// TestProductDoesNotImportInternal guards against product packages that depend on the
// stubs, labs and command lines in internal/.
func TestProductDoesNotImportInternal(t *testing.T) {
	is := is.New(t)
	root := ".."
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil || isUpper(relative) {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, imported := range file.Imports {
			if strings.Contains(imported.Path.Value, "loomcleat/internal/") {
				t.Errorf("%s imports %s", relative, imported.Path.Value)
			}
		}
		return nil
	})
	is.NoErr(err)
}

func isUpper(relative string) bool {
	for _, folder := range upperFolders {
		if strings.HasPrefix(filepath.ToSlash(relative), folder) {
			return true
		}
	}
	return false
}
