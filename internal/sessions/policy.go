package sessions

import (
	"fmt"
	"strings"
	"time"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/parser"
	"github.com/expr-lang/expr/vm"

	"github.com/harewalk/harewalk/internal/calendar"
)

// Activity is what a policy's expression sees of a session. Times are in seconds.
type Activity struct {
	InputS    float64 `expr:"input_s"`    // since the user's last input
	AttachedS float64 `expr:"attached_s"` // since the user last attached or kept it alive
	Cell      bool    `expr:"cell"`       // a cell runs
	CellS     float64 `expr:"cell_s"`     // for how long
	CPU       float64 `expr:"cpu"`        // cores in use
	GPU       float64 `expr:"gpu"`        // accelerators in use
	UnsavedMB float64 `expr:"unsaved_mb"` // work that is not saved
	OpenS     float64 `expr:"open_s"`     // since it was opened
	Team      string  `expr:"team"`
	User      string  `expr:"user"`
}

// maxNodes bounds an expression: it has no loops, so its cost follows its size.
const maxNodes = 64

// Rule is a compiled expression that says whether a session is idle.
type Rule struct {
	text  string
	whole *vm.Program
	parts []part // joined by &&, to explain which of them is not met
}

type part struct {
	text    string
	program *vm.Program
}

// bounded refuses what could run for long or hides a cost.
type bounded struct{ err error }

func (b *bounded) Visit(n *ast.Node) {
	switch x := (*n).(type) {
	case *ast.BinaryNode:
		if x.Operator == ".." || x.Operator == "**" || x.Operator == "^" || x.Operator == "matches" {
			b.err = fmt.Errorf("operator %q is not allowed here", x.Operator)
		}
	case *ast.BuiltinNode, *ast.CallNode, *ast.PredicateNode, *ast.VariableDeclaratorNode, *ast.SequenceNode:
		b.err = fmt.Errorf("functions, loops and variables are not allowed here: %s", (*n).String())
	}
}

// Compile checks and compiles an expression. at says where it stands, for errors.
func Compile(text, at string) (*Rule, error) {
	wrong := func(err error) (*Rule, error) {
		// The library draws the place over several lines; its first says what is wrong.
		first, _, _ := strings.Cut(err.Error(), "\n")
		return nil, fmt.Errorf("%s: idle = %q: %s", at, text, first)
	}
	tree, err := parser.Parse(text)
	if err != nil {
		return wrong(err)
	}
	b := &bounded{}
	ast.Walk(&tree.Node, b)
	if b.err != nil {
		return wrong(b.err)
	}
	compile := func(s string) (*vm.Program, error) {
		return expr.Compile(s, expr.Env(Activity{}), expr.AsBool(), expr.DisableAllBuiltins(), expr.MaxNodes(maxNodes))
	}
	r := &Rule{text: text}
	if r.whole, err = compile(text); err != nil {
		return wrong(err)
	}
	for _, s := range conjuncts(tree.Node, nil) {
		p, err := compile(s)
		if err != nil {
			return wrong(err)
		}
		r.parts = append(r.parts, part{s, p})
	}
	return r, nil
}

func conjuncts(n ast.Node, out []string) []string {
	if b, ok := n.(*ast.BinaryNode); ok && (b.Operator == "&&" || b.Operator == "and") {
		return conjuncts(b.Right, conjuncts(b.Left, out))
	}
	return append(out, n.String())
}

// Idle tells whether a session is idle. A running cell never is, whatever the rule says, and a
// rule that can't be evaluated says no.
func (r *Rule) Idle(a Activity) bool {
	if a.Cell {
		return false
	}
	v, err := vm.Run(r.whole, a)
	idle, ok := v.(bool)
	return err == nil && ok && idle
}

// Against lists the parts of the rule that are not met.
func (r *Rule) Against(a Activity) (out []string) {
	if a.Cell {
		out = append(out, fmt.Sprintf("a cell has been running for %s", seconds(a.CellS).Round(time.Second)))
	}
	for _, p := range r.parts {
		if v, err := vm.Run(p.program, a); err != nil || v != true {
			out = append(out, fmt.Sprintf("%s is not met", p.text))
		}
	}
	return out
}

// Limits say when an idle session may be reclaimed.
type Limits struct {
	Rule *Rule
	// Limit is how long it may be idle at all, 0 for ever; Wanted how long if somebody waits for
	// what it holds, negative for ever.
	Limit, Wanted time.Duration
	// Name says where they come from.
	Name string
}

// During are other limits in hours of the week.
type During struct {
	Limits
	Window calendar.Window
}

// Policy is a team's.
type Policy struct {
	Limits
	During []During // the first that contains the moment counts
}

// At gives the limits that count at a moment.
func (p *Policy) At(wall time.Time) Limits {
	for _, d := range p.During {
		if d.Window.Contains(wall) {
			return d.Limits
		}
	}
	return p.Limits
}

// Changes is when other limits count next; ok is false if never.
func (p *Policy) Changes(wall time.Time) (next time.Time, ok bool) {
	for _, d := range p.During {
		if n, changes := d.Window.Next(wall); changes && (!ok || n.Before(next)) {
			next, ok = n, true
		}
	}
	return next, ok
}

// Policies hold what operators set for sessions. The zero value switches sessions off.
type Policies struct {
	On      bool
	Warn    time.Duration // from the warning to the save
	Save    time.Duration // that a save may take
	Silent  time.Duration // after which an agent is in doubt
	Keep    time.Duration // that a reclaimed session is kept
	PerUser int           // sessions of a user, reclaimed ones included
	PerTeam int           // sessions of a team that are not reclaimed
	ByTeam  map[string]*Policy
	Default *Policy
}

// Of finds a team's policy.
func (p *Policies) Of(team string) *Policy {
	if q := p.ByTeam[team]; q != nil {
		return q
	}
	return p.Default
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
