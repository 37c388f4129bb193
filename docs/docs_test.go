// Package docs holds the pages. Its tests compare them with the code.
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

// TestTheArchitectureListsTheChains: its tables name the plug-ins in the order of
// kernel/chain.go, and so does its drawing.
func TestTheArchitectureListsTheChains(t *testing.T) {
	is := is.New(t)
	content, err := os.ReadFile("ARCHITECTURE.md")
	is.NoErr(err)
	page := string(content)
	_, afterOutbound, found := strings.Cut(page, "| outbound: ")
	is.True(found)
	outbound, afterInbound, found := strings.Cut(afterOutbound, "| inbound: ")
	is.True(found)
	inbound, _, _ := strings.Cut(afterInbound, "\n\n")
	is.Equal(rowsOf(outbound), kernel.OutboundChain)
	is.Equal(rowsOf(inbound), kernel.InboundChain)
	is.True(strings.Contains(page, "outbound chain: "+strings.Join(kernel.OutboundChain, " ▸ ")))
	is.True(strings.Contains(page, "inbound chain: "+strings.Join(kernel.InboundChain, " ▸ ")))
}

var pluginRow = regexp.MustCompile(`(?m)^\| \[([a-z]+)\]`)

// rowsOf returns the plug-ins that the rows of a table begin with.
func rowsOf(table string) []string {
	names := []string{}
	for _, row := range pluginRow.FindAllStringSubmatch(table, -1) {
		names = append(names, row[1])
	}
	return names
}

var link = regexp.MustCompile(`\]\(([^)#: ]+)(#[^)]*)?\)`)

// ignored are folders whose pages are not ours, or not pages.
var ignored = []string{".git", "journal", "target", "bin", "testdata"}

// TestLinksLeadSomewhere checks the relative links of all pages.
func TestLinksLeadSomewhere(t *testing.T) {
	is := is.New(t)
	is.NoErr(filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && slices.Contains(ignored, entry.Name()) {
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
	for _, found := range link.FindAllStringSubmatch(string(content), -1) {
		if _, err := os.Stat(filepath.Join(filepath.Dir(page), found[1])); err != nil {
			t.Errorf("%s: the link to %s leads nowhere", page, found[1])
		}
	}
}

var testName = regexp.MustCompile(`\bTest[A-Z]\w+`)

// TestNamedTestsExist: each test that a page names is there. Pages about the past keep the
// names of their time.
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
		for _, name := range testName.FindAllString(string(content), -1) {
			if !strings.Contains(code.String(), "func "+name+"(") {
				t.Errorf("%s names %s, which is nowhere", page, name)
			}
		}
	}
}

var codeName = regexp.MustCompile("`([a-z]+)((?:\\.[A-Z]\\w*)+)`")

// TestTheGlossaryAgreesWithTheCode: each name in it, such as `policy.Route.Public`, stands
// in the package that it names.
func TestTheGlossaryAgreesWithTheCode(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("GLOSSARY.md")
	is.NoErr(err)
	names := codeName.FindAllStringSubmatch(string(page), -1)
	is.True(len(names) > 0)
	for _, name := range names {
		code := codeOf(t, name[1])
		for _, identifier := range strings.Split(strings.TrimPrefix(name[2], "."), ".") {
			if !regexp.MustCompile(`\b` + identifier + `\b`).MatchString(code) {
				t.Errorf("GLOSSARY.md names %s%s, but package %s has no %s", name[1], name[2], name[1], identifier)
			}
		}
	}
}

// codeOf returns the code of a package of the product.
func codeOf(t *testing.T, name string) string {
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
