package main

import (
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/controller"
)

func zoneCmd() *cobra.Command {
	var o operator
	c := &cobra.Command{
		Use: "zone", Short: "Look at zones as domains of failure, and at what losing one would mean",
		Long: "A zone is well, doubted, lost, returning or proving (docs/zones.md). What is on machines that are not heard counts as\n" +
			"running there until their leases are over; new work goes elsewhere at once.",
	}
	o.flags(c)
	c.AddCommand(
		&cobra.Command{
			Use: "list", Short: "List the zones: state, machines, what is not heard, what they take", Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				return tell(&o, c, "GET", "/v2/zones", nil, func(t *tabwriter.Writer, vs []controller.ZoneView) {
					fmt.Fprintln(t, "ZONE\tSTATE\tFOR\tFLAPS\tMACHINES\tQUIET\tASIDE\tTASKS\tHELD\tRENTS\tTAKES")
					for _, v := range vs {
						fmt.Fprintf(t, "%s\t%s\t%.0f s\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%s\n", v.Zone, v.State, v.ForS, v.Flaps, v.Machines, v.Overdue, v.Quarantined, v.Tasks, v.Held, v.Rents, v.AcceptsWork)
					}
				})
			},
		},
		&cobra.Command{
			Use: "plan ZONE", Short: "Show what would happen if a zone were lost now: who would wait, and for how long", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				return tell(&o, c, "GET", "/v2/zones/"+args[0], nil, func(t *tabwriter.Writer, v controller.ZoneView) {
					fmt.Fprintf(t, "zone %s\t%s, %d machines, %d tasks\n", v.Zone, v.State, v.Machines, v.Tasks)
					fmt.Fprintf(t, "may start elsewhere\tafter the leases: %.0f s\nmachines instead\tafter a boot: %.0f s, if the other zones have them\n", v.LeaseS, v.BootS)
					fmt.Fprintln(t, "\nCLASS\tTEAM\tJOBS\tTASKS LOST\tROOM ELSEWHERE\tWOULD WAIT")
					for _, l := range v.IfLost {
						fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\n", l.Class, l.Team, l.Jobs, l.Tasks, l.Fit, l.Wait)
					}
				})
			},
		})
	return c
}
