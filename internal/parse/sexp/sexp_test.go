package sexp

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"forkhead/internal/parse/diagnostic"
)

func TestParseKeepsPositionsAndQuotes(t *testing.T) {
	got, err := Parse("f", []byte("; a comment\n(a \"b c\" (d)) ; another\ne"))
	if err != nil {
		t.Fatalf("Parse of an example = error %v, want none", err)
	}
	at := func(line, col int) diagnostic.Pos { return diagnostic.Pos{File: "f", Line: line, Col: col} }
	want := []*Node{
		{Pos: at(2, 1), List: true, Items: []*Node{
			{Pos: at(2, 2), Atom: "a"},
			{Pos: at(2, 4), Atom: "b c", Quoted: true},
			{Pos: at(2, 10), List: true, Items: []*Node{{Pos: at(2, 11), Atom: "d"}}},
		}},
		{Pos: at(3, 1), Atom: "e"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("Parse of an example differs (-want +got):\n%s", diff)
	}
	if got[0].Head() != "a" || len(got[0].Args()) != 2 || got[1].Head() != "" || got[1].Args() != nil {
		t.Errorf("list (a \"b c\" (d)): got Head() %q and %d Args(), want \"a\" and 2; symbol e: got Head() %q and Args() %v, want \"\" and nil",
			got[0].Head(), len(got[0].Args()), got[1].Head(), got[1].Args())
	}
}

func TestParseUnescapesStrings(t *testing.T) {
	got, err := Parse("f", []byte(`"\"\\\n\t"`))
	if err != nil || len(got) != 1 || got[0].Atom != "\"\\\n\t" {
		t.Errorf("Parse of a string with each escape = %+v, error %v; want one atom of a quote, a backslash, a line feed and a tab, and no error",
			got, err)
	}
}

func TestParseErrorHasPosition(t *testing.T) {
	for text, want := range map[string]string{
		"(a":                                "f:1:1: this ( is never closed",
		"a)":                                "f:1:2: this ) closes no list",
		"\n \"a":                            "f:2:2: this string is never closed",
		"\"a\\":                             "f:1:1: this string is never closed",
		"\"a\n\"":                           "f:1:1: this string is not closed on its line",
		`"a\q"`:                             `f:1:3: unknown escape \q; want \" \\ \n or \t`,
		"\xff":                              "f: the file is not valid UTF-8; want UTF-8",
		strings.Repeat("(", MaxDepth+1):     "f:1:65: lists are nested too deeply; want at most 64 levels",
		strings.Repeat("a ", MaxNodes+1):    "f:1:400001: the file has too many nodes; want at most 200000 nodes",
		strings.Repeat(" ", MaxBytes) + "a": "f: the file has 1048577 bytes; want at most 1 MiB",
	} {
		_, err := Parse("f", []byte(text))
		if err == nil || err.Error() != want {
			t.Errorf("Parse(%.20q) = error %v, want %s", text, err, want)
		}
		if e := new(diagnostic.Error); !errors.As(err, &e) {
			t.Errorf("Parse(%.20q) = error of type %T, want a *diagnostic.Error, which has a position", text, err)
		}
	}
}

// settings holds the values that parseFields stores, one for each kind of Field.
type settings struct {
	Number   float64
	Int      int
	Duration time.Duration
	Bool     bool
	Text     string
	Choice   int
}

// parseFields parses a text whose settings are named after the kinds of Field: number, int, duration, bool, text and
// choice.
func parseFields(t *testing.T, text string) (settings, error) {
	t.Helper()
	nodes, err := Parse("f", []byte(text))
	if err != nil {
		t.Fatalf("Parse(%q) = error %v, want none", text, err)
	}
	var s settings
	errs := &diagnostic.List{}
	Fields(nodes, map[string]Field{
		"number": Number(&s.Number, 0.5, 2), "int": Int(&s.Int, 1, 3), "duration": Duration(&s.Duration, time.Second, time.Minute),
		"bool": Bool(&s.Bool), "text": Text(&s.Text), "choice": Choice(&s.Choice, map[string]int{"one": 1, "two": 2}),
	}, map[string]bool{"text": true}, errs)
	return s, errs.Err()
}

func TestFieldsStoresEachKind(t *testing.T) {
	got, err := parseFields(t, `(number 1.5) (int 3) (duration 2s) (bool yes) (text a) (text "b c") (choice two)`)
	want := settings{Number: 1.5, Int: 3, Duration: 2 * time.Second, Bool: true, Text: "b c", Choice: 2}
	if err != nil {
		t.Fatalf("Fields with a field of each kind = error %v, want none", err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("Fields with a field of each kind stored other values (-want +got):\n%s", diff)
	}
}

// TestFieldsErrorLeavesValueUnchanged checks the error that Fields adds for each kind of fault, and that a Field that
// returns an error stores nothing.
func TestFieldsErrorLeavesValueUnchanged(t *testing.T) {
	for text, want := range map[string]string{
		"a":                  "f:1:1: this is not a setting; want (name value ...)",
		"(tex a)":            `f:1:2: unknown setting "tex"; want text`,
		"(unheard-of a)":     `f:1:2: unknown setting "unheard-of"`,
		"(bool no)(bool no)": "f:1:10: bool stands here a second time",
		"(int)":              "f:1:1: int has 0; want exactly one value",
		"(int (a))":          "f:1:6: found a list in place of a word",
		"(number nan)":       `f:1:9: "nan"; want a number from 0.5 to 2`,
		"(number 0.4)":       `f:1:9: "0.4"; want a number from 0.5 to 2`,
		"(int 4)":            `f:1:6: "4"; want a whole number from 1 to 3`,
		"(duration 2)":       `f:1:11: "2"; want a duration from 1s to 1m0s, as 250ms or 1.5s`,
		"(bool maybe)":       `f:1:7: "maybe"; want yes or no`,
		"(choice three)":     `f:1:9: "three"; want one, two`,
	} {
		got, err := parseFields(t, text)
		if err == nil || err.Error() != want {
			t.Errorf("Fields of %s = error %v, want %s", text, err, want)
		}
		if diff := cmp.Diff(settings{}, got, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("Fields of %s stored a value in spite of the error (-want +got):\n%s", text, diff)
		}
	}
}
