package config

import (
	"errors"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// newValidator returns a validator whose errors have the fields' names in the files, and that supports the rule
// "hostport".
func newValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(settingName)
	// RegisterValidation fails only for an empty name or a nil function.
	_ = validate.RegisterValidation("hostport", func(field validator.FieldLevel) bool {
		return isHostPort(field.Field().String())
	})
	return validate
}

// settingName returns a field's name in JSON or HCL, or its Go name if it has no such tag.
func settingName(field reflect.StructField) string {
	for _, tag := range []string{"json", "hcl"} {
		name, _, _ := strings.Cut(field.Tag.Get(tag), ",")
		if name != "" && name != "-" {
			return name
		}
	}
	return field.Name
}

// isHostPort reports whether an address has a host and a numeric port. Host names are valid, although the platform's
// addresses have IP addresses only.
func isHostPort(address string) bool {
	host, port, found := strings.Cut(address, ":")
	return found && host != "" && port != "" && strings.Trim(port, "0123456789") == ""
}

// describeValidationError returns a *SettingError for the first setting in a validation error, and any other error
// unchanged.
func describeValidationError(err error) error {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) || len(fields) == 0 {
		return err
	}
	first := fields[0]
	_, path, _ := strings.Cut(first.Namespace(), ".")
	rule := first.Tag()
	if first.Param() != "" {
		rule += " " + first.Param()
	}
	return settingError(path, "value %v breaks the rule %q", first.Value(), rule)
}

// checkTeams returns an error if two teams have the same name.
func (s *Settings) checkTeams() error {
	names := map[string]bool{}
	for _, team := range s.Params.Teams {
		if names[team.Name] {
			return settingError("params.teams", "team %q is named twice", team.Name)
		}
		names[team.Name] = true
	}
	return nil
}
