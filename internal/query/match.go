package query

import (
	"strconv"
	"strings"
)

// Match reports whether a row matches. The fields must be those that the filter was parsed with.
func (f Filter) Match(row Row, fields Fields) bool {
	return f.root == nil || f.root.match(row, fields)
}

func (o *orTerm) match(row Row, fields Fields) bool {
	for _, term := range o.Any {
		if term.match(row, fields) {
			return true
		}
	}
	return false
}

func (a *andTerm) match(row Row, fields Fields) bool {
	for _, term := range a.All {
		if !term.match(row, fields) {
			return false
		}
	}
	return true
}

func (n *notTerm) match(row Row, fields Fields) bool {
	switch {
	case n.Not != nil:
		return !n.Not.match(row, fields)
	case n.Group != nil:
		return n.Group.match(row, fields)
	}
	return n.Comparison.match(row, fields)
}

func (c *comparison) match(row Row, fields Fields) bool {
	if fields[c.Field] == Text {
		return c.matchText(row.Text(c.Field))
	}
	return c.matchNumber(row.Number(c.Field))
}

func (c *comparison) matchText(actual string) bool {
	want := c.Value.text()
	switch c.Op {
	case opEqual:
		return actual == want
	case opNotEqual:
		return actual != want
	case opContains:
		return strings.Contains(actual, want)
	}
	return false // the checker admits no other operator
}

func (c *comparison) matchNumber(actual float64) bool {
	// The lexer admits only numbers that can be parsed; one out of range is infinite.
	want, _ := strconv.ParseFloat(*c.Value.Number, 64)
	switch c.Op {
	case opEqual:
		return actual == want
	case opNotEqual:
		return actual != want
	case opLess:
		return actual < want
	case opLessOrEqual:
		return actual <= want
	case opGreater:
		return actual > want
	case opGreaterOrEqual:
		return actual >= want
	}
	return false // the checker admits no other operator
}
