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
		Short: "Show the zones' states and what the loss of a zone would cause",
		Long: "A zone is well, doubted, lost, returning or proving (docs/zones.md). Tasks on machines without " +
			"heartbeats count as\n" +
			"running there until the machines' leases expire. New tasks start on other machines at once.",
	}
	client.addFlags(cmd)
	cmd.AddCommand(
		viewCommand[[]controller.ZoneView]{
			use:   "list",
			short: "List the zones: state, machines, overdue heartbeats, accepted work",
			path:  zonesPath,
			write: writeZones,
		}.command(&client),
		namedViewCommand[controller.ZoneView]{
			use:   "plan ZONE",
			short: "Show what would happen if a zone were lost now: which jobs would wait, and for how long",
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

// writeZoneLoss prints what would happen if the zone were lost now.
func writeZoneLoss(table *tabwriter.Writer, zone controller.ZoneView) {
	fmt.Fprintf(table, "zone %s\t%s, %d machines, %d tasks\n", zone.Zone, zone.State, zone.Machines, zone.Tasks)
	fmt.Fprintf(table, "tasks may start elsewhere\tafter the leases expire: %.0f s\n", zone.LeaseS)
	fmt.Fprintf(table, "replacement machines\tafter a boot: %.0f s, if the other zones have capacity\n", zone.BootS)
	fmt.Fprintln(table, "\nCLASS\tTEAM\tJOBS\tTASKS LOST\tROOM ELSEWHERE\tWOULD WAIT")
	for _, lost := range zone.IfLost {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\n",
			lost.Class, lost.Team, lost.Jobs, lost.Tasks, lost.Fit, lost.Wait)
	}
}
