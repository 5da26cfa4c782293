package main

import (
	"fmt"
	"net/url"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/controller"
)

func whyCmd(o *operator) *cobra.Command {
	c := &cobra.Command{
		Use: "why ID", Short: "Say in plain words why each part of a job waits", Args: cobra.ExactArgs(1),
		Long: "Say why each part of a job waits: as planning has decided it, not guessed anew. The leader answers; any\n" +
			"controller names it. In JSON each part has a code: team_limit, licence, no_machine, gang_short, no_room, retry,\n" +
			"parked, planning_behind, lane, plan_not_durable, gang_leaving or starting.",
		Example: "  harewalk job why req-000412\n  harewalk job why req-000412 -o json",
		RunE: func(c *cobra.Command, args []string) error {
			return tell(o, c, "GET", "/v2/runs/"+url.PathEscape(args[0])+"/why", nil, explainJob)
		},
	}
	return c
}

func explainJob(t *tabwriter.Writer, w controller.JobPendingView) {
	fmt.Fprintf(t, "%s is %s: %d of %d tasks done, %d running\n", w.ID, w.State, w.Done, w.Tasks, w.Running)
	for _, p := range w.Waiting {
		fmt.Fprintf(t, "%d wait:\t%s\n", p.Tasks, p.Text)
	}
	if len(w.Waiting) == 0 {
		return
	}
	if w.Ahead > 0 {
		fmt.Fprintf(t, "ahead:\t%d jobs that wait rank before it; the nearest: %s\n", w.Ahead, strings.Join(w.Nearest, ", "))
	}
	if w.Booting > 0 {
		fmt.Fprintf(t, "machines:\t%d that it may use are on their way, the first is expected in %g s\n", w.Booting, w.BootingS)
	}
}
