package rollout

import (
	"slices"
	"testing"
)

// TestWrittenFormatsAreRead: the formats of each kind are among those that are read, and levels ascend.
func TestWrittenFormatsAreRead(t *testing.T) {
	for _, format := range RecordFormats {
		last := Level(0)
		for _, write := range format.WriteFormats {
			if write.From <= last {
				t.Errorf("%s: level %d follows level %d", format.Kind, write.From, last)
			}
			last = write.From
			if write.Format != notWritten && !slices.Contains(format.ReadFormats, write.Format) {
				t.Errorf("%s writes format %d and doesn't read it", format.Kind, write.Format)
			}
		}
	}
}

// TestLongestPrefixDecidesTheRecordKind: a key belongs to the most specific kind.
func TestLongestPrefixDecidesTheRecordKind(t *testing.T) {
	for key, kind := range map[string]string{
		"p/@/00003":        "plan-page",
		"p/req-000001/000": "plan",
		"p/images/0":       "image-hints",
		"h/c/term":         "term",
		"h/r/n/a":          "announcement",
		"x":                "",
	} {
		if format, _ := RecordFormatOf(key); format.Kind != kind {
			t.Errorf("%s is of kind %q, want %q", key, format.Kind, kind)
		}
	}
}

// TestAnnouncementListsTheFormats: what a controller announces is what the table lists.
func TestAnnouncementListsTheFormats(t *testing.T) {
	if kinds := len(readFormats()); kinds != len(RecordFormats) {
		t.Errorf("%d kinds are announced, want %d", kinds, len(RecordFormats))
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
			t.Errorf("format %d of %s is written at level %d, want %d", written, c.kind, c.level, c.written)
		}
	}
	reads := map[string][]int{"plan": {1}, "plan-page": {1}, "term": {1, 2}, "archived-job": {1}, "drain-request": {1}}
	for kind, want := range reads {
		if formats := readFormats()[kind]; !slices.Equal(formats, want) {
			t.Errorf("formats %v of %s are read, want %v", formats, kind, want)
		}
	}
}
