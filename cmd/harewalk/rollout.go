package main

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/rollout"
)

func rolloutCmd() *cobra.Command {
	var o operator
	c := &cobra.Command{
		Use: "rollout", Short: "Look at a rollout of controllers and steer it",
		Long: "Controllers are restarted with a new release one after the other, in the order that `rollout plan` gives. What is new\n" +
			"in the stored state begins once all have it: the cluster's level rises then, by itself or on `rollout finish`.\n" +
			"Until it has risen the former release can come back; docs/rollout.md says what to do when a rollout sticks.",
	}
	o.flags(c)
	c.AddCommand(
		&cobra.Command{
			Use: "status", Short: "Show who runs what, the level, what is missing for the next one, and how far a migration is", Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error { return tell(&o, c, "GET", "/v2/rollout", nil, showRollout) },
		},
		&cobra.Command{
			Use: "plan", Short: "Show which controller may be restarted next, and why not another", Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error { return tell(&o, c, "GET", "/v2/rollout", nil, showPlan) },
		},
		rolloutSay(&o, "hold", "Let nothing rise and advise no restart until `rollout free`", ""),
		rolloutSay(&o, "finish", "Let the level rise as soon as all have announced the next one, without waiting",
			"It is refused (exit 3) while some controller hasn't announced the next level; the answer names it.\n"+
				"A controller that is down counts with what it announced last."),
		rolloutSay(&o, "abort", "Go back: the level doesn't rise, and the plan is towards the former release",
			"It is refused (exit 3) once the level has risen: the former release can't read what is stored then."),
		rolloutSay(&o, "free", "Take hold, finish or abort back", ""))
	return c
}

func rolloutSay(o *operator, op, short, long string) *cobra.Command {
	var revision int64
	c := &cobra.Command{
		Use: op, Short: short, Long: long, Args: cobra.NoArgs, Example: "  harewalk rollout " + op + " --server 127.0.0.1:8080",
		RunE: func(c *cobra.Command, _ []string) error {
			body := map[string]any{"op": op, "by": whoami()}
			if revision >= 0 {
				body["revision"] = revision
			}
			return tell(o, c, "POST", "/v2/rollout", body, showRollout)
		},
	}
	c.Flags().Int64Var(&revision, "revision", -1, "refuse the command unless this is still the revision (of `rollout status`)")
	return c
}

func showRollout(t *tabwriter.Writer, v rollout.View) {
	fmt.Fprintf(t, "state\t%s (told by %s)\nlevel\t%d\n", v.State, v.ReportedBy, v.Level)
	if v.Next > v.Level {
		fmt.Fprintf(t, "next level\t%d, announced by all\n", v.Next)
	}
	word := string(v.Mode)
	if v.By != "" {
		word += ", " + v.By
	}
	fmt.Fprintf(t, "operators\t%s, revision %d\n", word, v.Revision)
	if v.SoakLeftS > 0 {
		fmt.Fprintf(t, "soaking\t%.0f s left\n", v.SoakLeftS)
	}
	if m := v.Migration; m != nil {
		done := "done"
		if !m.Done {
			done = fmt.Sprintf("%d records left, %d leaders have worked on it", m.Left, m.Leaders)
		}
		fmt.Fprintf(t, "migration\t%s\n", done)
	}
	for _, m := range v.Missing {
		fmt.Fprintf(t, "missing\t%s\n", m)
	}
	for _, n := range v.Nodes {
		var what []string
		for word, on := range map[string]bool{"leads": n.Leads, "behind: it stays out": n.Incompatible, "down": !n.Alive, "not well": n.Alive && !n.Healthy} {
			if on {
				what = append(what, word)
			}
		}
		if len(what) == 0 {
			what = []string{"well"}
		}
		release := n.Release
		if release == "" {
			release = "not said"
		}
		fmt.Fprintf(t, "controller %s\t%s, knows level %d, zone %s: %s\n", n.Node, release, n.Level, n.Zone, strings.Join(what, ", "))
	}
	for _, u := range v.Unreadable {
		fmt.Fprintf(t, "unreadable\t%s (%s, %s): %s\n", u.Key, u.Kind, u.Guard, u.Cause)
	}
}

func showPlan(t *tabwriter.Writer, v rollout.View) {
	next := v.Restart
	if next == "" {
		next = "nobody"
	}
	fmt.Fprintf(t, "restart next\t%s: %s\n", next, v.Why)
	for _, n := range v.Nodes {
		if n.NotNextReason != "" {
			fmt.Fprintf(t, "not %s\t%s\n", n.Node, n.NotNextReason)
		}
	}
}
