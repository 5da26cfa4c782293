// Package query reads filters such as
//
//	team = "red" and (waiting > 10 or class ~ "audit") and not stance = done
//
// and decides whether a row matches. It knows the fields' names and kinds, but not where rows come
// from. Errors point at the column.
package query

import (
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Kind is what a field holds.
type Kind uint8

// The kinds.
const (
	Text Kind = iota
	Number
)

// Fields names the fields of a row and their kinds.
type Fields map[string]Kind

// Row gives a field's value, as text or as a number by its kind.
type Row interface {
	Text(field string) string
	Number(field string) float64
}

// maxLength and maxTerms bound a filter: it is read for anybody who asks.
const (
	maxLength = 2000
	maxTerms  = 64
	maxDepth  = 32
)

type orTerm struct {
	Any []*andTerm `parser:"@@ ( 'or' @@ )*"`
}

type andTerm struct {
	All []*notTerm `parser:"@@ ( 'and' @@ )*"`
}

type notTerm struct {
	Not    *notTerm `parser:"  'not' @@"`
	Inside *orTerm  `parser:"| '(' @@ ')'"`
	Is     *compare `parser:"| @@"`
}

type compare struct {
	Pos   lexer.Position
	Field string `parser:"@Ident"`
	Op    string `parser:"@Operator"`
	Value value  `parser:"@@"`
}

type value struct {
	Pos    lexer.Position
	Quoted *string `parser:"  @String"`
	Number *string `parser:"| @Number"`
	Word   *string `parser:"| @Ident"`
}

var grammar = participle.MustBuild[orTerm](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Space", Pattern: `\s+`},
		{Name: "String", Pattern: `"[^"]*"`},
		{Name: "Number", Pattern: `-?[0-9]+(\.[0-9]+)?\b`},
		{Name: "Ident", Pattern: `[A-Za-z_][A-Za-z0-9_\-/.]*`},
		{Name: "Operator", Pattern: `<=|>=|!=|=|<|>|~`},
		{Name: "Paren", Pattern: `[()]`},
	})),
	participle.Elide("Space"),
	participle.UseLookahead(2),
)

// Filter is a filter that was read and checked. The zero value matches everything.
type Filter struct{ root *orTerm }

// Error is what is wrong with a filter, and where: Column counts from 1.
type Error struct {
	Column int
	What   string
}

func (e *Error) Error() string { return fmt.Sprintf("column %d: %s", e.Column, e.What) }

// Parse reads a filter over some fields; an empty one matches everything. Its error is an *Error.
func Parse(text string, fields Fields) (Filter, error) {
	if strings.TrimSpace(text) == "" {
		return Filter{}, nil
	}
	if len(text) > maxLength {
		return Filter{}, &Error{maxLength, fmt.Sprintf("a filter has at most %d characters", maxLength)}
	}
	if d := depth(text); d > maxDepth {
		return Filter{}, &Error{1, fmt.Sprintf("a filter nests at most %d deep", maxDepth)}
	}
	root, err := grammar.ParseString("", text)
	if err != nil {
		var pe participle.Error
		if errors.As(err, &pe) {
			return Filter{}, &Error{pe.Position().Column, pe.Message()}
		}
		return Filter{}, &Error{1, err.Error()}
	}
	c := checker{fields: fields}
	if err := c.or(root); err != nil {
		return Filter{}, err
	}
	return Filter{root}, nil
}

// depth bounds how deep a filter nests before it is read: "not" nests like a parenthesis.
func depth(text string) int {
	open, most := 0, 0
	for _, r := range text {
		switch r {
		case '(':
			open++
		case ')':
			open--
		}
		most = max(most, open)
	}
	return most + strings.Count(strings.ToLower(text), "not ")
}

type checker struct {
	fields Fields
	terms  int
}

func (c *checker) or(o *orTerm) error {
	for _, a := range o.Any {
		for _, n := range a.All {
			if err := c.not(n); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *checker) not(n *notTerm) error {
	switch {
	case n.Not != nil:
		return c.not(n.Not)
	case n.Inside != nil:
		return c.or(n.Inside)
	}
	if c.terms++; c.terms > maxTerms {
		return &Error{n.Is.Pos.Column, fmt.Sprintf("a filter has at most %d comparisons", maxTerms)}
	}
	return c.compare(n.Is)
}

func (c *checker) compare(is *compare) error {
	kind, ok := c.fields[is.Field]
	if !ok {
		return &Error{is.Pos.Column, fmt.Sprintf("there is no field %q; there are %s", is.Field, strings.Join(c.fields.names(), ", "))}
	}
	switch {
	case kind == Number && is.Op == "~":
		return &Error{is.Pos.Column, fmt.Sprintf("%s is a number: ~ looks inside texts", is.Field)}
	case kind == Text && strings.ContainsAny(is.Op, "<>"):
		return &Error{is.Pos.Column, fmt.Sprintf("%s is a text: compare it with =, != or ~", is.Field)}
	case kind == Number && is.Value.Number == nil:
		return &Error{is.Value.Pos.Column, fmt.Sprintf("%s is a number, and %q is none", is.Field, is.Value.text())}
	}
	return nil
}

func (f Fields) names() (ns []string) {
	for n := range f {
		ns = append(ns, n)
	}
	sort.Strings(ns)
	return ns
}

func (v value) text() string {
	switch {
	case v.Quoted != nil:
		return strings.Trim(*v.Quoted, `"`)
	case v.Number != nil:
		return *v.Number
	}
	return *v.Word
}

// Match tells whether a row matches.
func (f Filter) Match(r Row, fields Fields) bool {
	return f.root == nil || f.root.match(r, fields)
}

func (o *orTerm) match(r Row, f Fields) bool {
	for _, a := range o.Any {
		if a.match(r, f) {
			return true
		}
	}
	return false
}

func (a *andTerm) match(r Row, f Fields) bool {
	for _, n := range a.All {
		if !n.match(r, f) {
			return false
		}
	}
	return true
}

func (n *notTerm) match(r Row, f Fields) bool {
	switch {
	case n.Not != nil:
		return !n.Not.match(r, f)
	case n.Inside != nil:
		return n.Inside.match(r, f)
	}
	return n.Is.match(r, f)
}

func (c *compare) match(r Row, f Fields) bool {
	if f[c.Field] == Text {
		has, want := r.Text(c.Field), c.Value.text()
		switch c.Op {
		case "=":
			return has == want
		case "!=":
			return has != want
		}
		return strings.Contains(has, want)
	}
	want, _ := strconv.ParseFloat(*c.Value.Number, 64)
	has := r.Number(c.Field)
	switch c.Op {
	case "=":
		return has == want
	case "!=":
		return has != want
	case "<":
		return has < want
	case "<=":
		return has <= want
	case ">":
		return has > want
	}
	return has >= want
}
