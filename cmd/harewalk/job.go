package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// maxStdinBytes is how many bytes of standard input are read at most. More are ignored.
const maxStdinBytes = 1 << 20

// jobView is the part of a response about a job that the commands print.
type jobView struct {
	ID      string `json:"name_id"`
	State   string `json:"stance"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

// jobPath returns the path of a job in the service's API.
func jobPath(id string) string { return "/v2/runs/" + url.PathEscape(id) }

func jobCmd() *cobra.Command {
	var client apiClient
	cmd := &cobra.Command{Use: "job", Short: "Submit, query, follow and cancel jobs"}
	client.addFlags(cmd)
	cmd.AddCommand(
		submitCmd(&client),
		getCmd(&client),
		listCmd(&client),
		watchCmd(&client),
		whyCmd(&client),
		eventsCmd(&client),
		cancelCmd(&client),
	)
	return cmd
}

func submitCmd(client *apiClient) *cobra.Command {
	return &cobra.Command{
		Use:   "submit FILE",
		Short: "Submit the job in a JSON file (- for standard input)",
		Args:  cobra.ExactArgs(1),
		Long: "Submit a job. If the service can't accept the job now, the request is retried for up to a minute,\n" +
			"at the delays that the response's Retry-After header sets.",
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := readFile(args[0], cmd.InOrStdin())
			if err != nil {
				return usageError(err)
			}
			return client.showJob(cmd.OutOrStdout(), http.MethodPost, "/v2/runs", body)
		},
	}
}

func getCmd(client *apiClient) *cobra.Command {
	return &cobra.Command{
		Use:   "get ID",
		Short: "Show a job's state and how many of its tasks are done and running",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return client.showJob(cmd.OutOrStdout(), http.MethodGet, jobPath(args[0]), nil)
		},
	}
}

func cancelCmd(client *apiClient) *cobra.Command {
	return &cobra.Command{
		Use:   "cancel ID",
		Short: "Cancel a job",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return client.showJob(cmd.OutOrStdout(), http.MethodPost, jobPath(args[0])+"/abort", []byte("{}"))
		},
	}
}

// showJob sends a request whose response is a job, and prints the job.
func (c *apiClient) showJob(out io.Writer, method, path string, body []byte) error {
	raw, err := c.callAny(method, path, body)
	if err != nil {
		return err
	}
	var job jobView
	if err := json.Unmarshal(raw, &job); err != nil {
		return failure(fmt.Errorf("%w: %w", errMalformedResponse, err))
	}
	return c.show(out, job, func(table *tabwriter.Writer) {
		counts := ""
		if job.Done != nil && job.Running != nil {
			counts = fmt.Sprintf("\t%d done, %d running", *job.Done, *job.Running)
		}
		fmt.Fprintf(table, "%s\t%s%s\n", job.ID, job.State, counts)
	})
}

// readFile reads a file, or standard input if the name is "-".
func readFile(name string, stdin io.Reader) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(io.LimitReader(stdin, maxStdinBytes))
	}
	return os.ReadFile(name)
}
