package query

import (
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The syntax tree. The parser puts the names of these types into its error messages, which users read: renaming a
// type changes the messages.

// orTerm matches if any of its terms matches.
type orTerm struct {
	Any []*andTerm `parser:"@@ ( 'or' @@ )*"`
}

// andTerm matches if all of its terms match.
type andTerm struct {
	All []*notTerm `parser:"@@ ( 'and' @@ )*"`
}

// notTerm is a negated term, a term in parentheses or a comparison. Exactly one field is set.
type notTerm struct {
	Not        *notTerm    `parser:"  'not' @@"`
	Group      *orTerm     `parser:"| '(' @@ ')'"`
	Comparison *comparison `parser:"| @@"`
}

// comparison compares a field with a value.
type comparison struct {
	Pos   lexer.Position
	Field string `parser:"@Ident"`
	Op    string `parser:"@Operator"`
	Value value  `parser:"@@"`
}

// value is the right-hand side of a comparison. Exactly one of Quoted, Number and Word is set.
type value struct {
	Pos    lexer.Position
	Quoted *string `parser:"  @String"`
	Number *string `parser:"| @Number"`
	Word   *string `parser:"| @Ident"`
}

// The operators of comparisons.
const (
	opEqual          = "="
	opNotEqual       = "!="
	opLess           = "<"
	opLessOrEqual    = "<="
	opGreater        = ">"
	opGreaterOrEqual = ">="
	opContains       = "~"
)

// grammar is the parser. Parsing doesn't change it, so goroutines may share it.
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

// text returns the value as text, without quotation marks.
func (v value) text() string {
	switch {
	case v.Quoted != nil:
		return strings.Trim(*v.Quoted, `"`)
	case v.Number != nil:
		return *v.Number
	}
	return *v.Word
}
