package sessions

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/parser"
	"github.com/expr-lang/expr/vm"

	"github.com/harewalk/harewalk/internal/jobs"
)

// Activity is the input of an idle rule. Times are in seconds.
type Activity struct {
	SinceInputS  float64 `expr:"input_s"`    // time since the user's last input
	SinceAttachS float64 `expr:"attached_s"` // time since the user's last attach, keep-alive or input
	CellRunning  bool    `expr:"cell"`
	CellRunningS float64 `expr:"cell_s"`
	CPU          float64 `expr:"cpu"` // cores in use
	GPU          float64 `expr:"gpu"` // accelerators in use
	UnsavedMB    float64 `expr:"unsaved_mb"`
	SinceOpenS   float64 `expr:"open_s"`
	Team         string  `expr:"team"`
	User         string  `expr:"user"`
}

// maxRuleNodes bounds the size of an expression, and so its cost, as an expression has no loops.
const maxRuleNodes = 64

// Rule is a compiled expression over an Activity that is true for an idle session.
type Rule struct {
	text      string
	program   *vm.Program
	conjuncts []conjunct // the operands of &&, each compiled to explain which of them is false
}

type conjunct struct {
	text    string
	program *vm.Program
}

// RuleError is the error for an expression that isn't a valid rule.
type RuleError struct {
	Position string // position of the expression in the settings
	Text     string // the expression
	Err      error
}

// Error returns the message, which begins with the position. An error of the expression library has several lines; the
// message contains only the first one, which is the cause.
func (e *RuleError) Error() string {
	cause, _, _ := strings.Cut(e.Err.Error(), "\n")
	return fmt.Sprintf("%s: idle = %q: %s", e.Position, e.Text, cause)
}

// Unwrap returns the cause.
func (e *RuleError) Unwrap() error { return e.Err }

// ErrNotAllowed is wrapped by errors for constructs of the expression language that a rule must not use.
var ErrNotAllowed = errors.New("not allowed here")

// restrictionVisitor finds operators and nodes whose run time isn't bounded by the size of the expression.
type restrictionVisitor struct{ err error }

// Visit implements ast.Visitor.
func (v *restrictionVisitor) Visit(node *ast.Node) {
	switch n := (*node).(type) {
	case *ast.BinaryNode:
		switch n.Operator {
		case "..", "**", "^", "matches":
			v.err = fmt.Errorf("operator %q is %w", n.Operator, ErrNotAllowed)
		}
	case *ast.BuiltinNode, *ast.CallNode, *ast.PredicateNode, *ast.VariableDeclaratorNode, *ast.SequenceNode:
		v.err = fmt.Errorf("functions, loops and variables are %w: %s", ErrNotAllowed, (*node).String())
	}
}

// CompileRule checks and compiles an expression. position is its position in the settings. The error is a *RuleError.
func CompileRule(text, position string) (*Rule, error) {
	rule, err := compileRule(text)
	if err != nil {
		return nil, &RuleError{Position: position, Text: text, Err: err}
	}
	return rule, nil
}

func compileRule(text string) (*Rule, error) {
	tree, err := parser.Parse(text)
	if err != nil {
		return nil, err
	}
	restrictions := &restrictionVisitor{}
	ast.Walk(&tree.Node, restrictions)
	if restrictions.err != nil {
		return nil, restrictions.err
	}
	rule := &Rule{text: text}
	if rule.program, err = compileExpression(text); err != nil {
		return nil, err
	}
	for _, part := range splitConjuncts(tree.Node, nil) {
		program, err := compileExpression(part)
		if err != nil {
			return nil, err
		}
		rule.conjuncts = append(rule.conjuncts, conjunct{text: part, program: program})
	}
	return rule, nil
}

func compileExpression(text string) (*vm.Program, error) {
	return expr.Compile(
		text,
		expr.Env(Activity{}),
		expr.AsBool(),
		expr.DisableAllBuiltins(),
		expr.MaxNodes(maxRuleNodes),
	)
}

// splitConjuncts appends to conjuncts the operands that a node joins by &&, or the node itself if there is no &&.
func splitConjuncts(node ast.Node, conjuncts []string) []string {
	binary, ok := node.(*ast.BinaryNode)
	if ok && (binary.Operator == "&&" || binary.Operator == "and") {
		return splitConjuncts(binary.Right, splitConjuncts(binary.Left, conjuncts))
	}
	return append(conjuncts, node.String())
}

// Idle reports whether a session is idle. It is false if a cell is running, whatever the rule, and if the evaluation of
// the rule fails.
func (r *Rule) Idle(activity Activity) bool {
	if activity.CellRunning {
		return false
	}
	value, err := vm.Run(r.program, activity)
	idle, ok := value.(bool)
	return err == nil && ok && idle
}

// UnmetConditions returns the conditions that prevent a session from being idle, as text for users.
func (r *Rule) UnmetConditions(activity Activity) []string {
	var unmet []string
	if activity.CellRunning {
		runningFor := jobs.Seconds(activity.CellRunningS).Round(time.Second)
		unmet = append(unmet, fmt.Sprintf("a cell has been running for %s", runningFor))
	}
	for _, part := range r.conjuncts {
		if value, err := vm.Run(part.program, activity); err != nil || value != true {
			unmet = append(unmet, fmt.Sprintf("%s is not met", part.text))
		}
	}
	return unmet
}
