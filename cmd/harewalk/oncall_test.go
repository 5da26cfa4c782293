package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// onCallPage is the path of the page for engineers on call.
var onCallPage = filepath.Join(repositoryRoot, "docs", "oncall.md")

// logHeading is the heading of the page's table of log messages.
const logHeading = "## Log messages"

// slogLevels maps the name of each of slog's functions to its level on the page.
var slogLevels = map[string]string{"Debug": "debug", "Info": "info", "Warn": "warn", "Error": "error"}

// logCall holds the levels and attributes of all calls that log the same message.
type logCall struct {
	levels     map[string]bool // levels of the calls; empty if the level is computed
	attributes map[string]bool // string literals among the arguments after the message
}

// logCalls maps each message to its calls.
type logCalls map[string]*logCall

// call returns the entry of a message and creates it on first use.
func (c logCalls) call(message string) *logCall {
	if c[message] == nil {
		c[message] = &logCall{levels: map[string]bool{}, attributes: map[string]bool{}}
	}
	return c[message]
}

// add records a call whose message is the argument at messageIndex, and returns the message's entry. It fails the test
// if the message is not a literal: messages are constant, so that engineers can look them up.
func (c logCalls) add(t *testing.T, files *token.FileSet, call *ast.CallExpr, messageIndex int, levels []string) *logCall {
	t.Helper()
	message, isLiteral := stringLiteral(call.Args[messageIndex])
	if !isLiteral {
		t.Errorf("%s: the log message is not a string literal", files.Position(call.Pos()))
		return &logCall{attributes: map[string]bool{}}
	}
	entry := c.call(message)
	for _, level := range levels {
		entry.levels[level] = true
	}
	for _, argument := range call.Args[messageIndex+1:] {
		if attribute, isLiteral := stringLiteral(argument); isLiteral {
			entry.attributes[attribute] = true
		}
	}
	return entry
}

// stringLiteral returns the value of an expression if it is a string literal, and whether it is one.
func stringLiteral(expression ast.Expr) (value string, isLiteral bool) {
	literal, isLiteral := expression.(*ast.BasicLit)
	if !isLiteral || literal.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(literal.Value)
	return value, err == nil
}

// slogFunction returns the name of the slog function that an expression denotes, or "" if it denotes something else.
func slogFunction(expression ast.Expr) string {
	selector, isSelector := expression.(*ast.SelectorExpr)
	if !isSelector {
		return ""
	}
	if identifier, isIdentifier := selector.X.(*ast.Ident); !isIdentifier || identifier.Name != "slog" {
		return ""
	}
	return selector.Sel.Name
}

// slogVariables returns, for each variable of a function that holds slog functions, the levels of these slog functions.
func slogVariables(function *ast.FuncDecl) map[string][]string {
	levels := map[string][]string{}
	ast.Inspect(function, func(node ast.Node) bool {
		assignment, isAssignment := node.(*ast.AssignStmt)
		if !isAssignment || len(assignment.Lhs) != len(assignment.Rhs) {
			return true
		}
		for i, right := range assignment.Rhs {
			variable, isIdentifier := assignment.Lhs[i].(*ast.Ident)
			if level := slogLevels[slogFunction(right)]; isIdentifier && level != "" {
				levels[variable.Name] = append(levels[variable.Name], level)
			}
		}
		return true
	})
	return levels
}

// attributeVariables returns, for each variable of a function that slices are assigned to, their string literals.
func attributeVariables(function *ast.FuncDecl) map[string][]string {
	literals := map[string][]string{}
	ast.Inspect(function, func(node ast.Node) bool {
		assignment, isAssignment := node.(*ast.AssignStmt)
		if !isAssignment || len(assignment.Lhs) != 1 || len(assignment.Rhs) != 1 {
			return true
		}
		variable, isIdentifier := assignment.Lhs[0].(*ast.Ident)
		slice, isSlice := assignment.Rhs[0].(*ast.CompositeLit)
		if !isIdentifier || !isSlice {
			return true
		}
		for _, element := range slice.Elts {
			if literal, isLiteral := stringLiteral(element); isLiteral {
				literals[variable.Name] = append(literals[variable.Name], literal)
			}
		}
		return true
	})
	return literals
}

// addFunction records the logging calls in a function: calls of slog's functions and of variables that hold them.
func (c logCalls) addFunction(t *testing.T, files *token.FileSet, function *ast.FuncDecl) {
	t.Helper()
	variables := slogVariables(function)
	attributes := attributeVariables(function)
	ast.Inspect(function, func(node ast.Node) bool {
		call, isCall := node.(*ast.CallExpr)
		if !isCall {
			return true
		}
		name := slogFunction(call.Fun)
		variable, isIdentifier := call.Fun.(*ast.Ident)
		var entry *logCall
		switch {
		case slogLevels[name] != "":
			entry = c.add(t, files, call, 0, []string{slogLevels[name]})
		case name == "Log":
			entry = c.add(t, files, call, 2, nil)
		case isIdentifier && variables[variable.Name] != nil:
			entry = c.add(t, files, call, 0, variables[variable.Name])
		default:
			return true
		}
		if last, isIdentifier := call.Args[len(call.Args)-1].(*ast.Ident); isIdentifier && call.Ellipsis.IsValid() {
			for _, attribute := range attributes[last.Name] {
				entry.attributes[attribute] = true
			}
		}
		return true
	})
}

// readLogCalls returns the logging calls in all Go files except tests.
func readLogCalls(t *testing.T) logCalls {
	t.Helper()
	calls := logCalls{}
	files := token.NewFileSet()
	for _, folder := range []string{"internal", "cmd"} {
		err := filepath.WalkDir(filepath.Join(repositoryRoot, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(files, path, nil, 0)
			if err != nil {
				return err
			}
			for _, declaration := range file.Decls {
				if function, isFunction := declaration.(*ast.FuncDecl); isFunction {
					calls.addFunction(t, files, function)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return calls
}

func readOnCall(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile(onCallPage)
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

// backticked matches a text between backticks.
var backticked = regexp.MustCompile("`([^`]+)`")

// logRow is one row of the page's table of log messages. Every message of the row has its levels and attributes.
type logRow struct {
	levels     []string
	messages   []string
	attributes []string
}

// logRows returns the rows of the page's table of log messages. Its columns are levels, messages, attributes and prose.
func logRows(t *testing.T, page string) []logRow {
	t.Helper()
	_, section, isFound := strings.Cut(page, logHeading+"\n")
	if !isFound {
		t.Fatalf("the page lacks the heading %q", logHeading)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	var rows []logRow
	for line := range strings.Lines(section) {
		cells := strings.Split(line, "|")
		if len(cells) < 4 || !strings.Contains(cells[2], "`") {
			continue // not a row of the table, or its header
		}
		row := logRow{levels: strings.Split(strings.TrimSpace(cells[1]), ", ")}
		for _, found := range backticked.FindAllStringSubmatch(cells[2], -1) {
			row.messages = append(row.messages, found[1])
		}
		for _, found := range backticked.FindAllStringSubmatch(cells[3], -1) {
			row.attributes = append(row.attributes, found[1])
		}
		rows = append(rows, row)
	}
	if len(rows) == 0 {
		t.Fatal("the table of log messages has no row")
	}
	return rows
}

func TestOncallLogMessagesExist(t *testing.T) {
	calls := readLogCalls(t)
	for _, row := range logRows(t, readOnCall(t)) {
		for _, message := range row.messages {
			call := calls[message]
			if call == nil {
				t.Errorf("the page names log message %q, which no code logs", message)
				continue
			}
			for _, level := range row.levels {
				if len(call.levels) > 0 && !call.levels[level] {
					t.Errorf("log message %q: got levels %v, want %s as on the page",
						message, slices.Sorted(maps.Keys(call.levels)), level)
				}
			}
			for _, attribute := range row.attributes {
				if !call.attributes[attribute] {
					t.Errorf("log message %q has no attribute %q, which the page names", message, attribute)
				}
			}
		}
	}
}

func TestOncallNamesEveryWarningAndError(t *testing.T) {
	levelsOnPage := map[string][]string{}
	for _, row := range logRows(t, readOnCall(t)) {
		for _, message := range row.messages {
			levelsOnPage[message] = append(levelsOnPage[message], row.levels...)
		}
	}
	found := 0
	for message, call := range readLogCalls(t) {
		for _, level := range []string{"warn", "error"} {
			if !call.levels[level] {
				continue
			}
			found++
			if !slices.Contains(levelsOnPage[message], level) {
				t.Errorf("the page's table does not name log message %q at level %s", message, level)
			}
		}
	}
	if found == 0 {
		t.Error("found no call that logs a warning or an error: the search no longer matches the code")
	}
}

func TestOncallMetricsExist(t *testing.T) {
	source, err := os.ReadFile(filepath.Join(repositoryRoot, "internal", "controller", "metrics.go"))
	if err != nil {
		t.Fatal(err)
	}
	declared := map[string]bool{}
	for _, found := range regexp.MustCompile(`\bdesc\("(\w+)"`).FindAllStringSubmatch(string(source), -1) {
		declared["harewalk_"+found[1]] = true
	}
	named := regexp.MustCompile(`\bharewalk_\w+`).FindAllString(readOnCall(t), -1)
	if len(named) == 0 {
		t.Fatal("the page names no metric")
	}
	for _, name := range named {
		if !declared[name] {
			t.Errorf("the page names %s, which internal/controller/metrics.go doesn't declare", name)
		}
	}
}

// namesCommand reports whether words begin with a command of this program that can be run, not a group of commands.
func namesCommand(words string) bool {
	command, _, err := rootCmd(nil).Find(strings.Fields(strings.TrimPrefix(words, "harewalk ")))
	return err == nil && command.Runnable() && !command.HasSubCommands()
}

// Each text of several words between backticks is a log message, a command with its arguments, a flag with its value,
// or an attribute with its value.
func TestOncallNamesCommandsAndMessagesThatExist(t *testing.T) {
	attributeWithValue := regexp.MustCompile(`^\w+=`)
	calls := readLogCalls(t)
	for _, found := range backticked.FindAllStringSubmatch(readOnCall(t), -1) {
		name := found[1]
		if !strings.Contains(name, " ") || attributeWithValue.MatchString(name) || strings.HasPrefix(name, "-") {
			continue
		}
		if calls[name] == nil && !namesCommand(name) {
			t.Errorf("the page names %q, which is neither a log message nor a command", name)
		}
	}
}
