package partial

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// texts returns undecoded values as texts.
func texts[T ~[]byte](values []T) []string {
	list := []string{}
	for _, value := range values {
		list = append(list, string(value))
	}
	return list
}

// TestElements guards against cutting entries at the wrong place.
func TestElements(t *testing.T) {
	nested := strings.Repeat("[", 1_000_000) + strings.Repeat("]", 1_000_000)
	cases := map[string][]string{
		"[]":                         {},
		" [ ] ":                      {},
		"[1]":                        {"1"},
		"[1,2 , 3]":                  {"1", "2", "3"},
		`["a,]","\\",{"b":[",\""]}]`: {`"a,]"`, `"\\"`, `{"b":[",\""]}`},
		"[1e999,-0.5e-7,null,true]":  {"1e999", "-0.5e-7", "null", "true"},
		"[[1,[2]],{}]":               {"[1,[2]]", "{}"},
		"[" + nested + ",7]":         {nested, "7"},
	}
	for array, want := range cases {
		is := is.New(t)
		got, err := Elements([]byte(array))
		is.NoErr(err)
		is.True(strings.Join(texts(got), " ") == strings.Join(want, " "))
	}
}

// TestMembers guards against cutting members at the wrong place.
func TestMembers(t *testing.T) {
	is := is.New(t)
	got, err := Members([]byte(` {"a":1, "b,\"" : ["x:}"] ,"c":{"d":{}}} `))
	is.NoErr(err)
	is.Equal(len(got), 3)
	is.Equal(string(got["a"]), "1")
	is.Equal(string(got["b,\""]), `["x:}"]`)
	is.Equal(string(got["c"]), `{"d":{}}`)
	got, err = Members([]byte("{}"))
	is.NoErr(err)
	is.Equal(len(got), 0)
}

// TestNoList guards against taking a part of a list for the whole.
func TestNoList(t *testing.T) {
	for _, text := range []string{"", "x", "nul", "[", "[1", "[1,", "[1,]", "[,1]", "[,]", "[:]", "[1 2]", "[[1]", `["a]`, `["\"]`, "[1]]", "[1] 2", "[1,2}", "{1]"} {
		is := is.New(t)
		_, err := Elements([]byte(text))
		var syntax *SyntaxError
		is.True(errors.As(err, &syntax))
	}
	for _, text := range []string{"", "x", "[]", "{", `{"a"}`, `{"a":}`, `{"a":1,}`, `{"a":1`, `{a:1}`, `{1:1}`, `{"a":1 "b":2}`, `{"a":1}}`, `{"a`, `{[]:1}`} {
		is := is.New(t)
		_, err := Members([]byte(text))
		var syntax *SyntaxError
		is.True(errors.As(err, &syntax))
	}
}

// FuzzList guards against a panic, an endless loop and values that are no part of the text.
func FuzzList(f *testing.F) {
	for _, seed := range []string{`[1,"a",{"b":[]}]`, `{"a":1}`, `["\\`, `[[[`, `{"a":"b"`} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		elements, _ := Elements([]byte(text))
		members, _ := Members([]byte(text))
		total := 0
		for _, element := range elements {
			total += len(element)
		}
		for _, member := range members {
			total += len(member)
		}
		if total > len(text) {
			t.Errorf("%d bytes of values in %d", total, len(text))
		}
	})
}
