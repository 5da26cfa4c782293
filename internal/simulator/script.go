package simulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Fault is a fault in a line of a script.
type Fault struct {
	After time.Duration     // time from the script's start
	Text  string            // the fault's name and arguments
	Apply func(*Simulation) // begins the fault
	// VirtualTimeOnly reports whether the fault needs a simulation in virtual time.
	VirtualTimeOnly bool
}

// FaultUsages returns the names of all faults in scripts, each followed by its arguments, sorted by name.
func FaultUsages() []string {
	placeholders := strings.NewReplacer(
		string(argController), "CONTROLLER ",
		string(argCount), "COUNT ",
		string(argZone), "ZONE ",
		string(argDuration), "TIME",
	)
	var words []string
	for name, kind := range faultKinds {
		words = append(words, strings.TrimSpace(name+" "+placeholders.Replace(kind.args)))
	}
	sort.Strings(words)
	return words
}

// ScriptError is the error of one line of a script.
type ScriptError struct {
	Line int    // line number, starting at 1
	Text string // the line without its comment
	Err  error  // the error in the line
}

// Error implements error.
func (e *ScriptError) Error() string { return fmt.Sprintf("line %d: %q: %v", e.Line, e.Text, e.Err) }

// Unwrap returns the error in the line.
func (e *ScriptError) Unwrap() error { return e.Err }

var (
	errNoTimeAndFault = errors.New("the line must begin with a time and a fault, such as \"12s kill-machine\"")
	errUnknownFault   = errors.New("no such fault")
)

// argumentCountError is returned for a fault with the wrong number of arguments.
type argumentCountError struct {
	fault string
	want  int
}

// Error implements error.
func (e *argumentCountError) Error() string {
	return fmt.Sprintf("%s takes %d arguments", e.fault, e.want)
}

// argumentError is returned for an argument that isn't valid for its kind.
type argumentError struct{ value string }

// Error implements error.
func (e *argumentError) Error() string { return e.value + " is not a valid argument" }

// ParseScript parses a script with one fault per line, such as "12s hang 5s"; "#" begins a comment. It returns the
// faults sorted by time. It returns a *ScriptError for an invalid line.
func ParseScript(r io.Reader) ([]Fault, error) {
	var script []Fault
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan(); number++ {
		text, _, _ := strings.Cut(lines.Text(), "#")
		fields := strings.Fields(text)
		if len(fields) == 0 {
			continue
		}
		fault, err := parseFault(fields)
		if err != nil {
			return nil, &ScriptError{Line: number, Text: strings.TrimSpace(text), Err: err}
		}
		script = append(script, fault)
	}
	sort.SliceStable(script, func(a, b int) bool { return script[a].After < script[b].After })
	return script, lines.Err()
}

// parseFault parses the fields of a line: a time, a fault's name and its arguments.
func parseFault(fields []string) (Fault, error) {
	after, err := time.ParseDuration(fields[0])
	if err != nil || after < 0 || len(fields) < 2 {
		return Fault{}, errNoTimeAndFault
	}
	name, values := fields[1], fields[2:]
	kind, ok := faultKinds[name]
	if !ok {
		return Fault{}, fmt.Errorf("%w; the faults are %s", errUnknownFault, strings.Join(FaultUsages(), ", "))
	}
	if len(values) != len(kind.args) {
		return Fault{}, &argumentCountError{fault: name, want: len(kind.args)}
	}
	var args faultArgs
	for i, argKind := range kind.args {
		if !args.parse(argKind, values[i]) {
			return Fault{}, &argumentError{value: values[i]}
		}
	}
	return Fault{
		After:           after,
		Text:            strings.Join(fields[1:], " "),
		Apply:           func(sim *Simulation) { kind.apply(sim, args) },
		VirtualTimeOnly: kind.virtualTimeOnly,
	}, nil
}

// parse sets the argument of the kind to the value, and returns false if the value is invalid.
func (args *faultArgs) parse(kind rune, value string) bool {
	var err error
	switch kind {
	case argController, argCount:
		args.count, err = strconv.Atoi(value)
	case argZone:
		args.zone = value
	case argDuration:
		args.duration, err = time.ParseDuration(value)
	}
	return err == nil && args.count >= 0 && args.duration >= 0
}

// Play schedules the faults of a script, which starts now. It calls announce before each fault.
func (sim *Simulation) Play(script []Fault, announce func(Fault)) {
	for _, fault := range script {
		sim.env.schedule(fault.After, func() {
			announce(fault)
			fault.Apply(sim)
		})
	}
}
