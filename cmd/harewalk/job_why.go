package main

import (
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/controller"
)

func whyCmd(client *apiClient) *cobra.Command {
	return &cobra.Command{
		Use:   "why ID",
		Short: "Say in plain words why each part of a job waits",
		Args:  cobra.ExactArgs(1),
		Long: "Say why each part of a job waits: as planning has decided it, not guessed anew. The leader answers; " +
			"any\n" +
			"controller names it. In JSON each part has a code: team_limit, licence, no_machine, " +
			"gang_short, no_room, retry,\n" +
			"parked, planning_behind, lane, plan_not_durable, gang_leaving or starting.",
		Example: "  harewalk job why req-000412\n" +
			"  harewalk job why req-000412 -o json",
		RunE: func(cmd *cobra.Command, args []string) error {
			req := request{method: http.MethodGet, path: jobPath(args[0]) + "/why"}
			return callAndShow(client, cmd, req, writePendingReasons)
		},
	}
}

func writePendingReasons(table *tabwriter.Writer, job controller.JobPendingView) {
	fmt.Fprintf(table, "%s is %s: %d of %d tasks done, %d running\n",
		job.ID, job.State, job.Done, job.Tasks, job.Running)
	for _, part := range job.Waiting {
		fmt.Fprintf(table, "%d wait:\t%s\n", part.Tasks, part.Text)
	}
	if len(job.Waiting) == 0 {
		return
	}
	if job.Ahead > 0 {
		fmt.Fprintf(table, "ahead:\t%d jobs that wait rank before it; the nearest: %s\n",
			job.Ahead, strings.Join(job.Nearest, ", "))
	}
	if job.Booting > 0 {
		fmt.Fprintf(table, "machines:\t%d that it may use are on their way, the first is expected in %g s\n",
			job.Booting, job.BootingS)
	}
}
