package query

import (
	"maps"
	"slices"
	"strings"
)

// checker checks the comparisons of a syntax tree against the fields' kinds, and counts them.
type checker struct {
	fields      Fields
	comparisons int
}

func (c *checker) checkOr(or *orTerm) error {
	for _, and := range or.Any {
		for _, not := range and.All {
			if err := c.checkNot(not); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *checker) checkNot(not *notTerm) error {
	switch {
	case not.Not != nil:
		return c.checkNot(not.Not)
	case not.Group != nil:
		return c.checkOr(not.Group)
	}
	return c.checkComparison(not.Comparison)
}

func (c *checker) checkComparison(comparison *comparison) error {
	column := comparison.Pos.Column
	field := comparison.Field
	c.comparisons++
	if c.comparisons > maxComparisons {
		return errorAt(column, "a filter has at most %d comparisons", maxComparisons)
	}
	kind, ok := c.fields[field]
	switch {
	case !ok:
		return errorAt(column, "unknown field %q; the fields are %s", field, strings.Join(c.fields.names(), ", "))
	case kind == Number && comparison.Op == opContains:
		return errorAt(column, "%s is a number: ~ applies only to text fields", field)
	case kind == Text && strings.ContainsAny(comparison.Op, "<>"):
		return errorAt(column, "%s is a text: it can only be compared with =, != or ~", field)
	case kind == Number && comparison.Value.Number == nil:
		return errorAt(comparison.Value.Pos.Column, "%s is a number, but %q is not a number",
			field, comparison.Value.text())
	}
	return nil
}

// names returns the fields' names in alphabetical order.
func (f Fields) names() []string { return slices.Sorted(maps.Keys(f)) }
