package config

import (
	"errors"
	"strings"
	"testing"
)

// An invalid setting or declaration is reported as a SettingError with the right kind, name and text.
func TestInvalidSettingIsASettingError(t *testing.T) {
	const operatorFile = "o.hcl"
	for _, c := range []struct {
		platformOld, platformNew string // text in platformJSON and its replacement
		operator                 string // content of the operators' file; "" means no file
		kind                     Kind
		name, text               string
	}{
		{
			platformOld: `"txn_ops":24`, platformNew: `"txn_ops":"24"`,
			kind: KindSetting, name: "params.state.txn_ops",
			text: `setting "params.state.txn_ops": string is not a int`,
		},
		{
			platformOld: `"lease_s":19.0`, platformNew: `"lease_s":0`,
			kind: KindSetting, name: "params.workers.lease_s",
			text: `setting "params.workers.lease_s": value 0 breaks the rule "gt 0"`,
		},
		{
			platformOld: `"cancel_s":39.0`, platformNew: `"cancel_s":20`,
			kind: KindSetting, name: "params.workers.cancel_s",
			text: `setting "params.workers.cancel_s": 20 s is too short for a worker lease of 19 s ("lease_s"), ` +
				`a controller lease of at least 2s and 2.5s for commands in flight: at least 23.5 s is needed`,
		},
		{
			platformOld: `"teams":[{"name":"t",`, platformNew: `"teams":[{"name":"t"},{"name":"t",`,
			kind: KindSetting, name: "params.teams",
			text: `setting "params.teams": team "t" is named twice`,
		},
		{
			operator: "hold_ttl_ms = 18000\n",
			kind:     KindSetting, name: "hold_ttl_ms",
			text: `o.hcl: setting "hold_ttl_ms": a controller lease of 18s is too long for "cancel_s" 39 ` +
				`and "lease_s" 19: at most 17461 ms is allowed`,
		},
		{
			operator: "licence \"p\" {\n count = 1\n reserve = 2\n}\n",
			kind:     KindLicencePool, name: "p",
			text: `o.hcl: licence "p": reserve 2 is more than its count 1`,
		},
		{
			operator: "licence \"p\" {\n count = 1\n team \"nobody\" {}\n}\n",
			kind:     KindLicencePool, name: "p",
			text: `o.hcl: licence "p": team "nobody" is not one of the platform's teams`,
		},
		{
			operator: "licence \"p\" {\n count = 4\n team \"t\" {}\n team \"t\" {}\n}\n",
			kind:     KindLicencePool, name: "p",
			text: `o.hcl: licence "p": team "t" is named twice`,
		},
		{
			operator: "licence \"p\" {\n count = 4\n team \"t\" {\n  guarantee = 3\n  most = 2\n }\n}\n",
			kind:     KindLicencePool, name: "p",
			text: `o.hcl: licence "p": team "t" is guaranteed 3 units but limited to 2`,
		},
		{
			operator: "licence \"p\" {\n count = 4\n team \"t\" { guarantee = 5 }\n}\n",
			kind:     KindLicencePool, name: "p",
			text: `o.hcl: licence "p": teams are guaranteed 5 units in all, but only 4 of 4 are available`,
		},
		{
			operator: "sessions {\n policy \"x\" {}\n}\n",
			kind:     KindSessionPolicy, name: "x",
			text: `o.hcl: sessions, policy "x": the name is neither one of the platform's teams nor "default"`,
		},
		{
			operator: "sessions {\n policy \"t\" {}\n policy \"t\" {}\n}\n",
			kind:     KindSessionPolicy, name: "t",
			text: `o.hcl: sessions, policy "t": there are two policies with this name`,
		},
	} {
		settings, err := Parse([]byte(strings.Replace(platformJSON, c.platformOld, c.platformNew, 1)))
		if err == nil && c.operator != "" {
			err = settings.ParseOperator(operatorFile, []byte(c.operator))
		}
		var settingErr *SettingError
		if !errors.As(err, &settingErr) {
			t.Errorf("error %v, want a SettingError with the text %s", err, c.text)
			continue
		}
		if settingErr.Kind != c.kind || settingErr.Name != c.name || err.Error() != c.text {
			t.Errorf("error %q of kind %q, name %q; want %q of kind %q, name %q",
				err, settingErr.Kind, settingErr.Name, c.text, c.kind, c.name)
		}
	}
}

// An error for a repeated licence pool or for an idle rule that isn't a string wraps its cause and has the right text.
func TestErrorsWithAPositionWrapTheirCause(t *testing.T) {
	for operator, want := range map[string]struct {
		cause error
		text  string
	}{
		"licence \"p\" { count = 1 }\nlicence \"p\" { count = 1 }\n": {
			errDeclaredTwice, `o.hcl: licence "p" is declared twice`,
		},
		"sessions {\n policy \"t\" {\n  idle = true\n }\n}\n": {
			errIdleRuleNotText, `o.hcl: sessions, policy "t": o.hcl:3,10: idle must be an expression in quotes`,
		},
	} {
		settings, err := Parse([]byte(platformJSON))
		if err != nil {
			t.Fatal(err)
		}
		err = settings.ParseOperator("o.hcl", []byte(operator))
		if !errors.Is(err, want.cause) || err.Error() != want.text {
			t.Errorf("error %v, want %s, wrapping %q", err, want.text, want.cause)
		}
	}
}

// An operators' token below the minimum length is rejected with an error that names its file.
func TestShortOperatorTokenIsRejected(t *testing.T) {
	path := writePlatformFile(t) + ".token"
	writeFile(t, path, "short\n")
	settings, err := Parse([]byte(platformJSON))
	if err != nil {
		t.Fatal(err)
	}
	err = settings.ParseOperator("o.hcl", []byte(`operator_token_file = "`+path+`"`))
	want := "o.hcl: operator_token_file " + path + ": the token must have at least 16 characters"
	if !errors.Is(err, errTokenTooShort) || err.Error() != want {
		t.Errorf("error %v, want %s", err, want)
	}
}
