package archive

import (
	"errors"
	"strings"
	"testing"
)

// Limits of the state service without room for a move are refused by name, each with its own type of error.
func TestFitsNamesTheLimitThatIsTooSmall(t *testing.T) {
	for _, c := range []struct {
		name               string
		txnOps, valueBytes int
		refused            string // the setting that the error names; "": none
	}{
		{"smallest limits", 2, maxRecordBytes, ""},
		{"one change in a transaction", 1, 1 << 20, "txn_ops"},
		{"values too small", 24, maxRecordBytes - 1, "value_kb"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := Fits(c.txnOps, c.valueBytes)
			switch {
			case c.refused == "" && err != nil:
				t.Errorf("refused: %v", err)
			case c.refused != "" && (err == nil || !strings.Contains(err.Error(), c.refused)):
				t.Errorf("%v, and not an error that names %s", err, c.refused)
			}
			var txnLimit *TxnLimitError
			var valueLimit *ValueLimitError
			if errors.As(err, &txnLimit) != (c.refused == "txn_ops") ||
				errors.As(err, &valueLimit) != (c.refused == "value_kb") {
				t.Errorf("refused for %q with a %T", c.refused, err)
			}
		})
	}
}
