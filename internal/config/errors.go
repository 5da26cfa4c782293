package config

import "fmt"

// Kind is what a SettingError refuses, as its text begins.
type Kind string

// The kinds of what is refused.
const (
	KindSetting       Kind = "setting"
	KindLicencePool   Kind = "licence"
	KindSessionPolicy Kind = "sessions, policy"
)

// SettingError is a setting, or a declaration in the operators' file, that is refused.
type SettingError struct {
	Kind   Kind
	Name   string // a setting's path in its file, or the label of a declaration
	Reason string
}

// Error names what is refused, and why.
func (e *SettingError) Error() string { return fmt.Sprintf("%s %q: %s", e.Kind, e.Name, e.Reason) }

// settingError returns the error that refuses a setting, with a formatted reason.
func settingError(path, format string, values ...any) error {
	return &SettingError{Kind: KindSetting, Name: path, Reason: fmt.Sprintf(format, values...)}
}
