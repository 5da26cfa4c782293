package main

import (
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/rollout"
)

const rolloutPath = "/v2/rollout"

// rolloutCommand is the body of a request that steers a rollout.
type rolloutCommand struct {
	By       string `json:"by"`
	Op       string `json:"op"`
	Revision *int64 `json:"revision,omitempty"` // the one that the command depends on; nil: any
}

func rolloutCmd() *cobra.Command {
	var client apiClient
	cmd := &cobra.Command{
		Use:   "rollout",
		Short: "Look at a rollout of controllers and steer it",
		Long: "Controllers are restarted with a new release one after the other, in the order that `rollout " +
			"plan` gives. What is new\n" +
			"in the stored state begins once all have it: the cluster's level rises then, by itself or on " +
			"`rollout finish`.\n" +
			"Until it has risen the former release can come back; docs/rollout.md says what to do when a rollout " +
			"sticks.",
	}
	client.addFlags(cmd)
	hold := steerCmd(&client, "hold", "Let nothing rise and advise no restart until `rollout free`")
	finish := steerCmd(&client, "finish",
		"Let the level rise as soon as all have announced the next one, without waiting")
	finish.Long = "It is refused (exit 3) while some controller hasn't announced the next level; the answer names " +
		"it.\n" +
		"A controller that is down counts with what it announced last."
	abort := steerCmd(&client, "abort", "Go back: the level doesn't rise, and the plan is towards the former release")
	abort.Long = "It is refused (exit 3) once the level has risen: the former release can't read what is stored then."
	free := steerCmd(&client, "free", "Take hold, finish or abort back")
	cmd.AddCommand(
		view[rollout.View]{
			use:   "status",
			short: "Show who runs what, the level, what is missing for the next one, and how far a migration is",
			path:  rolloutPath,
			write: writeRollout,
		}.command(&client),
		view[rollout.View]{
			use:   "plan",
			short: "Show which controller may be restarted next, and why not another",
			path:  rolloutPath,
			write: writeRolloutPlan,
		}.command(&client),
		hold, finish, abort, free,
	)
	return cmd
}

// steerCmd returns the command of one operation on the rollout.
func steerCmd(client *apiClient, op, short string) *cobra.Command {
	var revision int64
	cmd := &cobra.Command{
		Use:     op,
		Short:   short,
		Args:    cobra.NoArgs,
		Example: "  harewalk rollout " + op + " --server 127.0.0.1:8080",
		RunE: func(cmd *cobra.Command, _ []string) error {
			body := rolloutCommand{By: currentUser(), Op: op, Revision: optionalNumber(revision)}
			req := request{method: http.MethodPost, path: rolloutPath, body: body}
			return callAndShow(client, cmd, req, writeRollout)
		},
	}
	cmd.Flags().Int64Var(&revision, "revision", -1,
		"refuse the command unless this is still the revision (of `rollout status`)")
	return cmd
}

func writeRollout(table *tabwriter.Writer, view rollout.View) {
	fmt.Fprintf(table, "state\t%s (told by %s)\nlevel\t%d\n", view.State, view.ReportedBy, view.Level)
	if view.Next > view.Level {
		fmt.Fprintf(table, "next level\t%d, announced by all\n", view.Next)
	}
	mode := string(view.Mode)
	if view.By != "" {
		mode += ", " + view.By
	}
	fmt.Fprintf(table, "operators\t%s, revision %d\n", mode, view.Revision)
	if view.SoakLeftS > 0 {
		fmt.Fprintf(table, "soaking\t%.0f s left\n", view.SoakLeftS)
	}
	if migration := view.Migration; migration != nil {
		progress := "done"
		if !migration.Done {
			progress = fmt.Sprintf("%d records left, %d leaders have worked on it", migration.Left, migration.Leaders)
		}
		fmt.Fprintf(table, "migration\t%s\n", progress)
	}
	for _, missing := range view.Missing {
		fmt.Fprintf(table, "missing\t%s\n", missing)
	}
	for _, node := range view.Nodes {
		writeRolloutNode(table, node)
	}
	for _, record := range view.Unreadable {
		fmt.Fprintf(table, "unreadable\t%s (%s, %s): %s\n", record.Key, record.Kind, record.Guard, record.Cause)
	}
}

func writeRolloutNode(table *tabwriter.Writer, node rollout.NodeView) {
	var conditions []string
	if node.Leads {
		conditions = append(conditions, "leads")
	}
	if node.Incompatible {
		conditions = append(conditions, "behind: it stays out")
	}
	if !node.Alive {
		conditions = append(conditions, "down")
	}
	if node.Alive && !node.Healthy {
		conditions = append(conditions, "not well")
	}
	if len(conditions) == 0 {
		conditions = append(conditions, "well")
	}
	release := node.Release
	if release == "" {
		release = "not said"
	}
	fmt.Fprintf(table, "controller %s\t%s, knows level %d, zone %s: %s\n",
		node.Node, release, node.Level, node.Zone, strings.Join(conditions, ", "))
}

func writeRolloutPlan(table *tabwriter.Writer, view rollout.View) {
	next := view.Restart
	if next == "" {
		next = "nobody"
	}
	fmt.Fprintf(table, "restart next\t%s: %s\n", next, view.Why)
	for _, node := range view.Nodes {
		if node.NotNextReason != "" {
			fmt.Fprintf(table, "not %s\t%s\n", node.Node, node.NotNextReason)
		}
	}
}
