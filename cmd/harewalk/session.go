package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/sessions"
)

const sessionsPath = "/v2/sessions"

// sessionPath returns the path of an operation on a session in the service's API.
func sessionPath(id, operation string) string {
	return sessionsPath + "/" + url.PathEscape(id) + "/" + operation
}

// minKeepAliveInterval is the lower bound of --every for `session keep`.
const minKeepAliveInterval = time.Second

// sessionToken is the source of the token of a session's user: a file, or else the environment.
type sessionToken struct{ file string }

func (s *sessionToken) addFlag(cmd *cobra.Command) {
	const usage = "file with the session's token, as `session open` printed it " +
		"(or $HAREWALK_SESSION_TOKEN_FILE, or the token in $HAREWALK_SESSION_TOKEN)"
	cmd.Flags().StringVar(&s.file, "session-token-file", os.Getenv("HAREWALK_SESSION_TOKEN_FILE"), usage)
}

func (s *sessionToken) read() (string, error) {
	if s.file != "" {
		raw, err := os.ReadFile(s.file)
		if err != nil {
			return "", usageError(fmt.Errorf("--session-token-file: %w", err))
		}
		return strings.TrimSpace(string(raw)), nil
	}
	if token := os.Getenv("HAREWALK_SESSION_TOKEN"); token != "" {
		return token, nil
	}
	return "", usageError(errNoSessionToken)
}

func sessionCmd() *cobra.Command {
	var client apiClient
	cmd := &cobra.Command{
		Use:   "session",
		Short: "Open, attach to and close interactive sessions",
		Long: "A session is a job of one task that its user can leave and attach to again. After a warning, an idle " +
			"session is reclaimed:\n" +
			"its work is saved and its machine is released. Attaching resumes the session, with the same id " +
			"(docs/sessions.md).",
	}
	client.addFlags(cmd)
	cmd.AddCommand(
		sessionOpenCmd(&client),
		sessionListCmd(&client),
		sessionOperationCmd(&client, "attach", "Attach to a session: cancels a warning, resumes a reclaimed session"),
		sessionOperationCmd(&client, "close", "End a session permanently"),
		sessionKeepCmd(&client),
		sessionExplainCmd(&client),
	)
	return cmd
}

// openedSession is the output of `session open`: the session and its tokens, which are stored nowhere else.
type openedSession struct {
	sessions.View
	Token      string `json:"token"`
	AgentToken string `json:"agent_token"`
}

func sessionOpenCmd(client *apiClient) *cobra.Command {
	var userName string
	cmd := &cobra.Command{
		Use:   "open FILE",
		Short: "Open a session from a job in a JSON file (- for standard input)",
		Args:  cobra.ExactArgs(1),
		Long: "Open a session. The job is a `daemon` with one task. The command generates two tokens and prints them " +
			"once;\n" +
			"the cluster stores only their digests. The user attaches with the token, the agent reports with the agent token.",
		Example: "  harewalk session open notebook.json -o json > session.json",
		RunE: func(cmd *cobra.Command, args []string) error {
			job, err := readFile(args[0], cmd.InOrStdin())
			if err != nil {
				return usageError(err)
			}
			opened := openedSession{Token: rand.Text(), AgentToken: rand.Text()}
			body, err := newSessionBody(job, userName, opened)
			if err != nil {
				return usageError(fmt.Errorf("%s %w: %w", args[0], errNotJSONObject, err))
			}
			req := request{method: http.MethodPost, path: sessionsPath, body: body}
			if err := client.callLeader(req, &opened.View); err != nil {
				return err
			}
			return client.show(cmd.OutOrStdout(), opened, func(table *tabwriter.Writer) {
				writeSession(table, opened.View)
				fmt.Fprintf(table, "token\t%s\nagent token\t%s\n", opened.Token, opened.AgentToken)
			})
		},
	}
	cmd.Flags().StringVar(&userName, "user", currentUser(), "name of the session's user")
	return cmd
}

func sessionListCmd(client *apiClient) *cobra.Command {
	var userName, team string
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List sessions",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			filter := url.Values{"user": {userName}, "team": {team}}
			req := request{method: http.MethodGet, path: sessionsPath + "?" + filter.Encode()}
			return callAndShow(client, cmd, req, writeSessions)
		},
	}
	cmd.Flags().StringVar(&userName, "user", "", "list only this user's sessions")
	cmd.Flags().StringVar(&team, "team", "", "list only this team's sessions")
	return cmd
}

func writeSessions(table *tabwriter.Writer, views []sessions.View) {
	fmt.Fprintln(table, "SESSION\tUSER\tTEAM\tSTATE\tFOR\tIDLE\tUNSAVED MB\tWHY")
	for _, view := range views {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t", view.ID, view.User, view.Team, view.State)
		fmt.Fprintf(table, "%s\t%s\t", formatSeconds(view.InStateS), formatSeconds(view.IdleS))
		fmt.Fprintf(table, "%.1f\t%s\n", view.UnsavedMB, view.Cause)
	}
}

// sessionOperationCmd returns the command for an operation of a session's user.
func sessionOperationCmd(client *apiClient, operation, short string) *cobra.Command {
	var token sessionToken
	cmd := &cobra.Command{
		Use:   operation + " ID",
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			view, err := callSession(client, &token, args[0], operation, struct{}{})
			if err != nil {
				return err
			}
			return client.show(cmd.OutOrStdout(), view, func(table *tabwriter.Writer) { writeSession(table, view) })
		},
	}
	token.addFlag(cmd)
	return cmd
}

// callSession sends an operation of a session's user, with the session's token in place of the client's token.
func callSession(
	client *apiClient, token *sessionToken, id, operation string, body any,
) (view sessions.View, err error) {
	bearer, err := token.read()
	if err != nil {
		return view, err
	}
	sessionClient := *client
	sessionClient.bearer = bearer
	req := request{method: http.MethodPost, path: sessionPath(id, operation), body: body}
	err = sessionClient.callLeader(req, &view)
	return view, err
}

// keepAliveRequest is the body of a request that keeps a session attached.
type keepAliveRequest struct {
	Attachment uint64 `json:"attachment"`
}

func sessionKeepCmd(client *apiClient) *cobra.Command {
	var token sessionToken
	var interval time.Duration
	cmd := &cobra.Command{
		Use:   "keep ID",
		Short: "Attach to a session and keep it alive until interrupted",
		Args:  cobra.ExactArgs(1),
		Long: "Attach to a session and send keep-alives. The operators' policy (attached_s) decides how they count " +
			"towards\n" +
			"activity. The command ends with exit code 3 when another client attaches or the session is " +
			"closed.",
		RunE: func(cmd *cobra.Command, args []string) error {
			return keepSessionAlive(client, &token, args[0], max(interval, minKeepAliveInterval), cmd.ErrOrStderr())
		},
	}
	token.addFlag(cmd)
	cmd.Flags().DurationVar(&interval, "every", 10*time.Second, "time between two keep-alives, at least 1s")
	return cmd
}

// keepSessionAlive attaches to a session and sends keep-alives until it is interrupted or a request fails. It prints a
// warning for each response with a cause for a reclaim.
func keepSessionAlive(
	client *apiClient, token *sessionToken, id string, interval time.Duration, warnings io.Writer,
) error {
	view, err := callSession(client, token, id, "attach", struct{}{})
	if err != nil {
		return err
	}
	interrupted, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	body := keepAliveRequest{Attachment: view.AttachmentID}
	for {
		if view.Cause != "" {
			fmt.Fprintf(warnings, "%s: %s; to be reclaimed in %s\n", view.State, view.Cause, formatSeconds(view.ReclaimInS))
		}
		select {
		case <-interrupted.Done():
			return nil
		case <-time.After(interval):
		}
		view, err = callSession(client, token, id, "keep", body)
		if err != nil {
			return err
		}
	}
}

// sessionExplanation contains the reasons why a session is or isn't to be reclaimed.
type sessionExplanation struct {
	ID  string   `json:"name_id"`
	Why []string `json:"why"`
}

func sessionExplainCmd(client *apiClient) *cobra.Command {
	return namedViewCommand[sessionExplanation]{
		use:   "explain ID",
		short: "Explain whether, why and when a session is to be reclaimed",
		path:  func(id string) string { return sessionPath(id, "explain") },
		write: writeExplanation,
	}.command(client)
}

func writeExplanation(table *tabwriter.Writer, explanation sessionExplanation) {
	for _, reason := range explanation.Why {
		fmt.Fprintln(table, reason)
	}
}

func writeSession(table *tabwriter.Writer, view sessions.View) {
	fmt.Fprintf(table, "session\t%s\nuser\t%s\nteam\t%s\n", view.ID, view.User, view.Team)
	fmt.Fprintf(table, "state\t%s for %s\n", view.State, formatSeconds(view.InStateS))
	if view.Cause != "" {
		fmt.Fprintf(table, "why\t%s\n", view.Cause)
	}
	if view.ReclaimInS > 0 {
		fmt.Fprintf(table, "reclaimed in\t%s\n", formatSeconds(view.ReclaimInS))
	}
	if view.Checkpoint != nil {
		fmt.Fprintf(table, "saved\t%s\n", view.Checkpoint.Ref)
	}
}
