package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/controller"
)

func eventsCmd(client *apiClient) *cobra.Command {
	var where string
	var follow bool
	var interval time.Duration
	cmd := &cobra.Command{
		Use:   "events [ID]",
		Short: "Tell what happened to a job, or to all, lately",
		Args:  cobra.MaximumNArgs(1),
		Long: "Tell what happened: the leader keeps the newest events of its term in memory. Where another " +
			"has come to lead, its\n" +
			"term event says so; what was before stands in the controllers' logs. --where compares event, " +
			"id, machine and note\n" +
			"with =, != and ~, task and age_s with =, !=, <, <=, > and >=. With -o json and --follow each line " +
			"is one event.",
		Example: "  harewalk job events req-000412 --follow\n" +
			"  harewalk job events --where 'event = task_ended and note = error'",
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkWhere(where, controller.EventFilterFields); err != nil {
				return err
			}
			source := eventSource{client: client, path: "/v2/events", where: where}
			if len(args) == 1 {
				source.path = jobPath(args[0]) + "/events"
			}
			if follow {
				return source.follow(cmd.OutOrStdout(), max(interval, minPollInterval))
			}
			return source.showAll(cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&where, "where", "", "only events that match")
	cmd.Flags().BoolVar(&follow, "follow", false, "go on with what happens, until interrupted")
	cmd.Flags().DurationVar(&interval, "every", time.Second, "time between two questions with --follow, at least 200ms")
	return cmd
}

// eventSource requests the events of a job, or of all jobs, page by page.
type eventSource struct {
	client *apiClient
	path   string
	where  string
	since  string // the position after the last page; empty: the beginning
}

// next returns the next page and moves the position behind it.
func (s *eventSource) next() (controller.EventPage, error) {
	filter := url.Values{"where": {s.where}, "since": {s.since}}
	var page controller.EventPage
	err := s.client.callLeader(request{method: http.MethodGet, path: s.path + "?" + filter.Encode()}, &page)
	if err != nil {
		return page, err
	}
	s.since = fmt.Sprintf("%d-%d", page.Term, page.Next)
	return page, nil
}

// showAll prints all events up to now. The values beside the events are those of the last page.
func (s *eventSource) showAll(out io.Writer) error {
	var all controller.EventPage
	for more := true; more; {
		page, err := s.next()
		if err != nil {
			return err
		}
		more = page.More
		page.Events = append(all.Events, page.Events...)
		all = page
	}
	return s.client.show(out, all, func(table *tabwriter.Writer) {
		fmt.Fprintln(table, "AGE\tEVENT\tJOB\tTASK\tMACHINE\tATTEMPT\tNOTE")
		for _, event := range all.Events {
			fmt.Fprintln(table, strings.Join(eventCells(event), "\t"))
		}
	})
}

// follow prints events as they happen, until a request fails for good.
func (s *eventSource) follow(out io.Writer, interval time.Duration) error {
	for {
		page, err := s.next()
		if err != nil {
			return err
		}
		for _, event := range page.Events {
			s.writeLine(out, event)
		}
		if !page.More {
			time.Sleep(interval)
		}
	}
}

func (s *eventSource) writeLine(out io.Writer, event controller.EventView) {
	if s.client.output == outputTable {
		fmt.Fprintln(out, strings.Join(eventCells(event), "  "))
		return
	}
	raw, _ := json.Marshal(event)
	fmt.Fprintf(out, "%s\n", raw)
}

func eventCells(event controller.EventView) []string {
	task, attempt, note := "-", "-", event.Note
	if event.Task != nil {
		task = fmt.Sprint(*event.Task)
	}
	if event.Attempt != 0 {
		attempt = fmt.Sprint(event.Attempt)
	}
	if event.Saved {
		note += ", saved"
	}
	return []string{
		formatSeconds(event.AgeS),
		event.Kind,
		orDash(event.Job),
		task,
		orDash(event.Machine),
		attempt,
		note,
	}
}
