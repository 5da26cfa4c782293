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

// rolloutCommand is the body of a request that changes the operators' directive for a rollout.
type rolloutCommand struct {
	By       string `json:"by"`
	Op       string `json:"op"`
	Revision *int64 `json:"revision,omitempty"` // the directive's revision that the command requires; nil: any
}

func rolloutCmd() *cobra.Command {
	var client apiClient
	cmd := &cobra.Command{
		Use:   "rollout",
		Short: "Show and control a rollout of a new release to the controllers",
		Long: "Restart the controllers with the new release one after the other, in the order that `rollout " +
			"plan` shows. New\n" +
			"formats of stored state are used once all controllers have the release: the cluster's level rises then, " +
			"by itself\n" +
			"or on `rollout finish`. Before that, the former release can be restored. If a rollout makes no " +
			"progress, see docs/rollout.md.",
	}
	client.addFlags(cmd)
	hold := rolloutOperationCmd(&client, "hold", "Pause: no level rise and no restart advice until `rollout free`")
	finish := rolloutOperationCmd(&client, "finish",
		"Raise the level once all controllers have announced the next one, without the soak time")
	finish.Long = "The command is refused (exit 3) while a controller hasn't announced the next level; the error names " +
		"it.\n" +
		"The last announcement of a controller that is down still counts."
	abort := rolloutOperationCmd(&client, "abort", "Roll back: keep the level and plan restarts with the former release")
	abort.Long = "The command is refused (exit 3) once the level has risen: the former release can't read newer stored state."
	free := rolloutOperationCmd(&client, "free", "Cancel an earlier hold, finish or abort")
	cmd.AddCommand(
		viewCommand[rollout.View]{
			use:   "status",
			short: "Show the controllers' releases, the level, what prevents the next one, and the migration",
			path:  rolloutPath,
			write: writeRollout,
		}.command(&client),
		viewCommand[rollout.View]{
			use:   "plan",
			short: "Show which controller to restart next, and why not each of the others",
			path:  rolloutPath,
			write: writeRolloutPlan,
		}.command(&client),
		hold, finish, abort, free,
	)
	return cmd
}

// rolloutOperationCmd returns the command for an operation on the rollout.
func rolloutOperationCmd(client *apiClient, op, short string) *cobra.Command {
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
		"refuse the command if this is no longer the revision (see `rollout status`)")
	return cmd
}

func writeRollout(table *tabwriter.Writer, view rollout.View) {
	fmt.Fprintf(table, "state\t%s (reported by %s)\nlevel\t%d\n", view.State, view.ReportedBy, view.Level)
	if view.Next > view.Level {
		fmt.Fprintf(table, "next level\t%d, announced by all controllers\n", view.Next)
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
			progress = fmt.Sprintf("%d records left, %d leaders have taken part", migration.Left, migration.Leaders)
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
		conditions = append(conditions, "incompatible: release older than the cluster's level")
	}
	if !node.Alive {
		conditions = append(conditions, "down")
	}
	if node.Alive && !node.Healthy {
		conditions = append(conditions, "not healthy")
	}
	if len(conditions) == 0 {
		conditions = append(conditions, "well")
	}
	release := node.Release
	if release == "" {
		release = "not announced"
	}
	fmt.Fprintf(table, "controller %s\t%s, supports level %d, zone %s: %s\n",
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
