package api

import (
	"errors"
	"testing"
)

func TestOperatorCommandsRequireTokenOrLoopback(t *testing.T) {
	for _, c := range []struct {
		configured, token, remoteIP string
		want                        error
	}{
		{"", "", "127.0.0.1", nil},
		{"", "", "10.0.0.7", errLocalCommandsOnly},
		{"", "x", "10.0.0.7", errLocalCommandsOnly},
		{"", "", "", errLocalCommandsOnly},
		{"secret-secret-secret", "secret-secret-secret", "10.0.0.7", nil},
		{"secret-secret-secret", "", "127.0.0.1", errOperatorToken},
		{"secret-secret-secret", "secret-secret-secreT", "127.0.0.1", errOperatorToken},
	} {
		leader := LeaderAPI{OperatorToken: c.configured}
		err := leader.checkOperatorToken(c.token, c.remoteIP)
		if !errors.Is(err, c.want) || (err != nil && err.Error() == "") {
			t.Errorf("configured %q, token %q, remote IP %q: got error %v, want %v with a non-empty text",
				c.configured, c.token, c.remoteIP, err, c.want)
		}
	}
}
