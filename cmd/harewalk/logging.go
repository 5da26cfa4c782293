package main

import (
	"io"
	"log/slog"
	"os"
	"strings"
)

// configureLogging lets the default logger write lines of a level and above. LOG_FORMAT in the environment chooses
// between text and JSON.
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

// parseLogLevel returns the level of a name; the empty name is the default, info.
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
