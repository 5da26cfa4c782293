// Package config reads the platform's JSON settings and the operators' own HCL file, validates both, and derives the
// defaults and durations that other packages need.
//
// It owns the names, bounds and defaults of all settings. It rejects combinations under which the controller couldn't
// keep a guarantee. It never writes a file. Settings are read once, at the start: a change takes a restart. Only the
// files with keys and users that the settings name are reread, by package access. The commands and the simulator call
// the package once for each controller.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/hashicorp/hcl/v2/hclsimple"

	"github.com/harewalk/harewalk/internal/sessions"
)

// Load reads the platform's file and, if hclPath isn't empty, the operators' file. An error names the file and the
// invalid setting; most are a *SettingError.
func Load(path, hclPath string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	settings, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if hclPath != "" {
		if err := settings.LoadOperator(hclPath); err != nil {
			return nil, err
		}
	}
	return settings, nil
}

// Parse reads and validates the platform's settings. The operators' settings have their defaults until ParseOperator is
// called. Unknown fields are ignored, since a newer platform may send them.
func Parse(raw []byte) (*Settings, error) {
	settings := &Settings{}
	if err := json.Unmarshal(raw, settings); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return nil, settingError(typeError.Field, "%s is not a %s", typeError.Value, typeError.Type)
		}
		return nil, fmt.Errorf("settings are not valid JSON: %w", err)
	}
	settings.applyDefaults()
	settings.sessions = &sessions.Policies{}
	if err := newValidator().Struct(settings); err != nil {
		return nil, describeValidationError(err)
	}
	if err := settings.checkTiming(); err != nil {
		return nil, err
	}
	if err := settings.checkTeams(); err != nil {
		return nil, err
	}
	return settings, nil
}

// LoadOperator reads the operators' own settings from a file, as ParseOperator does.
func (s *Settings) LoadOperator(path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("operators' settings: %w", err)
	}
	return s.ParseOperator(path, raw)
}

// ParseOperator adds the operators' own settings from HCL, validates them, and reads the files that they name. The path
// isn't opened: it is only named in errors, and has to end in .hcl.
func (s *Settings) ParseOperator(path string, raw []byte) error {
	if err := hclsimple.Decode(path, raw, nil, &s.Operator); err != nil {
		return fmt.Errorf("operators' settings: %w", err)
	}
	s.applyDefaults()
	if err := newValidator().Struct(&s.Operator); err != nil {
		return fmt.Errorf("%s: %w", path, describeValidationError(err))
	}
	steps := []func() error{
		s.checkTiming,
		s.checkArchive,
		s.deriveLicencePools,
		s.deriveSessions,
		s.Operator.readToken,
		s.loadAccessFiles,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return nil
}
