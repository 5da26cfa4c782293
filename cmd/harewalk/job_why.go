package main

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/controller"
)

func whyCmd(client *apiClient) *cobra.Command {
	cmd := namedViewCommand[controller.JobPendingView]{
		use:   "why ID",
		short: "Explain why each part of a job is waiting",
		path:  func(id string) string { return jobPath(id) + "/why" },
		write: writePendingReasons,
	}.command(client)
	cmd.Long = "Explain why each part of a job is waiting, with the reasons recorded by the planner. The request goes " +
		"to the leader,\n" +
		"through any controller. In JSON each part has a code: team_limit, licence, no_machine, " +
		"gang_short, no_room, retry,\n" +
		"predecessors, parked, failing, unreadable, zone_lost, planning_behind, lane, plan_not_durable,\n" +
		"gang_leaving or starting."
	cmd.Example = "  harewalk job why req-000412\n" +
		"  harewalk job why req-000412 -o json"
	return cmd
}

func writePendingReasons(table *tabwriter.Writer, job controller.JobPendingView) {
	fmt.Fprintf(table, "%s is %s: %d of %d tasks done, %d running\n",
		job.ID, job.State, job.Done, job.Tasks, job.Running)
	for _, part := range job.Waiting {
		fmt.Fprintf(table, "%d waiting:\t%s\n", part.Tasks, part.Text)
	}
	if job.NeededInS != nil {
		fmt.Fprintf(table, "needed:\twithin %g s, for the deadlines of its successors\n", *job.NeededInS)
	}
	if len(job.Waiting) == 0 {
		return
	}
	if job.Ahead > 0 {
		fmt.Fprintf(table, "ahead:\t%d waiting jobs rank before this one; the closest: %s\n",
			job.Ahead, strings.Join(job.NearestAhead, ", "))
	}
	if job.Booting > 0 {
		fmt.Fprintf(table, "machines:\t%d machines that the job may use are booting; the first is expected in %g s\n",
			job.Booting, job.BootingS)
	}
}
