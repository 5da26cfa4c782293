package query

import (
	"strconv"
	"strings"
)

// Match reports whether a row matches. fields must be the fields with which the filter was parsed.
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

func (c *comparison) matchText(fieldValue string) bool {
	operand := c.Value.text()
	switch c.Op {
	case opEqual:
		return fieldValue == operand
	case opNotEqual:
		return fieldValue != operand
	case opContains:
		return strings.Contains(fieldValue, operand)
	}
	return false // the checker allows no other operator
}

func (c *comparison) matchNumber(fieldValue float64) bool {
	// The lexer accepts only numbers that ParseFloat can parse; a number that is out of range becomes infinite.
	operand, _ := strconv.ParseFloat(*c.Value.Number, 64)
	switch c.Op {
	case opEqual:
		return fieldValue == operand
	case opNotEqual:
		return fieldValue != operand
	case opLess:
		return fieldValue < operand
	case opLessOrEqual:
		return fieldValue <= operand
	case opGreater:
		return fieldValue > operand
	case opGreaterOrEqual:
		return fieldValue >= operand
	}
	return false // the checker allows no other operator
}
