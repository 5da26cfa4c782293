package rollout

import (
	"slices"
	"testing"
)

// TestWrittenFormatsAreRead checks for each kind of record that this release reads all formats that it writes, and that
// the levels of its WriteFormats ascend.
func TestWrittenFormatsAreRead(t *testing.T) {
	for _, kind := range RecordKinds {
		last := Level(0)
		for _, write := range kind.WriteFormats {
			if write.From <= last {
				t.Errorf("%s: got level %d after level %d, want ascending levels", kind.Kind, write.From, last)
			}
			last = write.From
			if write.Format != notWritten && !slices.Contains(kind.ReadFormats, write.Format) {
				t.Errorf("%s: got written format %d, want one of ReadFormats", kind.Kind, write.Format)
			}
		}
	}
}

// TestLongestPrefixDecidesTheRecordKind checks that a key belongs to the kind of record with the longest prefix.
func TestLongestPrefixDecidesTheRecordKind(t *testing.T) {
	for key, kind := range map[string]string{
		"p/@/00003":        "plan-page",
		"p/req-000001/000": "plan",
		"p/images/0":       "image-hints",
		"h/c/term":         "term",
		"h/r/n/a":          "announcement",
		"x":                "",
	} {
		if format, _ := RecordKindOf(key); format.Kind != kind {
			t.Errorf("key %s: got kind %q, want %q", key, format.Kind, kind)
		}
	}
}

// TestAnnouncementListsTheFormats checks that the announced formats are those listed in RecordKinds.
func TestAnnouncementListsTheFormats(t *testing.T) {
	if kinds := len(readFormats()); kinds != len(RecordKinds) {
		t.Errorf("announced kinds of record: got %d, want %d", kinds, len(RecordKinds))
	}
	for _, c := range []struct {
		kind    string
		level   Level
		written int
	}{
		{"plan", Base, 1},
		{"plan", Paged, 0},
		{"term", Paged, 2},
	} {
		if written := writtenFormats(c.level)[c.kind]; written != c.written {
			t.Errorf("got written format %d of %s at level %d, want %d", written, c.kind, c.level, c.written)
		}
	}
	reads := map[string][]int{"plan": {1}, "plan-page": {1}, "term": {1, 2}, "archived-job": {1}, "drain-request": {1}}
	for kind, want := range reads {
		if formats := readFormats()[kind]; !slices.Equal(formats, want) {
			t.Errorf("got read formats %v of %s, want %v", formats, kind, want)
		}
	}
}
