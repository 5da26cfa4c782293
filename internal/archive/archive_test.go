package archive

import (
	"errors"
	"strings"
	"testing"
)

// CheckLimits rejects limits that are too small for a move. The error names the setting and has its own type.
func TestFitsNamesTheLimitThatIsTooSmall(t *testing.T) {
	for _, c := range []struct {
		name               string
		txnOps, valueBytes int
		setting            string // setting that the error names; "" if no error is wanted
	}{
		{"smallest limits", 2, maxEntryBytes, ""},
		{"one change in a transaction", 1, 1 << 20, "txn_ops"},
		{"values too small", 24, maxEntryBytes - 1, "value_kb"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := CheckLimits(c.txnOps, c.valueBytes)
			switch {
			case c.setting == "" && err != nil:
				t.Errorf("error %v, want none", err)
			case c.setting != "" && (err == nil || !strings.Contains(err.Error(), c.setting)):
				t.Errorf("error %v, want one that names %s", err, c.setting)
			}
			var txnLimit *TxnLimitError
			var valueLimit *ValueLimitError
			if errors.As(err, &txnLimit) != (c.setting == "txn_ops") ||
				errors.As(err, &valueLimit) != (c.setting == "value_kb") {
				t.Errorf("error for setting %q has type %T, want the type of that setting", c.setting, err)
			}
		})
	}
}
