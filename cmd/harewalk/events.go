package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/controller"
)

func eventsCmd(o *operator) *cobra.Command {
	var where string
	var follow bool
	var every time.Duration
	c := &cobra.Command{
		Use: "events [ID]", Short: "Tell what happened to a job, or to all, lately", Args: cobra.MaximumNArgs(1),
		Long: "Tell what happened: the leader keeps the newest events of its term in memory. Where another has come to lead, its\n" +
			"term event says so; what was before stands in the controllers' logs. --where compares event, id, machine and note\n" +
			"with =, != and ~, task and age_s with =, !=, <, <=, > and >=. With -o json and --follow each line is one event.",
		Example: "  harewalk job events req-000412 --follow\n  harewalk job events --where 'event = task_ended and note = error'",
		RunE: func(c *cobra.Command, args []string) error {
			if err := checkWhere(where, controller.EventFields); err != nil {
				return err
			}
			path := "/v2/events"
			if len(args) == 1 {
				path = "/v2/runs/" + url.PathEscape(args[0]) + "/events"
			}
			if follow {
				return o.followEvents(c.OutOrStdout(), path, where, max(every, 200*time.Millisecond))
			}
			var all controller.EventPage
			if _, err := o.events(path, where, "", func(h controller.EventPage) {
				h.Events = append(all.Events, h.Events...)
				all = h
			}); err != nil {
				return err
			}
			return o.show(c.OutOrStdout(), all, func(t *tabwriter.Writer) {
				fmt.Fprintln(t, "AGE\tEVENT\tJOB\tTASK\tMACHINE\tATTEMPT\tNOTE")
				for _, e := range all.Events {
					fmt.Fprintln(t, strings.Join(eventCells(e), "\t"))
				}
			})
		},
	}
	c.Flags().StringVar(&where, "where", "", "only events that match")
	c.Flags().BoolVar(&follow, "follow", false, "go on with what happens, until interrupted")
	c.Flags().DurationVar(&every, "every", time.Second, "time between two questions with --follow, at least 200ms")
	return c
}

// events asks for all pages from a place on and returns the place after them.
func (o *operator) events(path, where, since string, page func(controller.EventPage)) (string, error) {
	for {
		var h controller.EventPage
		if err := o.ask("GET", path+"?"+url.Values{"where": {where}, "since": {since}}.Encode(), nil, &h); err != nil {
			return since, err
		}
		page(h)
		since = fmt.Sprintf("%d-%d", h.Term, h.Next)
		if !h.More {
			return since, nil
		}
	}
}

func (o *operator) followEvents(out io.Writer, path, where string, every time.Duration) error {
	for since := ""; ; time.Sleep(every) {
		var err error
		if since, err = o.events(path, where, since, func(h controller.EventPage) {
			for _, e := range h.Events {
				if o.output == "table" {
					fmt.Fprintln(out, strings.Join(eventCells(e), "  "))
					continue
				}
				raw, _ := json.Marshal(e)
				fmt.Fprintf(out, "%s\n", raw)
			}
		}); err != nil {
			return err
		}
	}
}

func eventCells(e controller.EventView) []string {
	task, attempt, note := "-", "-", e.Note
	if e.Task != nil {
		task = fmt.Sprint(*e.Task)
	}
	if e.Attempt != 0 {
		attempt = fmt.Sprint(e.Attempt)
	}
	if e.Saved {
		note += ", saved"
	}
	return []string{brief(e.AgeS), e.Kind, orDash(e.Job), task, orDash(e.Machine), attempt, note}
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
