package lab

import (
	"errors"
	"fmt"
	"strings"

	"github.com/go-playground/validator/v10"
)

// SettingError is a setting of a file whose value breaks its rule.
type SettingError struct {
	File    string
	Setting string // its path within the file's document
	Value   any
	Rule    string
}

// Error names the file, the setting, its value and the rule.
func (e *SettingError) Error() string {
	return fmt.Sprintf("%s: setting %s: value %v breaks the rule %q", e.File, e.Setting, e.Value, e.Rule)
}

// Validate checks a document, a pointer to a struct, by the rules in its tags. For the first setting that breaks one it
// returns a *SettingError.
func Validate(file string, document any) error {
	err := validator.New(validator.WithRequiredStructEnabled()).Struct(document)
	var failed validator.ValidationErrors
	if !errors.As(err, &failed) || len(failed) == 0 {
		return err
	}
	first := failed[0]
	_, setting, _ := strings.Cut(first.Namespace(), ".") // without the name of the document's type
	return &SettingError{
		File:    file,
		Setting: setting,
		Value:   first.Value(),
		Rule:    strings.TrimSpace(first.Tag() + " " + first.Param()),
	}
}
