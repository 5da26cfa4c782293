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
		Short: "Show the recent events of a job, or of all jobs",
		Args:  cobra.MaximumNArgs(1),
		Long: "Show events. The leader keeps the newest events of its term in memory. A term event marks a change " +
			"of leader;\n" +
			"earlier events are in the controllers' logs. In --where, event, id, machine and note are compared " +
			"with =, != and ~\n" +
			"(contains), task and age_s with =, !=, <, <=, > and >=. With -o json and --follow each line " +
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
	cmd.Flags().StringVar(&where, "where", "", "show only events that match this filter")
	cmd.Flags().BoolVar(&follow, "follow", false, "print new events until interrupted")
	cmd.Flags().DurationVar(&interval, "every", time.Second, "time between two requests with --follow, at least 200ms")
	return cmd
}

// eventSource requests the events of a job, or of all jobs, page by page.
type eventSource struct {
	client *apiClient
	path   string
	where  string
	since  string // position after the last page, as TERM-INDEX; empty: the first event
}

// next requests the next page and sets the position to its end.
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

// showAll prints all events up to now. The fields of the printed page other than Events are those of the last page.
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

// follow polls for new events and prints them, until callLeader returns an error.
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
