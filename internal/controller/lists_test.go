package controller

import (
	"testing"

	"github.com/harewalk/harewalk/internal/query"
)

// matches parses a filter over fields and reports whether an entry matches it.
func matches[Entry any](t *testing.T, fields *listFields[Entry], filter string, entry Entry) bool {
	t.Helper()
	parsed, err := query.Parse(filter, fields.kinds)
	if err != nil {
		t.Fatalf("%s: %v", filter, err)
	}
	return fields.match(parsed, &entry)
}

// Each field of a filter reads its own value of a job and of an event. An event that is not about a task has task -1.
func TestFilterFieldsReadTheirOwnValue(t *testing.T) {
	job := JobSummary{
		ID: "i", State: "s", Class: "c", Team: "t", Kind: "k", Priority: "p",
		Tasks: 1, Done: 2, Running: 3, Waiting: 4, AgeS: 5, Predecessors: 6,
	}
	for field, want := range map[string]string{
		"id": "i", "stance": "s", "class": "c", "team": "t", "kind": "k", "priority": "p",
		"tasks": "1", "done": "2", "running": "3", "waiting": "4", "age_s": "5", "predecessors": "6",
	} {
		if !matches(t, jobFields, field+" = "+want, job) || matches(t, jobFields, field+" != "+want, job) {
			t.Errorf("filter on jobs: field %s doesn't read the value %s", field, want)
		}
	}
	task := int32(7)
	event := EventView{Kind: "k", Job: "i", Machine: "m", Note: "n", Task: &task, AgeS: 8}
	for field, want := range map[string]string{
		"event": "k", "id": "i", "machine": "m", "note": "n", "task": "7", "age_s": "8",
	} {
		if !matches(t, eventFields, field+" = "+want, event) || matches(t, eventFields, field+" != "+want, event) {
			t.Errorf("filter on events: field %s doesn't read the value %s", field, want)
		}
	}
	if !matches(t, eventFields, "task = -1", EventView{}) {
		t.Error("filter on events: field task doesn't read -1 for an event without a task")
	}
}
