package query

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestMain sets a fixed seed, so that every run draws the same filters and rows.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

var testFields = Fields{"team": Text, "class": Text, "waiting": Number, "done": Number}

// testRow is a row of testFields.
type testRow struct {
	texts   map[string]string
	numbers map[string]float64
}

// Text panics for a field that isn't of kind Text: a filter must never read one as a text.
func (r testRow) Text(field string) string {
	text, ok := r.texts[field]
	if !ok {
		panic("not a text field: " + field)
	}
	return text
}

// Number panics for a field that isn't of kind Number.
func (r testRow) Number(field string) float64 {
	number, ok := r.numbers[field]
	if !ok {
		panic("not a number field: " + field)
	}
	return number
}

func newTestRow(team, class string, waiting, done float64) testRow {
	return testRow{
		texts:   map[string]string{"team": team, "class": class},
		numbers: map[string]float64{"waiting": waiting, "done": done},
	}
}

// predicate reports whether a row matches; the tests compare a filter with it.
type predicate func(testRow) bool

// drawFilter draws a filter's text and the equivalent predicate.
func drawFilter(t *rapid.T, depth int) (string, predicate) {
	kind := rapid.IntRange(0, 5).Draw(t, "kind")
	if kind < 3 || depth == 0 {
		if rapid.Bool().Draw(t, "text") {
			return drawTextComparison(t)
		}
		return drawNumberComparison(t)
	}
	left, matchLeft := drawFilter(t, depth-1)
	if kind == 3 {
		return "not (" + left + ")", func(r testRow) bool { return !matchLeft(r) }
	}
	right, matchRight := drawFilter(t, depth-1)
	if rapid.Bool().Draw(t, "and") {
		return "(" + left + ") and (" + right + ")", func(r testRow) bool { return matchLeft(r) && matchRight(r) }
	}
	return "(" + left + ") or (" + right + ")", func(r testRow) bool { return matchLeft(r) || matchRight(r) }
}

func drawTextComparison(t *rapid.T) (string, predicate) {
	field := rapid.SampledFrom([]string{"team", "class"}).Draw(t, "field")
	want := rapid.SampledFrom([]string{"red", "blue", "e"}).Draw(t, "value")
	value := want
	if rapid.Bool().Draw(t, "quoted") {
		value = `"` + want + `"`
	}
	switch rapid.SampledFrom([]string{"=", "!=", "~"}).Draw(t, "op") {
	case "=":
		return field + " = " + value, func(r testRow) bool { return r.texts[field] == want }
	case "!=":
		return field + "!=" + value, func(r testRow) bool { return r.texts[field] != want }
	}
	return field + " ~ " + value, func(r testRow) bool { return strings.Contains(r.texts[field], want) }
}

func drawNumberComparison(t *rapid.T) (string, predicate) {
	field := rapid.SampledFrom([]string{"waiting", "done"}).Draw(t, "field")
	want := float64(rapid.IntRange(-1, 4).Draw(t, "number"))
	op := rapid.SampledFrom([]string{"=", "!=", "<", "<=", ">", ">="}).Draw(t, "op")
	return fmt.Sprintf("%s%s %g", field, op, want), func(r testRow) bool {
		actual := r.numbers[field]
		return map[string]bool{
			"=":  actual == want,
			"!=": actual != want,
			"<":  actual < want,
			"<=": actual <= want,
			">":  actual > want,
			">=": actual >= want,
		}[op]
	}
}

func drawRow(t *rapid.T) testRow {
	return newTestRow(
		rapid.SampledFrom([]string{"red", "blue", ""}).Draw(t, "team"),
		rapid.SampledFrom([]string{"red", "audit"}).Draw(t, "class"),
		float64(rapid.IntRange(-1, 4).Draw(t, "waiting")),
		float64(rapid.IntRange(-1, 4).Draw(t, "done")),
	)
}

func TestFilterMatchesLikePredicate(t *testing.T) {
	matched, unmatched := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		text, matches := drawFilter(t, 3)
		filter, err := Parse(text, testFields)
		if err != nil {
			t.Fatalf("%s: got error %v, want none", text, err)
		}
		for range 10 {
			row := drawRow(t)
			want := matches(row)
			if filter.Match(row, testFields) != want {
				t.Fatalf("%s matches %v: got %v, want %v", text, row, !want, want)
			}
			if want {
				matched++
			} else {
				unmatched++
			}
		}
	})
	if matched < 100 || unmatched < 100 {
		t.Fatalf("got %d rows that match and %d that don't, want at least 100 of each to test both results",
			matched, unmatched)
	}
}

// "not" binds more tightly than "and", which binds more tightly than "or"; an empty filter matches everything.
func TestOperatorPrecedence(t *testing.T) {
	row := newTestRow("red", "audit", 1, 0)
	for text, want := range map[string]bool{
		"": true,
		"team = blue and waiting = 1 or done = 0":   true,
		"done = 0 or waiting = 1 and team = blue":   true,
		"(done = 0 or waiting = 1) and team = blue": false,
		"not team = blue and done = 0":              true,
		"not not team = red":                        true,
	} {
		filter, err := Parse(text, testFields)
		if err != nil || filter.Match(row, testFields) != want {
			t.Errorf("%q: got match %v and error %v", text, filter.Match(row, testFields), err)
		}
	}
}

// An error has the column of the fault. Filters that are too long or nested too deeply are refused.
func TestParseErrorsHaveColumn(t *testing.T) {
	for text, want := range map[string]int{
		"team = ":                   8,
		"teem = red":                1,
		"team = red and waitin > 3": 16,
		"waiting > many":            11,
		"waiting ~ 3":               1,
		"team < red":                1,
		"(team = red":               12,
		"team = red)":               11,
		"team = red & done = 1":     12,
		strings.Repeat("(", 100) + "done = 1" + strings.Repeat(")", 100): 1,
		strings.Repeat("not ", 400) + "done = 1":                         1,
		strings.Repeat("x", 3000):                                        maxFilterBytes,
	} {
		_, err := Parse(text, testFields)
		var filterError *Error
		if !errors.As(err, &filterError) || filterError.Column != want {
			t.Errorf("%.60q: got error %v, want one in column %d", text, err, want)
		}
	}
}

func TestNumberOfComparisonsIsBounded(t *testing.T) {
	_, err := Parse(strings.Repeat("done = 1 or ", 70)+"done = 1", testFields)
	if err == nil || !strings.Contains(err.Error(), "at most 64") {
		t.Errorf("filter with 71 comparisons: got error %v, want the bound of 64 in its text", err)
	}
}

// Every text either parses to a filter that can match rows or gives an error with a column.
func FuzzParse(f *testing.F) {
	for _, text := range []string{
		"team = red",
		`class ~ "a b" and not (done >= 3 or waiting < -1.5)`,
		"((",
		"not not",
		"\x00",
		"team = \"red",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		filter, err := Parse(text, testFields)
		var filterError *Error
		if err != nil && (!errors.As(err, &filterError) || filterError.Column < 1) {
			t.Fatalf("%q: got error %v, want one with a column", text, err)
		}
		if err == nil {
			filter.Match(newTestRow("", "", 0, 0), testFields)
		}
	})
}
