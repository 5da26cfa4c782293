package planner

import (
	"slices"
	"testing"
)

func TestFirstFitPlacesAllTasksOrNone(t *testing.T) {
	hosts := []Host{
		{1, 0, Size{CPUs: 4}},
		{2, 1, Size{CPUs: 8}},
		{3, 0, Size{CPUs: 4}},
	}
	task := Size{CPUs: 4}
	cases := []struct {
		name    string
		count   int
		oneZone bool
		perZone int
		want    []int32
	}{
		{name: "too many tasks", count: 5, want: nil},
		{name: "all hosts full", count: 4, want: []int32{1, 2, 2, 3}},
		{name: "too many tasks for one zone", count: 3, oneZone: true, want: nil},
		{name: "one zone full", count: 2, oneZone: true, want: []int32{1, 3}},
		{name: "too many tasks for the limit per zone", count: 3, perZone: 1, want: nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := FirstFit(hosts, task, c.count, c.oneZone, c.perZone)
			if (got == nil) != (c.want == nil) || !slices.Equal(got, c.want) {
				t.Fatalf("got %v, want %v", got, c.want)
			}
		})
	}
}
