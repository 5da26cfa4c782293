package main

import (
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/harewalk/harewalk/internal/controller"
)

const zonesPath = "/v2/zones"

func zoneCmd() *cobra.Command {
	var client apiClient
	cmd := &cobra.Command{
		Use:   "zone",
		Short: "Look at zones as domains of failure, and at what losing one would mean",
		Long: "A zone is well, doubted, lost, returning or proving (docs/zones.md). What is on machines that " +
			"are not heard counts as\n" +
			"running there until their leases are over; new work goes elsewhere at once.",
	}
	client.addFlags(cmd)
	cmd.AddCommand(
		view[[]controller.ZoneView]{
			use:   "list",
			short: "List the zones: state, machines, what is not heard, what they take",
			path:  zonesPath,
			write: writeZones,
		}.command(&client),
		namedView[controller.ZoneView]{
			use:   "plan ZONE",
			short: "Show what would happen if a zone were lost now: who would wait, and for how long",
			path:  func(zone string) string { return zonesPath + "/" + zone },
			write: writeZoneLoss,
		}.command(&client),
	)
	return cmd
}

func writeZones(table *tabwriter.Writer, zones []controller.ZoneView) {
	fmt.Fprintln(table, "ZONE\tSTATE\tFOR\tFLAPS\tMACHINES\tQUIET\tASIDE\tTASKS\tHELD\tRENTS\tTAKES")
	for _, zone := range zones {
		fmt.Fprintf(table, "%s\t%s\t%.0f s\t%d\t", zone.Zone, zone.State, zone.ForS, zone.Flaps)
		fmt.Fprintf(table, "%d\t%d\t%d\t%d\t", zone.Machines, zone.Overdue, zone.Quarantined, zone.Tasks)
		fmt.Fprintf(table, "%d\t%v\t%s\n", zone.TasksOnQuarantined, zone.Rents, zone.AcceptsWork)
	}
}

// writeZoneLoss shows what would happen if the zone were lost now.
func writeZoneLoss(table *tabwriter.Writer, zone controller.ZoneView) {
	fmt.Fprintf(table, "zone %s\t%s, %d machines, %d tasks\n", zone.Zone, zone.State, zone.Machines, zone.Tasks)
	fmt.Fprintf(table, "may start elsewhere\tafter the leases: %.0f s\n", zone.LeaseS)
	fmt.Fprintf(table, "machines instead\tafter a boot: %.0f s, if the other zones have them\n", zone.BootS)
	fmt.Fprintln(table, "\nCLASS\tTEAM\tJOBS\tTASKS LOST\tROOM ELSEWHERE\tWOULD WAIT")
	for _, lost := range zone.IfLost {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\n",
			lost.Class, lost.Team, lost.Jobs, lost.Tasks, lost.Fit, lost.Wait)
	}
}
