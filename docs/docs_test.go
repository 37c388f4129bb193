// Package docs holds the documentation. Its tests check the pages against the code.
package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/kernel"
)

// TestArchitectureListsChains checks that the tables and the diagram of ARCHITECTURE.md list
// the plug-ins in the order of kernel/chain.go.
func TestArchitectureListsChains(t *testing.T) {
	is := is.New(t)
	content, err := os.ReadFile("ARCHITECTURE.md")
	is.NoErr(err)
	page := string(content)
	_, afterOutbound, found := strings.Cut(page, "| outbound: ")
	is.True(found)
	outbound, afterInbound, found := strings.Cut(afterOutbound, "| inbound: ")
	is.True(found)
	inbound, _, _ := strings.Cut(afterInbound, "\n\n")
	is.Equal(pluginsInTable(outbound), kernel.OutboundChain)
	is.Equal(pluginsInTable(inbound), kernel.InboundChain)
	is.True(strings.Contains(page, "outbound chain: "+strings.Join(kernel.OutboundChain, " ▸ ")))
	is.True(strings.Contains(page, "inbound chain: "+strings.Join(kernel.InboundChain, " ▸ ")))
}

var pluginRowPattern = regexp.MustCompile(`(?m)^\| \[([a-z]+)\]`)

// pluginsInTable returns the plug-in linked at the start of each row.
func pluginsInTable(table string) []string {
	names := []string{}
	for _, row := range pluginRowPattern.FindAllStringSubmatch(table, -1) {
		names = append(names, row[1])
	}
	return names
}

var linkPattern = regexp.MustCompile(`\]\(([^)#: ]+)(#[^)]*)?\)`)

// ignoredFolders are not searched for pages.
var ignoredFolders = []string{".git", "journal", "target", "bin", "testdata"}

// TestRelativeLinksResolve checks that the relative links of all pages point to existing
// files.
func TestRelativeLinksResolve(t *testing.T) {
	is := is.New(t)
	is.NoErr(filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && slices.Contains(ignoredFolders, entry.Name()) {
			return filepath.SkipDir
		}
		if filepath.Ext(path) == ".md" {
			checkLinks(t, path)
		}
		return nil
	}))
}

func checkLinks(t *testing.T, page string) {
	t.Helper()
	content, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	for _, found := range linkPattern.FindAllStringSubmatch(string(content), -1) {
		if _, err := os.Stat(filepath.Join(filepath.Dir(page), found[1])); err != nil {
			t.Errorf("%s: the link to %s points to no file", page, found[1])
		}
	}
}

var testNamePattern = regexp.MustCompile(`\bTest[A-Z]\w+`)

// TestNamedTestsExist checks that every test named by a page exists. FINDINGS.md and the
// folder history are exempt, since they keep names as they were.
func TestNamedTestsExist(t *testing.T) {
	is := is.New(t)
	code := &strings.Builder{}
	is.NoErr(filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		content, err := os.ReadFile(path)
		code.Write(content)
		return err
	}))
	pages, err := filepath.Glob("*.md")
	is.NoErr(err)
	for _, folder := range []string{"design", "incidents"} {
		found, err := filepath.Glob(folder + "/*.md")
		is.NoErr(err)
		pages = append(pages, found...)
	}
	pages = slices.DeleteFunc(pages, func(page string) bool { return page == "FINDINGS.md" })
	for _, page := range pages {
		content, err := os.ReadFile(page)
		is.NoErr(err)
		for _, name := range testNamePattern.FindAllString(string(content), -1) {
			if !strings.Contains(code.String(), "func "+name+"(") {
				t.Errorf("%s names %s, which no test file defines", page, name)
			}
		}
	}
}

var codeNamePattern = regexp.MustCompile("`([a-z]+)((?:\\.[A-Z]\\w*)+)`")

// TestGlossaryNamesExist checks that every identifier in GLOSSARY.md, such as
// `policy.Route.Public`, occurs in the source of its package.
func TestGlossaryNamesExist(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("GLOSSARY.md")
	is.NoErr(err)
	names := codeNamePattern.FindAllStringSubmatch(string(page), -1)
	is.True(len(names) > 0)
	for _, name := range names {
		code := packageSource(t, name[1])
		for _, identifier := range strings.Split(strings.TrimPrefix(name[2], "."), ".") {
			if !regexp.MustCompile(`\b` + identifier + `\b`).MatchString(code) {
				t.Errorf("GLOSSARY.md names %s%s, but package %s has no %s", name[1], name[2], name[1], identifier)
			}
		}
	}
}

// packageSource returns the source of a package without its tests.
func packageSource(t *testing.T, name string) string {
	t.Helper()
	folder := filepath.Join("..", name)
	if _, err := os.Stat(folder); err != nil {
		folder = filepath.Join("..", "internal", name)
	}
	files, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	code := &strings.Builder{}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.HasSuffix(file, "_test.go") {
			code.Write(content)
		}
	}
	return code.String()
}
