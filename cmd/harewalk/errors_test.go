package main

import (
	"errors"
	"io"
	"path/filepath"
	"testing"
)

// refusedDev returns the error of `harewalk dev` with changed flags.
func refusedDev(change func(*devCluster)) error {
	cluster := devCluster{machines: 1, controllers: 1, speed: 1, zones: []string{"a"}}
	change(&cluster)
	return cluster.check()
}

// refusedCount returns the error of `licence set-count` for the arguments after the pool.
func refusedCount(args ...string) error {
	_, err := countArgument(args, false)
	return err
}

// redirectError returns the error of callLeader for a response.
func redirectError(status int, body string) error {
	_, err := (&apiClient{}).redirect(apiResponse{status: status, body: []byte(body)})
	return err
}

// refusedScript writes a script and returns the error of `harewalk dev` for it.
func refusedScript(t *testing.T, path, script string) error {
	t.Helper()
	writeFile(t, path, script)
	cluster := devCluster{scriptFile: path}
	_, err := cluster.readScript()
	return err
}

// logFormatError returns the error for a value of LOG_FORMAT.
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

// Error texts name the wrong value and what is expected. Scripts rely on the exit codes.
func TestErrorsKeepTextAndExitCode(t *testing.T) {
	const noCode = 0 // no exit code: the request is retried, or the caller adds the code
	script := filepath.Join(t.TempDir(), "faults")
	callError := func(status int) error {
		return apiResponse{status: status, body: []byte(`{"error":"e"}`)}.callError()
	}
	for _, c := range []struct {
		err  error
		code int
		text string
	}{
		{refusedDev(func(d *devCluster) { d.machines = 9000 }), noCode, "--machines 9000 is out of range: must be 1 to 8192"},
		{
			refusedDev(func(d *devCluster) { d.machines = 2_000_000 }), noCode,
			"--machines 2000000 is out of range: must be 1 to 8192",
		},
		{refusedDev(func(d *devCluster) { d.controllers = 0 }), noCode, "--controllers 0 is out of range: must be 1 to 9"},
		{
			refusedDev(func(d *devCluster) { d.speed = 2e6 }), noCode,
			"--speed 2e+06 is out of range: must be more than 0, at most 1000",
		},
		{
			refusedDev(func(d *devCluster) { d.speed = 1000.5 }), noCode,
			"--speed 1000.5 is out of range: must be more than 0, at most 1000",
		},
		{refusedDev(func(d *devCluster) { d.zones = nil }), noCode, "--zones names no zone"},
		{refusedScript(t, script, "1s roll 1s\n"), noCode, "--script " + script +
			": \"roll 1s\" is for `harewalk lab` only: the controllers of `harewalk dev` share one process"},
		{logFormatError(t, "xml"), noCode, `LOG_FORMAT "xml" is neither text nor json`},
		{configureLogging(io.Discard, "loud"), noCode, `LOG_LEVEL "loud" is none of error, info, debug`},
		{checkOutputFormat("xml"), exitUsage, `--output "xml" is none of table, json, yaml`},
		{refusedCount(), exitUsage, "give either a count or --reset"},
		{refusedCount("-1"), exitUsage, `count "-1" is not a whole number`},
		{commandError("admin", "drain", "zone", "a"), exitUsage, `"zone" is neither node nor machine`},
		{
			commandError("lab", "scale"), exitUsage,
			"a plan file is required, or --from with the result file of an earlier run",
		},
		{
			commandError("job", "get", "x", "--ca", "f"), exitUsage,
			"--ca requires a --server address that begins with https://",
		},
		{
			commandError("session", "attach", "x"), exitUsage,
			"the session's token is missing: set --session-token-file or $HAREWALK_SESSION_TOKEN",
		},
		{callError(422), exitRefused, "refused with status 422: e"},
		{callError(401), exitUsage, "e"},
		{callError(404), exitFailed, "status 404: e"},
		{callError(503), noCode, "status 503: e"},
		{redirectError(421, `{"leader":"host:1"}`), noCode, "host:1 is the leader and does not respond"},
		{redirectError(503, "later"), noCode, "later"},
		{
			redirectError(404, "no"), exitUsage,
			"the cluster does not serve this: enable the feature in the operators' settings",
		},
		{redirectError(404, `{"error":"no such job"}`), exitUsage, "no such job"},
		{redirectError(409, `{"error":"changed"}`), exitRefused, "changed (status 409)"},
		{
			sendError(io.EOF, true), exitFailed,
			"no response: check whether the command was applied before you repeat it: EOF",
		},
	} {
		if c.err == nil || c.err.Error() != c.text {
			t.Errorf("got error %v, want %s", c.err, c.text)
			continue
		}
		var exit exitError
		if errors.As(c.err, &exit); exit.code != c.code {
			t.Errorf("%s: got exit code %d, want %d", c.text, exit.code, c.code)
		}
	}
}
