// Package query parses filters such as
//
//	team = "red" and (waiting > 10 or class ~ "audit") and not stance = done
//
// and matches rows against them. The caller supplies the fields' names and kinds, and the rows. Parsing and matching
// have no side effects; a Filter may be used by several goroutines at once. The controller filters its lists of jobs
// and events, and the command line checks filters before it sends them.
package query

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
)

// Kind is the kind of a field's values.
type Kind uint8

// The kinds of fields.
const (
	Text   Kind = iota // compared with =, != and ~ (contains)
	Number             // compared with =, !=, <, <=, > and >=
)

// Fields maps the names of a row's fields to their kinds.
type Fields map[string]Kind

// Row is a row that a filter matches against. Text is called for fields of kind Text, Number for those of kind
// Number.
type Row interface {
	Text(field string) string
	Number(field string) float64
}

// Bounds of a filter, since any client may send one.
const (
	maxFilterBytes  = 2000
	maxComparisons  = 64
	maxNestingDepth = 32
)

// Filter is a parsed and checked filter. The zero value matches every row.
type Filter struct{ root *orTerm }

// Error is the error of a filter that can't be parsed. Column is the position of the fault, counted from 1.
type Error struct {
	Column  int
	Message string
}

// Error returns the message for the user.
func (e *Error) Error() string { return fmt.Sprintf("column %d: %s", e.Column, e.Message) }

// errorAt returns an *Error with a formatted message.
func errorAt(column int, format string, args ...any) *Error {
	return &Error{column, fmt.Sprintf(format, args...)}
}

// Parse parses a filter on the given fields. A blank text gives a filter that matches every row. Every error is an
// *Error.
func Parse(text string, fields Fields) (Filter, error) {
	if strings.TrimSpace(text) == "" {
		return Filter{}, nil
	}
	if len(text) > maxFilterBytes {
		return Filter{}, errorAt(maxFilterBytes, "a filter has at most %d bytes", maxFilterBytes)
	}
	if nestingDepth(text) > maxNestingDepth {
		return Filter{}, errorAt(1, "a filter is nested at most %d levels deep", maxNestingDepth)
	}
	root, err := grammar.ParseString("", text)
	if err != nil {
		return Filter{}, syntaxError(err)
	}
	c := checker{fields: fields}
	if err := c.checkOr(root); err != nil {
		return Filter{}, err
	}
	return Filter{root}, nil
}

// syntaxError converts an error of the parser to an *Error.
func syntaxError(err error) *Error {
	var parserError participle.Error
	if errors.As(err, &parserError) {
		return &Error{parserError.Position().Column, parserError.Message()}
	}
	return &Error{1, err.Error()}
}

// nestingDepth returns an upper bound of a filter's nesting depth without parsing it, because the parser is
// recursive. Each "not" counts as a level, like an opening parenthesis.
func nestingDepth(text string) int {
	openParens, maxOpenParens := 0, 0
	for _, r := range text {
		switch r {
		case '(':
			openParens++
		case ')':
			openParens--
		}
		maxOpenParens = max(maxOpenParens, openParens)
	}
	return maxOpenParens + strings.Count(strings.ToLower(text), "not ")
}
