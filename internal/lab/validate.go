package lab

import (
	"errors"
	"fmt"
	"strings"

	"github.com/go-playground/validator/v10"
)

// SettingError reports a setting whose value violates its validation rule.
type SettingError struct {
	File    string
	Setting string // path of the setting within the document, such as Loads[0].CPUs
	Value   any
	Rule    string
}

// Error names the file, the setting, its value and the rule.
func (e *SettingError) Error() string {
	return fmt.Sprintf("%s: setting %s: value %v breaks the rule %q", e.File, e.Setting, e.Value, e.Rule)
}

// Validate checks a document, a pointer to a struct, against the rules in its validate tags. It returns a
// *SettingError for the first setting that violates a rule.
func Validate(file string, document any) error {
	err := validator.New(validator.WithRequiredStructEnabled()).Struct(document)
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) || len(violations) == 0 {
		return err
	}
	violation := violations[0]
	_, setting, _ := strings.Cut(violation.Namespace(), ".") // cuts off the name of the document's type
	return &SettingError{
		File:    file,
		Setting: setting,
		Value:   violation.Value(),
		Rule:    strings.TrimSpace(violation.Tag() + " " + violation.Param()),
	}
}
