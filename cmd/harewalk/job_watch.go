package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/jobs"
)

// minPollInterval is the lower bound of --every for `job watch` and `job events`.
const minPollInterval = 200 * time.Millisecond

// jobProgress holds the values of one line of `job watch`.
type jobProgress struct {
	ID      string `json:"name_id"`
	State   string `json:"stance"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

func watchCmd(client *apiClient) *cobra.Command {
	var interval time.Duration
	cmd := &cobra.Command{
		Use:   "watch ID",
		Short: "Follow a job until it ends, with a line for each change",
		Args:  cobra.ExactArgs(1),
		Long: "Follow a job until it is done (exit 0) or cancelled (exit 3). After a temporary failure the request is " +
			"repeated.",
		RunE: func(cmd *cobra.Command, args []string) error {
			return client.watch(cmd.OutOrStdout(), jobPath(args[0]), max(interval, minPollInterval))
		},
	}
	cmd.Flags().DurationVar(&interval, "every", 2*time.Second, "time between two requests, at least 200ms")
	return cmd
}

// watch polls a job and prints each change until the job is done or cancelled. A cancelled job is an error.
func (c *apiClient) watch(out io.Writer, path string, interval time.Duration) error {
	var previous jobProgress
	for ; ; time.Sleep(interval) {
		progress, ok, err := c.pollJob(path)
		if err != nil {
			return err
		}
		if !ok {
			continue
		}
		if progress != previous {
			fmt.Fprintf(out, "%s %s: %d done, %d running\n",
				progress.ID, progress.State, progress.Done, progress.Running)
			previous = progress
		}
		switch progress.State {
		case jobs.Done.String():
			return nil
		case jobs.Cancelled.String():
			return refusal(fmt.Errorf("%s %w", progress.ID, errJobCancelled))
		}
	}
}

// pollJob requests a job's progress once. After a temporary failure it returns false without an error. It returns an
// error if a retry can't succeed.
func (c *apiClient) pollJob(path string) (progress jobProgress, ok bool, err error) {
	resp, err := c.send(http.MethodGet, "", path, nil)
	if isFinal(err) || isUntrusted(err) {
		return jobProgress{}, false, err
	}
	if err != nil || resp.status == http.StatusTooManyRequests || resp.status >= http.StatusInternalServerError {
		return jobProgress{}, false, nil
	}
	if resp.status != http.StatusOK {
		refused := &serviceError{status: resp.status, message: strings.TrimSpace(string(resp.body))}
		return jobProgress{}, false, failure(refused.withStatus())
	}
	if json.Unmarshal(resp.body, &progress) != nil {
		return jobProgress{}, false, nil
	}
	return progress, true, nil
}
