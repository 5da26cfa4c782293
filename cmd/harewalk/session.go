package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/sessions"
)

// sessionToken is where a session's user token comes from.
type sessionToken struct{ file string }

func (k *sessionToken) flag(c *cobra.Command) {
	c.Flags().StringVar(&k.file, "session-token-file", os.Getenv("HAREWALK_SESSION_TOKEN_FILE"),
		"file with the session's token, as `session open` printed it (or $HAREWALK_SESSION_TOKEN_FILE, or the token in $HAREWALK_SESSION_TOKEN)")
}

func (k *sessionToken) read() (string, error) {
	if k.file == "" {
		if t := os.Getenv("HAREWALK_SESSION_TOKEN"); t != "" {
			return t, nil
		}
		return "", coded{exitUsage, errors.New("the session's token is missing: give --session-token-file or $HAREWALK_SESSION_TOKEN")}
	}
	raw, err := os.ReadFile(k.file)
	if err != nil {
		return "", coded{exitUsage, fmt.Errorf("--session-token-file: %w", err)}
	}
	return strings.TrimSpace(string(raw)), nil
}

func sessionCmd() *cobra.Command {
	var o operator
	c := &cobra.Command{
		Use: "session", Short: "Open, attach to and close interactive sessions",
		Long: "A session is a job of one task that its user attaches to and leaves. After real idleness it is warned, its\n" +
			"work is saved and its machine goes to others; attaching resumes it, with the same id (docs/sessions.md).",
	}
	o.flags(c)
	c.AddCommand(sessionOpen(&o), sessionList(&o),
		sessionAct(&o, "attach ID", "Return to a session: takes a warning back, resumes a reclaimed one", "attach"),
		sessionAct(&o, "close ID", "End a session for good", "close"), sessionKeep(&o),
		&cobra.Command{
			Use: "explain ID", Short: "Say in plain words why a session is or isn't to be reclaimed, and when", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				var v struct {
					ID  string   `json:"name_id"`
					Why []string `json:"why"`
				}
				if err := o.ask("GET", "/v2/sessions/"+url.PathEscape(args[0])+"/explain", nil, &v); err != nil {
					return err
				}
				return o.show(c.OutOrStdout(), v, func(t *tabwriter.Writer) {
					for _, w := range v.Why {
						fmt.Fprintln(t, w)
					}
				})
			},
		})
	return c
}

func sessionOpen(o *operator) *cobra.Command {
	var who string
	c := &cobra.Command{
		Use: "open FILE", Short: "Open a session from a job in a JSON file (- for standard input)", Args: cobra.ExactArgs(1),
		Long: "Open a session. The job is a `daemon` with one task. Two tokens are made here and printed once; the cluster\n" +
			"keeps only their digests: the user's token attaches to the session, its agent reports with the other.",
		Example: "  harewalk session open notebook.json -o json > session.json",
		RunE: func(c *cobra.Command, args []string) error {
			raw, err := readFile(args[0], c.InOrStdin())
			if err != nil {
				return coded{exitUsage, err}
			}
			body := map[string]any{}
			if err := json.Unmarshal(raw, &body); err != nil {
				return coded{exitUsage, fmt.Errorf("%s is not a JSON object: %w", args[0], err)}
			}
			token, agent := rand.Text(), rand.Text()
			body["user"], body["token_sha256"], body["agent_sha256"] = who, sessions.TokenDigest(token), sessions.TokenDigest(agent)
			var v sessions.View
			if err := o.ask("POST", "/v2/sessions", body, &v); err != nil {
				return err
			}
			opened := struct {
				sessions.View
				Token string `json:"token"`
				Agent string `json:"agent_token"`
			}{v, token, agent}
			return o.show(c.OutOrStdout(), opened, func(t *tabwriter.Writer) {
				showSession(t, v)
				fmt.Fprintf(t, "token\t%s\nagent token\t%s\n", token, agent)
			})
		},
	}
	c.Flags().StringVar(&who, "user", whoami(), "whose session it is")
	return c
}

func sessionList(o *operator) *cobra.Command {
	var who, team string
	c := &cobra.Command{
		Use: "list", Short: "List sessions", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			q := url.Values{"user": {who}, "team": {team}}
			return tell(o, c, "GET", "/v2/sessions?"+q.Encode(), nil, func(t *tabwriter.Writer, vs []sessions.View) {
				fmt.Fprintln(t, "SESSION\tUSER\tTEAM\tSTATE\tFOR\tIDLE\tUNSAVED MB\tWHY")
				for _, v := range vs {
					fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%.1f\t%s\n", v.ID, v.User, v.Team, v.State, brief(v.InStateS), brief(v.IdleS), v.UnsavedMB, v.Cause)
				}
			})
		},
	}
	c.Flags().StringVar(&who, "user", "", "only this user's")
	c.Flags().StringVar(&team, "team", "", "only this team's")
	return c
}

// sessionAct is a command of a session's user.
func sessionAct(o *operator, use, short, verb string) *cobra.Command {
	var k sessionToken
	c := &cobra.Command{
		Use: use, Short: short, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			v, err := act(o, &k, args[0], verb, map[string]any{})
			if err != nil {
				return err
			}
			return o.show(c.OutOrStdout(), v, func(t *tabwriter.Writer) { showSession(t, v) })
		},
	}
	k.flag(c)
	return c
}

func act(o *operator, k *sessionToken, id, verb string, body map[string]any) (v sessions.View, err error) {
	with := *o
	if with.bearer, err = k.read(); err != nil {
		return v, err
	}
	return v, with.ask("POST", "/v2/sessions/"+url.PathEscape(id)+"/"+verb, body, &v)
}

func sessionKeep(o *operator) *cobra.Command {
	var k sessionToken
	var every time.Duration
	c := &cobra.Command{
		Use: "keep ID", Short: "Attach to a session and keep it alive until interrupted", Args: cobra.ExactArgs(1),
		Long: "Attach to a session and tell the cluster again and again that somebody is there. How much that counts is up to\n" +
			"the operators' policy (attached_s). It ends when the session is attached to from elsewhere or closed (exit 3).",
		RunE: func(c *cobra.Command, args []string) error {
			v, err := act(o, &k, args[0], "attach", map[string]any{})
			if err != nil {
				return err
			}
			over, stop := signal.NotifyContext(context.Background(), os.Interrupt)
			defer stop()
			for at := v.AttachmentID; ; {
				if v.Cause != "" {
					fmt.Fprintf(c.ErrOrStderr(), "%s: %s; reclaimed in %s\n", v.State, v.Cause, brief(v.ReclaimInS))
				}
				select {
				case <-over.Done():
					return nil
				case <-time.After(max(every, time.Second)):
				}
				if v, err = act(o, &k, args[0], "keep", map[string]any{"attachment": at}); err != nil {
					return err
				}
			}
		},
	}
	k.flag(c)
	c.Flags().DurationVar(&every, "every", 10*time.Second, "time between two signs of life, at least 1s")
	return c
}

// brief prints seconds as a duration.
func brief(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(time.Second).String()
}

func showSession(t *tabwriter.Writer, v sessions.View) {
	fmt.Fprintf(t, "session\t%s\nuser\t%s\nteam\t%s\nstate\t%s for %s\n", v.ID, v.User, v.Team, v.State, brief(v.InStateS))
	if v.Cause != "" {
		fmt.Fprintf(t, "why\t%s\n", v.Cause)
	}
	if v.ReclaimInS > 0 {
		fmt.Fprintf(t, "reclaimed in\t%s\n", brief(v.ReclaimInS))
	}
	if v.Checkpoint != nil {
		fmt.Fprintf(t, "saved\t%s\n", v.Checkpoint.Ref)
	}
}
