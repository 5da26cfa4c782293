package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/controller"
	"github.com/harewalk/harewalk/internal/query"
)

func listCmd(o *operator) *cobra.Command {
	var where string
	c := &cobra.Command{
		Use: "list", Short: "List jobs, those that match a filter", Args: cobra.NoArgs,
		Long: "List jobs by id. --where takes comparisons joined by and, or, not and parentheses. Texts (id, stance, class, team,\n" +
			"kind, priority) are compared with =, != and ~ (contains), numbers (tasks, done, running, waiting, age_s) with =, !=,\n" +
			"<, <=, > and >=. An error points at the column.",
		Example: "  harewalk job list --where 'waiting > 0 and team = \"red\"'\n  harewalk job list --where 'stance = running and (class ~ audit or age_s > 3600)' -o json",
		RunE: func(c *cobra.Command, _ []string) error {
			// What is wrong is said before anybody is asked.
			if err := checkWhere(where, controller.ListFields); err != nil {
				return err
			}
			all := []controller.JobSummary{}
			for after := ""; ; {
				var page controller.JobPage
				q := url.Values{"where": {where}, "since": {after}}
				if err := o.ask("GET", "/v2/runs?"+q.Encode(), nil, &page); err != nil {
					return err
				}
				if all = append(all, page.Jobs...); !page.More || len(page.Jobs) == 0 {
					break
				}
				after = page.Jobs[len(page.Jobs)-1].ID
			}
			return o.show(c.OutOrStdout(), all, func(t *tabwriter.Writer) {
				fmt.Fprintln(t, "JOB\tSTANCE\tTEAM\tCLASS\tPRIORITY\tTASKS\tDONE\tRUNNING\tWAITING\tAGE")
				for _, l := range all {
					fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", l.ID, l.State, l.Team, l.Class, l.Priority, l.Tasks, l.Done, l.Running, l.Waiting, brief(l.AgeS))
				}
			})
		},
	}
	c.Flags().StringVar(&where, "where", "", "only jobs that match")
	return c
}

// checkWhere says what is wrong with a filter, and where, before anybody is asked.
func checkWhere(where string, fields query.Fields) error {
	if _, err := query.Parse(where, fields); err != nil {
		return coded{exitUsage, fmt.Errorf("--where, %w\n  %s", err, where)}
	}
	return nil
}

func watchCmd(o *operator) *cobra.Command {
	var every time.Duration
	c := &cobra.Command{
		Use: "watch ID", Short: "Follow a job to its end, a line for each change", Args: cobra.ExactArgs(1),
		Long: "Follow a job until it is done (exit 0) or cancelled (exit 3). An answer that doesn't come is asked for again.",
		RunE: func(c *cobra.Command, args []string) error {
			return o.watch(c.OutOrStdout(), "/v2/runs/"+url.PathEscape(args[0]), max(every, 200*time.Millisecond))
		},
	}
	c.Flags().DurationVar(&every, "every", 2*time.Second, "time between two questions, at least 200ms")
	return c
}

func (o *operator) watch(out io.Writer, at string, every time.Duration) error {
	type view struct {
		ID      string `json:"name_id"`
		Stance  string `json:"stance"`
		Done    int    `json:"done"`
		Running int    `json:"running"`
	}
	var was view
	for ; ; time.Sleep(every) {
		a, err := o.once("GET", "", at, nil)
		status, body := a.status, a.body
		var c coded
		if errors.As(err, &c) || untrusted(err) {
			return err
		}
		var now view
		switch {
		case err != nil || status == 429 || status >= 500 || (status == 200 && json.Unmarshal(body, &now) != nil):
			continue // it is asked again later, as the protocol has it
		case status != 200:
			return coded{exitFailed, fmt.Errorf("status %d: %s", status, strings.TrimSpace(string(body)))}
		}
		if now != was {
			fmt.Fprintf(out, "%s %s: %d done, %d running\n", now.ID, now.Stance, now.Done, now.Running)
			was = now
		}
		switch now.Stance {
		case "done":
			return nil
		case "cancelled":
			return coded{exitRefused, fmt.Errorf("%s is cancelled", now.ID)}
		}
	}
}
