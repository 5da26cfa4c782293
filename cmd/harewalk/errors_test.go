package main

import (
	"errors"
	"io"
	"path/filepath"
	"testing"
)

// refusedDev returns the error of a simulated cluster with one flag out of bounds.
func refusedDev(change func(*devCluster)) error {
	cluster := devCluster{machines: 1, controllers: 1, speed: 1, zones: []string{"a"}}
	change(&cluster)
	return cluster.check()
}

// refusedCount returns the error of `licence set-count` for a count.
func refusedCount(args ...string) error {
	_, err := countArgument(args, false)
	return err
}

// redirectError returns the error for a leader's response.
func redirectError(status int, body string) error {
	_, err := (&apiClient{}).redirect(apiResponse{status: status, body: []byte(body)})
	return err
}

// refusedScript returns the error of `harewalk dev` for a script.
func refusedScript(t *testing.T, path, script string) error {
	t.Helper()
	writeFile(t, path, script)
	cluster := devCluster{scriptFile: path}
	_, err := cluster.readScript()
	return err
}

// logFormatError returns the error for a LOG_FORMAT in the environment.
func logFormatError(t *testing.T, format string) error {
	t.Helper()
	t.Setenv("LOG_FORMAT", format)
	return configureLogging(io.Discard, "error")
}

// commandError returns the error of a command that is refused before any request is sent.
func commandError(args ...string) error {
	root := rootCmd(nil)
	root.SetArgs(args)
	return root.Execute()
}

// Errors keep the texts that operators know and the exit codes that scripts rely on.
func TestErrorsKeepTextAndExitCode(t *testing.T) {
	const noCode = 0 // the request is repeated, or the caller adds the code
	script := filepath.Join(t.TempDir(), "faults")
	callError := func(status int) error {
		return apiResponse{status: status, body: []byte(`{"error":"e"}`)}.callError()
	}
	for _, c := range []struct {
		err  error
		code int
		text string
	}{
		{refusedDev(func(d *devCluster) { d.machines = 9000 }), noCode, "--machines 9000: 1 to 8192"},
		{refusedDev(func(d *devCluster) { d.machines = 2_000_000 }), noCode, "--machines 2000000: 1 to 8192"},
		{refusedDev(func(d *devCluster) { d.controllers = 0 }), noCode, "--controllers 0: 1 to 9"},
		{refusedDev(func(d *devCluster) { d.speed = 2e6 }), noCode, "--speed 2e+06: more than 0, at most 1000"},
		{refusedDev(func(d *devCluster) { d.speed = 1000.5 }), noCode, "--speed 1000.5: more than 0, at most 1000"},
		{refusedDev(func(d *devCluster) { d.zones = nil }), noCode, "--zones names no zone"},
		{refusedScript(t, script, "1s roll 1s\n"), noCode, "--script " + script +
			": \"roll 1s\" is for `harewalk lab` only: here the controllers share one process"},
		{logFormatError(t, "xml"), noCode, `LOG_FORMAT "xml" is neither text nor json`},
		{configureLogging(io.Discard, "loud"), noCode, `LOG_LEVEL "loud" is none of error, info, debug`},
		{checkOutputFormat("xml"), exitUsage, `--output "xml" is none of table, json, yaml`},
		{refusedCount(), exitUsage, "give either a count or --reset"},
		{refusedCount("-1"), exitUsage, `count "-1" is not a whole number`},
		{commandError("admin", "drain", "zone", "a"), exitUsage, `"zone" is neither node nor machine`},
		{commandError("lab", "scale"), exitUsage, "name a plan, or a run's file with --from"},
		{commandError("job", "get", "x", "--ca", "f"), exitUsage, "--ca is for a --server that begins with https://"},
		{
			commandError("session", "attach", "x"), exitUsage,
			"the session's token is missing: give --session-token-file or $HAREWALK_SESSION_TOKEN",
		},
		{callError(422), exitRefused, "refused with status 422: e"},
		{callError(401), exitUsage, "e"},
		{callError(404), exitFailed, "status 404: e"},
		{callError(503), noCode, "status 503: e"},
		{redirectError(421, `{"leader":"host:1"}`), noCode, "host:1 leads and does not answer"},
		{redirectError(503, "later"), noCode, "later"},
		{
			redirectError(404, "no"), exitUsage,
			"the cluster has no such thing; is it switched on in its operators' settings?",
		},
		{redirectError(404, `{"error":"no such job"}`), exitUsage, "no such job"},
		{redirectError(409, `{"error":"changed"}`), exitRefused, "changed (status 409)"},
		{
			sendError(io.EOF, true), exitFailed,
			"no answer: look whether the command was carried out before giving it again: EOF",
		},
	} {
		if c.err == nil || c.err.Error() != c.text {
			t.Errorf("error %v, want %s", c.err, c.text)
			continue
		}
		var exit exitError
		if errors.As(c.err, &exit); exit.code != c.code {
			t.Errorf("%s: exit code %d, want %d", c.text, exit.code, c.code)
		}
	}
}
