package config

import "fmt"

// Kind is the kind of setting or declaration that a SettingError is about. The error's text begins with it.
type Kind string

// The kinds of a SettingError.
const (
	KindSetting       Kind = "setting"
	KindLicencePool   Kind = "licence"
	KindSessionPolicy Kind = "sessions, policy"
)

// SettingError reports an invalid setting, or an invalid declaration in the operators' file.
type SettingError struct {
	Kind   Kind
	Name   string // the setting's path in its file, or the declaration's label
	Reason string
}

// Error returns the kind and name of the setting or declaration, and the reason why it is invalid.
func (e *SettingError) Error() string { return fmt.Sprintf("%s %q: %s", e.Kind, e.Name, e.Reason) }

// settingError returns a *SettingError for the setting at a path, with a formatted reason.
func settingError(path, format string, values ...any) error {
	return &SettingError{Kind: KindSetting, Name: path, Reason: fmt.Sprintf(format, values...)}
}
