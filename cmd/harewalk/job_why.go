package main

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/controller"
)

func whyCmd(client *apiClient) *cobra.Command {
	cmd := namedView[controller.JobPendingView]{
		use:   "why ID",
		short: "Say in plain words why each part of a job waits",
		path:  func(id string) string { return jobPath(id) + "/why" },
		write: writePendingReasons,
	}.command(client)
	cmd.Long = "Say why each part of a job waits: as planning has decided it, not guessed anew. The leader answers; " +
		"any\n" +
		"controller names it. In JSON each part has a code: team_limit, licence, no_machine, " +
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
		fmt.Fprintf(table, "%d wait:\t%s\n", part.Tasks, part.Text)
	}
	if job.NeededInS != nil {
		fmt.Fprintf(table, "needed:\tin %g s, for the deadlines of the jobs that follow it\n", *job.NeededInS)
	}
	if len(job.Waiting) == 0 {
		return
	}
	if job.Ahead > 0 {
		fmt.Fprintf(table, "ahead:\t%d jobs that wait rank before it; the nearest: %s\n",
			job.Ahead, strings.Join(job.NearestAhead, ", "))
	}
	if job.Booting > 0 {
		fmt.Fprintf(table, "machines:\t%d that it may use are on their way, the first is expected in %g s\n",
			job.Booting, job.BootingS)
	}
}
