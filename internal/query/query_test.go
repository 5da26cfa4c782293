package query

import (
	"errors"
	"flag"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "1") }

var fields = Fields{"team": Text, "class": Text, "waiting": Number, "done": Number}

type row map[string]any

func (r row) Text(f string) string    { return r[f].(string) }
func (r row) Number(f string) float64 { return r[f].(float64) }

// draw makes a filter and, beside its text, what it means: the plain model.
func draw(t *rapid.T, deep int) (string, func(row) bool) {
	switch n := rapid.IntRange(0, 5).Draw(t, "kind"); {
	case n < 3 || deep == 0:
		if rapid.Bool().Draw(t, "text") {
			f, want := rapid.SampledFrom([]string{"team", "class"}).Draw(t, "field"), rapid.SampledFrom([]string{"red", "blue", "e"}).Draw(t, "value")
			shown := want
			if rapid.Bool().Draw(t, "quoted") {
				shown = `"` + want + `"`
			}
			switch op := rapid.SampledFrom([]string{"=", "!=", "~"}).Draw(t, "op"); op {
			case "=":
				return f + " = " + shown, func(r row) bool { return r[f] == want }
			case "!=":
				return f + "!=" + shown, func(r row) bool { return r[f] != want }
			}
			return f + " ~ " + shown, func(r row) bool { return strings.Contains(r[f].(string), want) }
		}
		f, want := rapid.SampledFrom([]string{"waiting", "done"}).Draw(t, "field"), float64(rapid.IntRange(-1, 4).Draw(t, "number"))
		op := rapid.SampledFrom([]string{"=", "!=", "<", "<=", ">", ">="}).Draw(t, "op")
		return fmt.Sprintf("%s%s %g", f, op, want), func(r row) bool {
			has := r[f].(float64)
			return map[string]bool{"=": has == want, "!=": has != want, "<": has < want, "<=": has <= want, ">": has > want, ">=": has >= want}[op]
		}
	case n == 3:
		a, fa := draw(t, deep-1)
		return "not (" + a + ")", func(r row) bool { return !fa(r) }
	}
	a, fa := draw(t, deep-1)
	b, fb := draw(t, deep-1)
	if rapid.Bool().Draw(t, "and") {
		return "(" + a + ") and (" + b + ")", func(r row) bool { return fa(r) && fb(r) }
	}
	return "(" + a + ") or (" + b + ")", func(r row) bool { return fa(r) || fb(r) }
}

// A filter matches just what it means.
func TestFiltersMeanWhatTheySay(t *testing.T) {
	yes, no := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		text, means := draw(t, 3)
		f, err := Parse(text, fields)
		if err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		for range 10 {
			r := row{
				"team": rapid.SampledFrom([]string{"red", "blue", ""}).Draw(t, "team"), "class": rapid.SampledFrom([]string{"red", "audit"}).Draw(t, "class"),
				"waiting": float64(rapid.IntRange(-1, 4).Draw(t, "waiting")), "done": float64(rapid.IntRange(-1, 4).Draw(t, "done")),
			}
			if f.Match(r, fields) != means(r) {
				t.Fatalf("%s matches %v: %v", text, r, !means(r))
			}
			if means(r) {
				yes++
			} else {
				no++
			}
		}
	})
	if yes < 100 || no < 100 {
		t.Fatalf("%d matched, %d not: the model does not exercise the code", yes, no)
	}
}

// and binds more tightly than or, not more tightly than both; an empty filter matches everything.
func TestPrecedence(t *testing.T) {
	r := row{"team": "red", "class": "audit", "waiting": 1.0, "done": 0.0}
	for text, want := range map[string]bool{
		"": true, "team = blue and waiting = 1 or done = 0": true, "done = 0 or waiting = 1 and team = blue": true, "(done = 0 or waiting = 1) and team = blue": false,
		"not team = blue and done = 0": true, "not not team = red": true,
	} {
		f, err := Parse(text, fields)
		if err != nil || f.Match(r, fields) != want {
			t.Errorf("%q: %v, %v", text, f.Match(r, fields), err)
		}
	}
}

// What is wrong is said with its column, and nothing is read for long.
func TestErrorsPointAtTheColumn(t *testing.T) {
	for text, want := range map[string]int{
		"team = ": 8, "teem = red": 1, "team = red and waitin > 3": 16, "waiting > many": 11, "waiting ~ 3": 1, "team < red": 1, "(team = red": 12, "team = red)": 11, "team = red & done = 1": 12,
		strings.Repeat("(", 100) + "done = 1" + strings.Repeat(")", 100): 1, strings.Repeat("not ", 400) + "done = 1": 1, strings.Repeat("x", 3000): maxLength,
	} {
		_, err := Parse(text, fields)
		var e *Error
		if !errors.As(err, &e) || e.Column != want {
			t.Errorf("%.60q: %v, want column %d", text, err, want)
		}
	}
	if _, err := Parse(strings.Repeat("done = 1 or ", 70)+"done = 1", fields); err == nil || !strings.Contains(err.Error(), "at most 64") {
		t.Errorf("70 comparisons: %v", err)
	}
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{"team = red", `class ~ "a b" and not (done >= 3 or waiting < -1.5)`, "((", "not not", "\x00", "team = \"red"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		q, err := Parse(text, fields)
		var e *Error
		if err != nil && (!errors.As(err, &e) || e.Column < 1) {
			t.Fatalf("%q: error %v without a column", text, err)
		}
		if err == nil {
			q.Match(row{"team": "", "class": "", "waiting": 0.0, "done": 0.0}, fields)
		}
	})
}
