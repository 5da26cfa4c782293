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
	SinceInputS  float64 `expr:"input_s"`    // since the user's last input
	SinceAttachS float64 `expr:"attached_s"` // since the user last attached or kept it alive
	CellRunning  bool    `expr:"cell"`       // a cell runs
	CellRunningS float64 `expr:"cell_s"`     // for how long
	CPU          float64 `expr:"cpu"`        // cores in use
	GPU          float64 `expr:"gpu"`        // accelerators in use
	UnsavedMB    float64 `expr:"unsaved_mb"` // work that is not saved
	SinceOpenS   float64 `expr:"open_s"`     // since it was opened
	Team         string  `expr:"team"`
	User         string  `expr:"user"`
}

// maxRuleNodes bounds an expression: it has no loops, so its cost follows its size.
const maxRuleNodes = 64

// Rule is a compiled expression that says whether a session is idle.
type Rule struct {
	text      string
	program   *vm.Program
	conjuncts []conjunct // joined by &&, to explain which of them is not met
}

type conjunct struct {
	text    string
	program *vm.Program
}

// restrictionVisitor refuses what could run for long or hides a cost.
type restrictionVisitor struct{ err error }

func (b *restrictionVisitor) Visit(n *ast.Node) {
	switch x := (*n).(type) {
	case *ast.BinaryNode:
		if x.Operator == ".." || x.Operator == "**" || x.Operator == "^" || x.Operator == "matches" {
			b.err = fmt.Errorf("operator %q is not allowed here", x.Operator)
		}
	case *ast.BuiltinNode, *ast.CallNode, *ast.PredicateNode, *ast.VariableDeclaratorNode, *ast.SequenceNode:
		b.err = fmt.Errorf("functions, loops and variables are not allowed here: %s", (*n).String())
	}
}

// CompileRule checks and compiles an expression. at says where it stands, for errors.
func CompileRule(text, at string) (*Rule, error) {
	wrong := func(err error) (*Rule, error) {
		// The library draws the place over several lines; its first says what is wrong.
		first, _, _ := strings.Cut(err.Error(), "\n")
		return nil, fmt.Errorf("%s: idle = %q: %s", at, text, first)
	}
	tree, err := parser.Parse(text)
	if err != nil {
		return wrong(err)
	}
	b := &restrictionVisitor{}
	ast.Walk(&tree.Node, b)
	if b.err != nil {
		return wrong(b.err)
	}
	compile := func(s string) (*vm.Program, error) {
		return expr.Compile(s, expr.Env(Activity{}), expr.AsBool(), expr.DisableAllBuiltins(), expr.MaxNodes(maxRuleNodes))
	}
	r := &Rule{text: text}
	if r.program, err = compile(text); err != nil {
		return wrong(err)
	}
	for _, s := range splitConjuncts(tree.Node, nil) {
		p, err := compile(s)
		if err != nil {
			return wrong(err)
		}
		r.conjuncts = append(r.conjuncts, conjunct{s, p})
	}
	return r, nil
}

func splitConjuncts(n ast.Node, out []string) []string {
	if b, ok := n.(*ast.BinaryNode); ok && (b.Operator == "&&" || b.Operator == "and") {
		return splitConjuncts(b.Right, splitConjuncts(b.Left, out))
	}
	return append(out, n.String())
}

// Idle tells whether a session is idle. A running cell never is, whatever the rule says, and a
// rule that can't be evaluated says no.
func (r *Rule) Idle(a Activity) bool {
	if a.CellRunning {
		return false
	}
	v, err := vm.Run(r.program, a)
	idle, ok := v.(bool)
	return err == nil && ok && idle
}

// UnmetConditions lists the parts of the rule that are not met.
func (r *Rule) UnmetConditions(a Activity) (out []string) {
	if a.CellRunning {
		out = append(out, fmt.Sprintf("a cell has been running for %s", seconds(a.CellRunningS).Round(time.Second)))
	}
	for _, p := range r.conjuncts {
		if v, err := vm.Run(p.program, a); err != nil || v != true {
			out = append(out, fmt.Sprintf("%s is not met", p.text))
		}
	}
	return out
}

// Limits say when an idle session may be reclaimed.
type Limits struct {
	Rule *Rule
	// IdleLimit is how long it may be idle at all, 0 for ever; Wanted how long if somebody waits for
	// what it holds, negative for ever.
	IdleLimit, ContendedLimit time.Duration
	// Source says where they come from.
	Source string
}

// WindowLimits are other limits in hours of the week.
type WindowLimits struct {
	Limits
	Window calendar.Window
}

// Policy is a team's.
type Policy struct {
	Limits
	Windows []WindowLimits // the first that contains the moment counts
}

// At gives the limits that count at a moment.
func (p *Policy) At(wall time.Time) Limits {
	for _, d := range p.Windows {
		if d.Window.Contains(wall) {
			return d.Limits
		}
	}
	return p.Limits
}

// NextChange is when other limits count next; ok is false if never.
func (p *Policy) NextChange(wall time.Time) (next time.Time, ok bool) {
	for _, d := range p.Windows {
		if n, changes := d.Window.Next(wall); changes && (!ok || n.Before(next)) {
			next, ok = n, true
		}
	}
	return next, ok
}

// Policies hold what operators set for sessions. The zero value switches sessions off.
type Policies struct {
	Enabled           bool
	WarningTime       time.Duration // from the warning to the save
	CheckpointTimeout time.Duration // that a save may take
	UnheardTimeout    time.Duration // after which an agent is in doubt
	Retention         time.Duration // that a reclaimed session is kept
	MaxPerUser        int           // sessions of a user, reclaimed ones included
	MaxPerTeam        int           // sessions of a team that are not reclaimed
	ByTeam            map[string]*Policy
	Default           *Policy
}

// ForTeam finds a team's policy.
func (p *Policies) ForTeam(team string) *Policy {
	if q := p.ByTeam[team]; q != nil {
		return q
	}
	return p.Default
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
