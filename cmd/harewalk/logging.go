package main

import (
	"io"
	"log/slog"
	"os"
	"strings"
)

// configureLogging sets the default logger to write lines of the named level and above. The environment variable
// LOG_FORMAT selects the format: text, which is the default, or json.
func configureLogging(out io.Writer, levelName string) error {
	level, err := parseLogLevel(levelName)
	if err != nil {
		return err
	}
	options := &slog.HandlerOptions{Level: level}
	switch format := os.Getenv("LOG_FORMAT"); format {
	case "", "text":
		slog.SetDefault(slog.New(slog.NewTextHandler(out, options)))
	case "json":
		slog.SetDefault(slog.New(slog.NewJSONHandler(out, options)))
	default:
		return &valueError{source: "LOG_FORMAT", value: format, problem: "is neither text nor json"}
	}
	return nil
}

// parseLogLevel returns the level of a name in any case. The empty name means info.
func parseLogLevel(name string) (slog.Level, error) {
	switch strings.ToLower(name) {
	case "error":
		return slog.LevelError, nil
	case "", "info":
		return slog.LevelInfo, nil
	case "debug":
		return slog.LevelDebug, nil
	}
	return 0, &valueError{source: "LOG_LEVEL", value: name, problem: "is none of error, info, debug"}
}
