package config

import (
	"errors"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// newValidator returns a validator that names fields as the files do, and has the rule "hostport".
func newValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(settingName)
	// RegisterValidation fails only for an empty name or a nil function.
	_ = validate.RegisterValidation("hostport", func(field validator.FieldLevel) bool {
		return isHostPort(field.Field().String())
	})
	return validate
}

// settingName returns a field's name in JSON or HCL, or its Go name if it has neither.
func settingName(field reflect.StructField) string {
	for _, tag := range []string{"json", "hcl"} {
		name, _, _ := strings.Cut(field.Tag.Get(tag), ",")
		if name != "" && name != "-" {
			return name
		}
	}
	return field.Name
}

// isHostPort reports whether an address has a host and a numeric port. The platform gives hosts by IP address only;
// host names are valid too.
func isHostPort(address string) bool {
	host, port, found := strings.Cut(address, ":")
	return found && host != "" && port != "" && strings.Trim(port, "0123456789") == ""
}

// describeValidationError returns the first setting that breaks its rule as a *SettingError.
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

// checkTeams refuses two teams of one name.
func (s *Settings) checkTeams() error {
	seen := map[string]bool{}
	for _, team := range s.Params.Teams {
		if seen[team.Name] {
			return settingError("params.teams", "team %q is named twice", team.Name)
		}
		seen[team.Name] = true
	}
	return nil
}
