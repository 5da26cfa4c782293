package main

import (
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/controller"
	"github.com/harewalk/harewalk/internal/query"
)

func listCmd(client *apiClient) *cobra.Command {
	var where string
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List all jobs, or those that match a filter",
		Args:  cobra.NoArgs,
		Long: "List jobs by id. --where takes comparisons joined by and, or, not and parentheses. Strings (id, " +
			"stance, class, team,\n" +
			"kind, priority) are compared with =, != and ~ (contains), numbers (tasks, done, running, " +
			"waiting, predecessors, age_s) with =, !=,\n" +
			"<, <=, > and >=. The error for a wrong filter names the column.",
		Example: "  harewalk job list --where 'waiting > 0 and team = \"red\"'\n" +
			"  harewalk job list --where 'stance = running and (class ~ audit or age_s > 3600)' -o json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkWhere(where, controller.JobFilterFields); err != nil {
				return err
			}
			jobs, err := client.listJobs(where)
			if err != nil {
				return err
			}
			return client.show(cmd.OutOrStdout(), jobs, func(table *tabwriter.Writer) { writeJobs(table, jobs) })
		},
	}
	cmd.Flags().StringVar(&where, "where", "", "show only jobs that match this filter")
	return cmd
}

// listJobs requests all pages of the jobs that match a filter. If no job matches, the list is empty, not nil.
func (c *apiClient) listJobs(where string) ([]controller.JobSummary, error) {
	jobs := []controller.JobSummary{}
	lastID := ""
	for {
		filter := url.Values{"where": {where}, "since": {lastID}}
		var page controller.JobPage
		err := c.callLeader(request{method: http.MethodGet, path: "/v2/runs?" + filter.Encode()}, &page)
		if err != nil {
			return nil, err
		}
		jobs = append(jobs, page.Jobs...)
		if !page.More || len(page.Jobs) == 0 {
			return jobs, nil
		}
		lastID = page.Jobs[len(page.Jobs)-1].ID
	}
}

func writeJobs(table *tabwriter.Writer, jobs []controller.JobSummary) {
	fmt.Fprintln(table, "JOB\tSTANCE\tTEAM\tCLASS\tPRIORITY\tTASKS\tDONE\tRUNNING\tWAITING\tPREDECESSORS\tAGE")
	for _, job := range jobs {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t", job.ID, job.State, job.Team, job.Class, job.Priority)
		fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%d\t",
			job.Tasks, job.Done, job.Running, job.Waiting, job.Predecessors)
		fmt.Fprintf(table, "%s\n", formatSeconds(job.AgeS))
	}
}

// checkWhere parses a filter before any request is sent. Its error names the column of the mistake.
func checkWhere(where string, fields query.Fields) error {
	if _, err := query.Parse(where, fields); err != nil {
		return usageError(fmt.Errorf("--where, %w\n  %s", err, where))
	}
	return nil
}
