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

// Fault is one line of a script.
type Fault struct {
	After time.Duration // from the script's start
	Text  string        // the fault and its arguments
	Apply func(*Simulation)
	// VirtualTimeOnly reports that the fault needs a simulation in virtual time.
	VirtualTimeOnly bool
}

// FaultWords lists the faults that a script can name, each with its arguments, by name.
func FaultWords() []string {
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
	Line int    // from 1
	Text string // without its comment
	Err  error  // what is wrong with it
}

// Error implements error.
func (e *ScriptError) Error() string { return fmt.Sprintf("line %d: %q: %v", e.Line, e.Text, e.Err) }

// Unwrap returns what is wrong with the line.
func (e *ScriptError) Unwrap() error { return e.Err }

var (
	errNoTimeAndFault = errors.New("begin with a time and a fault, such as \"12s kill-machine\"")
	errUnknownFault   = errors.New("no such fault")
)

// argumentCountError is returned for a fault with too few or too many arguments.
type argumentCountError struct {
	fault string
	want  int
}

// Error implements error.
func (e *argumentCountError) Error() string {
	return fmt.Sprintf("%s takes %d arguments", e.fault, e.want)
}

// argumentError is returned for an argument that isn't of the kind that its fault takes.
type argumentError struct{ value string }

// Error implements error.
func (e *argumentError) Error() string { return e.value + " is not what belongs there" }

// ParseScript reads faults, one a line, such as "12s hang 5s"; "#" begins a comment. It returns them in the order of
// their times. The error of a line that isn't a fault is a *ScriptError.
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

// parseFault reads a time, a fault's name and its arguments.
func parseFault(fields []string) (Fault, error) {
	after, err := time.ParseDuration(fields[0])
	if err != nil || after < 0 || len(fields) < 2 {
		return Fault{}, errNoTimeAndFault
	}
	name, values := fields[1], fields[2:]
	kind, ok := faultKinds[name]
	if !ok {
		return Fault{}, fmt.Errorf("%w; there are %s", errUnknownFault, strings.Join(FaultWords(), ", "))
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

// parse sets the argument of a kind, and returns false if the value isn't one.
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

// Play schedules a script's faults from now on. It calls announce before each.
func (sim *Simulation) Play(script []Fault, announce func(Fault)) {
	for _, fault := range script {
		sim.env.schedule(fault.After, func() {
			announce(fault)
			fault.Apply(sim)
		})
	}
}
